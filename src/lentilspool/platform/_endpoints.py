"""Entries of the service discovery."""

import msgspec

from lentilspool import serving
from lentilspool.platform import _errors

_STATES = ('ready', 'draining')


class _Entry(msgspec.Struct):
    """An endpoint's own entry; other fields are not used here."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int = 0


def endpoint(name: str, payload: bytes) -> serving.Endpoint:
    """Decode the entry that an endpoint has written under its name.

    Raises ``FormatError`` for entries of other writers.
    """
    try:
        entry = msgspec.json.decode(payload, type=_Entry)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _errors.FormatError(f'endpoint {name}', str(error))
    host, _, port = entry.address.rpartition(':')
    if entry.state not in _STATES or not host or not port.isdigit():
        raise _errors.FormatError(f'endpoint {name}', 'not an entry of ours')
    return serving.Endpoint(
        name=name,
        service=entry.service,
        host=host,
        port=int(port),
        zone=entry.zone,
        slots=entry.slots,
        ready=entry.state == 'ready',
        born_ms=entry.born,
    )
