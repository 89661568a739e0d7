"""Entries of the published log, and their exact bytes.

The log is a base document followed by numbered patches. A later base takes
a number of its own in the same sequence. Entries travel between processes
as canonical JSON, because digests are computed over exact bytes.
"""

import dataclasses
from typing import Any, Final

import msgspec

_MAX_DEPTH: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """A whole document; everything before it in the log can be dropped."""

    number: int
    """Position in the published log, from 1."""

    document: dict[str, Any]
    """Configuration document as plain JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A JSON Merge Patch (RFC 7396) made against a version."""

    number: int
    """Position in the published log."""

    against: int
    """Version of the document that the author had before him."""

    author: str
    """Who submitted the patch."""

    merge: dict[str, Any]
    """The merge patch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A published entry that is neither a base nor a patch."""

    number: int
    """Position in the published log."""

    problem: str
    """What is wrong with it."""


Entry = Base | Patch | Malformed


class EntryError(ValueError):
    """The bytes are no JSON object with a number."""


def encode_entry(plain: dict[str, Any]) -> bytes:
    """Return the canonical bytes of an entry given as plain JSON."""
    return msgspec.json.encode(plain, order='deterministic')


def encode_base(base: Base) -> bytes:
    """Return the canonical bytes of a base."""
    return encode_entry({'number': base.number, 'document': base.document})


def encode_patch(patch: Patch) -> bytes:
    """Return the canonical bytes of a patch."""
    return encode_entry(dataclasses.asdict(patch))


def decode_entry(raw: bytes) -> Entry:
    """Return the entry; raises ``EntryError`` if it has no number."""
    plain = _decode_json(raw)
    number = _number(plain)
    if depth(plain) > _MAX_DEPTH:
        return Malformed(number, f'nested deeper than {_MAX_DEPTH} levels')
    try:
        return _converted(plain)
    except msgspec.ValidationError as error:
        return Malformed(number, str(error))


def depth(plain: object) -> int:
    """Return how many objects and lists are nested in each other."""
    levels = 0
    layer = [plain]
    while layer:
        layer = [child for held in layer for child in _children(held)]
        levels += 1
    return levels


def _decode_json(raw: bytes) -> Any:
    try:
        return msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        raise EntryError(str(error)) from None


def _number(plain: object) -> int:
    held = plain.get('number') if isinstance(plain, dict) else None
    if isinstance(held, int) and not isinstance(held, bool) and held > 0:
        return held
    raise EntryError('an entry needs a "number" from 1')


def _converted(plain: dict[str, Any]) -> Entry:
    if 'document' in plain:
        return msgspec.convert(plain, Base)
    return msgspec.convert(plain, Patch)


def _children(plain: object) -> list[object]:
    if isinstance(plain, dict):
        return list(plain.values())
    return plain if isinstance(plain, list) else []
