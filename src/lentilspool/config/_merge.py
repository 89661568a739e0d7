"""Application of merge patches, and the paths that they touch."""

from collections.abc import Iterator
from typing import Any

import json_merge_patch
import msgspec

Path = tuple[str, ...]


def merged(document: bytes, patch: dict[str, Any]) -> dict[str, Any]:
    """Return the document, given as JSON text, with the patch applied."""
    plain: dict[str, Any] = json_merge_patch.merge(
        msgspec.json.decode(document), patch
    )
    return plain


def touched(patch: dict[str, Any]) -> tuple[Path, ...]:
    """Return the path of each value that a patch sets or removes."""
    return tuple(_leaves(patch, ()))


def overlap(left: Path, right: Path) -> bool:
    """Tell whether one path is the other or leads to it."""
    shorter = min(len(left), len(right))
    return left[:shorter] == right[:shorter]


def dotted(path: Path) -> str:
    """Return a path as it is shown to operators."""
    return '.'.join(('$', *path))


def _leaves(patch: dict[str, Any], prefix: Path) -> Iterator[Path]:
    for key, inner in patch.items():
        path = (*prefix, key)
        if isinstance(inner, dict) and inner:
            yield from _leaves(inner, path)
        else:
            yield path
