"""Formats of reads and watches of the platform's metadata store."""

import base64
import binascii
import dataclasses
from collections.abc import Iterable
from typing import Final
from urllib import parse

import msgspec

from lentilspool.platform import _errors, _names, _numbers

CONFIGURATION_KEY: Final = 'op/config'
ENDPOINT_PREFIX: Final = 'servers/'
_MS_PER_S: Final = 1000
_MAX_ERA_DIGITS: Final = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with its content."""

    key: str
    """Full key."""

    payload: bytes | None
    """Content; None if the key was deleted or its content is unreadable."""

    revision: int
    """Revision of the last change."""

    created: int = 0
    """Revision at which the key was created; 0 if it is not stated."""

    removed: bool = False
    """Whether the key was deleted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Answer to a read or to a watch."""

    items: tuple[Item, ...]
    """Items of a read, or changes of a watch with the oldest first."""

    revision: int
    """Revision after which the next watch starts."""

    more: bool
    """Whether another page follows."""


class _Item(msgspec.Struct):
    key: str
    value: str = ''
    rev: _numbers.Count = 0
    created: _numbers.Count = 0
    tombstone: bool = False


class _Answer(msgspec.Struct):
    current_rev: _numbers.Count
    items: list[_Item] = []
    events: list[_Item] = []
    has_more: bool = False


_DECODER: Final = msgspec.json.Decoder(_Answer)


def range_target(prefix: str, after: str = '') -> str:
    """Return path and query to read the items of a prefix.

    ``after`` is the last key of the previous page.
    """
    query = {'prefix': prefix}
    if after:
        query['after'] = after
    return f'/kv-range?{parse.urlencode(query, safe="/")}'


def watch_target(prefix: str, revision: int, wait_s: float) -> str:
    """Return path and query to wait for changes after a revision."""
    query = {
        'prefix': prefix,
        'after': str(revision),
        'wait_ms': str(int(wait_s * _MS_PER_S)),
    }
    return f'/kv-watch?{parse.urlencode(query, safe="/")}'


def decode_era(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the era of the store's history; None if it is not stated.

    It rises each time that the store comes back from an older copy. Raises
    ``FormatError`` if it is not a number.
    """
    text = dict(headers).get(_names.STORE_ERA)
    if text is None:
        return None
    if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
        raise _errors.FormatError('era of the store', f'invalid: {text!r}')
    return int(text)


def decode_page(body: bytes) -> Page:
    """Decode the answer to a read or to a watch.

    Raises ``FormatError`` if the body is invalid.
    """
    try:
        answer = _DECODER.decode(body)
    except _errors.UNREADABLE as error:
        raise _errors.FormatError('answer of the store', str(error))
    entries = answer.items or answer.events
    return Page(
        tuple(_item(one) for one in entries),
        answer.current_rev,
        answer.has_more,
    )


def _item(item: _Item) -> Item:
    return Item(
        item.key, _payload(item), item.rev, item.created, item.tombstone
    )


def _payload(item: _Item) -> bytes | None:
    if item.tombstone:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        return None
