"""Decoding of what endpoints state of themselves in their answers."""

import datetime
import http
from collections.abc import Sequence
from email import utils
from typing import Final

from lentilspool import serving
from lentilspool.platform import _digits, _names

_MAX_QUOTED_CHARACTERS: Final = 80
_SET: Final = '1'
_FLAGS: Final = frozenset((_SET, '0'))
_Headers = Sequence[tuple[bytes, bytes]]


def decode_statement(status: int, headers: _Headers) -> serving.Statement:
    """Decode the statements of an answer, whose header names are lower case."""
    unreadable: list[str] = []
    limit = _one(headers, _names.LIMIT, unreadable)
    limit_per_s = None if limit is None else _digits.decode_decimal(limit)
    if limit is not None and limit_per_s is None:
        unreadable.append(limit)
    backoff_s = None
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after = _one(headers, _names.RETRY_AFTER, unreadable)
        backoff_s = (
            None
            if retry_after is None
            else _decode_backoff(retry_after, headers)
        )
        if retry_after is not None and backoff_s is None:
            unreadable.append(retry_after)
    leaving = _one(headers, _names.LEAVING, unreadable)
    if leaving not in {None, *_FLAGS}:
        unreadable.append(str(leaving))
    return serving.Statement(
        limit_per_s, backoff_s, leaving == _SET, tuple(unreadable)
    )


def _decode_backoff(text: str, headers: _Headers) -> float | None:
    """Return seconds, stated as such or as a date (RFC 9110, 10.2.3)."""
    seconds = _digits.decode_decimal(text)
    if seconds is not None:
        return seconds
    until = _decode_date(text)
    if until is None:
        return None
    answered = _one(headers, b'date', [])
    # The clocks of hosts differ, so the endpoint's own goes first.
    now = _decode_date(answered or '') or datetime.datetime.now(datetime.UTC)
    return max((until - now).total_seconds(), 0)


def _decode_date(text: str) -> datetime.datetime | None:
    try:
        found = utils.parsedate_to_datetime(text)
    except ValueError:
        return None
    return found if found.tzinfo else found.replace(tzinfo=datetime.UTC)


def _one(headers: _Headers, wanted: bytes, unreadable: list[str]) -> str | None:
    """Return the value of a header; several different ones are unreadable."""
    found = {
        content.decode('latin-1').strip()[:_MAX_QUOTED_CHARACTERS]: None
        for name, content in headers
        if name == wanted
    }
    if len(found) > 1:
        unreadable.extend(found)
        return None
    return next(iter(found), None)
