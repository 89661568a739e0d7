"""Decoding of what endpoints state of themselves in their answers."""

from collections.abc import Sequence
from typing import Final

from lentilspool import serving
from lentilspool.platform import _digits, _names

_MAX_QUOTED_CHARACTERS: Final = 80


def decode_statement(
    headers: Sequence[tuple[bytes, bytes]],
) -> serving.Statement:
    """Decode the statements of an answer, whose header names are lower case."""
    limits = _values(headers, _names.LIMIT)
    limit = _digits.decode_decimal(limits[0]) if len(limits) == 1 else None
    unreadable = limits if limit is None else ()
    return serving.Statement(limit, tuple(unreadable))


def _values(
    headers: Sequence[tuple[bytes, bytes]], wanted: bytes
) -> tuple[str, ...]:
    """Return the different values of a header, as far as logs quote them."""
    found = {
        content.decode('latin-1').strip()[:_MAX_QUOTED_CHARACTERS]: None
        for name, content in headers
        if name == wanted
    }
    return tuple(found)
