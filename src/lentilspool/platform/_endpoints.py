"""Decoding of the endpoints' entries in service discovery."""

import ipaddress
import re
from typing import Annotated, Final

import msgspec

from lentilspool import serving
from lentilspool.platform import _digits, _errors, _numbers

_STATES: Final = ('ready', 'draining')
_MAX_PORT: Final = 65_535
# Requests name their endpoint in a header.
_NAME: Final = re.compile('[!-~]{1,200}')
_MAX_CHARACTERS: Final = 200
_MAX_SLOTS: Final = 1_000_000
_Text = Annotated[str, msgspec.Meta(max_length=_MAX_CHARACTERS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]


class _Entry(msgspec.Struct):
    """Fields of an endpoint's entry; endpoints write all of them."""

    service: _Text
    address: _Text
    zone: _Text
    version: _Text
    slots: _Slots
    state: str
    cold_left_ms: _numbers.Measure
    sequence: _numbers.Count
    born: _numbers.Count


class _EntryState(msgspec.Struct):
    """Fields by which writes of one endpoint are ordered."""

    born: _numbers.Count = 0
    sequence: _numbers.Count = 0
    state: str = ''


def decode_endpoint(name: str, payload: bytes) -> serving.Endpoint:
    """Decode the entry that an endpoint wrote under its name.

    Raises ``FormatError`` if it does not have the format of an endpoint, as
    entries of other writers under the same prefix.
    """
    try:
        entry = msgspec.json.decode(payload, type=_Entry)
    except _errors.UNREADABLE as error:
        raise _errors.FormatError(f'endpoint {name}', str(error))
    address = _decode_address(entry.address)
    is_named = _NAME.fullmatch(name)
    if entry.state not in _STATES or address is None or not is_named:
        raise _errors.FormatError(
            f'endpoint {name}', 'not an entry of an endpoint'
        )
    host, port = address
    return serving.Endpoint(
        name=name,
        service=entry.service,
        host=host,
        port=port,
        zone=entry.zone,
        slots=entry.slots,
        ready=entry.state == 'ready',
        born_ms=entry.born,
        version=entry.version,
    )


def decode_entry_state(payload: bytes) -> serving.EntryState | None:
    """Decode which write of its endpoint an entry is; None if unreadable."""
    try:
        entry = msgspec.json.decode(payload, type=_EntryState)
    except _errors.UNREADABLE:
        return None
    return serving.EntryState(
        entry.born, entry.sequence, entry.state == 'ready'
    )


def _decode_address(text: str) -> tuple[str, int] | None:
    """Return IP address and port; None if the text is no address."""
    host, _, digits = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    port = _digits.decode_number(digits)
    if port is None or not 0 < port <= _MAX_PORT:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return host, port
