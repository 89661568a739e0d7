"""Decoding of the endpoints' entries in service discovery."""

import msgspec

from lentilspool import serving
from lentilspool.platform import _errors

_STATES = ('ready', 'draining')


class _Entry(msgspec.Struct):
    """Used fields of an endpoint's entry."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int = 0
    version: str = ''


class _EntryState(msgspec.Struct):
    """Fields by which writes of one endpoint are ordered."""

    born: int = 0
    sequence: int = 0
    state: str = ''


def decode_endpoint(name: str, payload: bytes) -> serving.Endpoint:
    """Decode the entry that an endpoint wrote under its name.

    Raises ``FormatError`` if it does not have the format of an endpoint, as
    entries of other writers under the same prefix.
    """
    try:
        entry = msgspec.json.decode(payload, type=_Entry)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _errors.FormatError(f'endpoint {name}', str(error))
    host, _, port = entry.address.rpartition(':')
    if entry.state not in _STATES or not host or not port.isdigit():
        raise _errors.FormatError(
            f'endpoint {name}', 'not an entry of an endpoint'
        )
    return serving.Endpoint(
        name=name,
        service=entry.service,
        host=host,
        port=int(port),
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
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return serving.EntryState(
        entry.born, entry.sequence, entry.state == 'ready'
    )
