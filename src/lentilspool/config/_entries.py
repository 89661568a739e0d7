"""Entries of the published log, and their canonical encoding.

The log is a base document followed by numbered patches. A later base gets
the next number of the same sequence. Entries travel between processes
as canonical JSON, because digests are computed over exact bytes.
"""

import dataclasses
from typing import Any, Final

import msgspec

_MAX_DEPTH: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """A whole document; the entries before it can be discarded."""

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
    """Version of the document on which the author based the patch."""

    author: str
    """Name of whoever submitted the patch."""

    merge: dict[str, Any]
    """The merge patch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A numbered entry that is neither a valid base nor a valid patch."""

    number: int
    """Position in the published log."""

    problem: str
    """Why it could not be decoded."""


Entry = Base | Patch | Malformed


class EntryError(ValueError):
    """The bytes are not a JSON object with a positive number."""


def encode_entry(plain: dict[str, Any]) -> bytes:
    """Return the canonical bytes of an entry given as plain JSON types."""
    return msgspec.json.encode(plain, order='deterministic')


def encode_base(base: Base) -> bytes:
    """Return the canonical bytes of a base."""
    return encode_entry({'number': base.number, 'document': base.document})


def encode_patch(patch: Patch) -> bytes:
    """Return the canonical bytes of a patch."""
    return encode_entry(dataclasses.asdict(patch))


def decode_entry(raw: bytes) -> Entry:
    """Return the decoded entry; raises ``EntryError`` without a number."""
    plain = _decode_json(raw)
    number = _entry_number(plain)
    if depth(plain) > _MAX_DEPTH:
        return Malformed(number, f'nested deeper than {_MAX_DEPTH} levels')
    try:
        return _convert_entry(plain)
    except msgspec.ValidationError as error:
        return Malformed(number, str(error))


def depth(plain: object) -> int:
    """Return the number of nesting levels; 1 for a scalar."""
    levels = 0
    layer = [plain]
    while layer:
        layer = [child for parent in layer for child in _children(parent)]
        levels += 1
    return levels


def _decode_json(raw: bytes) -> Any:
    try:
        return msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        raise EntryError(str(error)) from None


def _entry_number(plain: object) -> int:
    number = plain.get('number') if isinstance(plain, dict) else None
    if isinstance(number, int) and not isinstance(number, bool) and number > 0:
        return number
    raise EntryError('an entry needs an integer "number" of at least 1')


def _convert_entry(plain: dict[str, Any]) -> Entry:
    if 'document' in plain:
        return msgspec.convert(plain, Base)
    return msgspec.convert(plain, Patch)


def _children(plain: object) -> list[object]:
    if isinstance(plain, dict):
        return list(plain.values())
    return plain if isinstance(plain, list) else []
