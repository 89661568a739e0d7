"""Application of merge patches, and the paths that they touch."""

from collections.abc import Iterator
from typing import Any

import json_merge_patch
import msgspec

Path = tuple[str, ...]


def apply_patch(document: bytes, patch: dict[str, Any]) -> dict[str, Any]:
    """Return the document, given as JSON text, with the patch applied."""
    plain: dict[str, Any] = json_merge_patch.merge(
        msgspec.json.decode(document), patch
    )
    return plain


def touched_paths(patch: dict[str, Any]) -> tuple[Path, ...]:
    """Return the path of each value that a patch sets or removes."""
    return tuple(_leaf_paths(patch, ()))


def overlap(left: Path, right: Path) -> bool:
    """Return whether the paths are equal or one contains the other."""
    shorter = min(len(left), len(right))
    return left[:shorter] == right[:shorter]


def format_path(path: Path) -> str:
    """Return a path as text for operators, such as ``$.teams.desk``."""
    return '.'.join(('$', *path))


def _leaf_paths(patch: dict[str, Any], prefix: Path) -> Iterator[Path]:
    for key, inner in patch.items():
        path = (*prefix, key)
        if isinstance(inner, dict) and inner:
            yield from _leaf_paths(inner, path)
        else:
            yield path
