"""Reads of the platform's metadata store."""

import base64
import binascii
import dataclasses
from typing import Final
from urllib import parse

import msgspec

from lentilspool.platform import _errors

CONFIGURATION_KEY: Final = 'op/config'
ENDPOINT_PREFIX: Final = 'servers/'
_MS: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store and what it holds."""

    key: str
    """Full key."""

    payload: bytes | None
    """Content; None if the key was deleted or its content is unreadable."""

    revision: int
    """Revision of the last change."""


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Answer to a read or to a watch."""

    items: tuple[Item, ...]
    """Items or changes, oldest change first."""

    revision: int
    """Revision from which a watch goes on."""

    more: bool
    """Whether another page follows."""


class _Item(msgspec.Struct):
    key: str
    value: str = ''
    rev: int = 0
    tombstone: bool = False


class _Answer(msgspec.Struct):
    current_rev: int
    items: list[_Item] = []
    events: list[_Item] = []
    has_more: bool = False


_DECODER: Final = msgspec.json.Decoder(_Answer)


def range_target(prefix: str, after: str = '') -> str:
    """Return path and query that read the items of a prefix."""
    query = {'prefix': prefix}
    if after:
        query['after'] = after
    return f'/kv-range?{parse.urlencode(query, safe="/")}'


def watch_target(prefix: str, revision: int, wait_s: float) -> str:
    """Return path and query that wait for changes after a revision."""
    query = {
        'prefix': prefix,
        'after': str(revision),
        'wait_ms': str(int(wait_s * _MS)),
    }
    return f'/kv-watch?{parse.urlencode(query, safe="/")}'


def page(body: bytes) -> Page:
    """Decode the answer to a read or to a watch."""
    try:
        answer = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _errors.FormatError('answer of the store', str(error))
    held = answer.items or answer.events
    return Page(
        tuple(_item(one) for one in held),
        answer.current_rev,
        answer.has_more,
    )


def _item(item: _Item) -> Item:
    return Item(item.key, _payload(item), item.rev)


def _payload(item: _Item) -> bytes | None:
    if item.tombstone:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        return None
