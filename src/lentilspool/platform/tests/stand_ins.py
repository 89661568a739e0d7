"""What the platform's store, operator and endpoints say, for stand-ins."""

import base64
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any, Final
from urllib import parse

import msgspec

from lentilspool.platform import _names

_MS: Final = 1000
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """What an endpoint is sent, or what a caller asks for."""

    request_id: str
    """Identity of the request."""

    team: str
    """Team that the system names; empty if it names none."""

    api_key: str
    """Key, which endpoints must never see."""

    endpoint: str
    """Endpoint that alone may run it."""

    results: tuple[str, ...] | None
    """Handles that an engine is to read."""

    last_event: int
    """Event after which a stream goes on."""


def sent(headers: Iterable[tuple[bytes, bytes]]) -> Sent:
    """Decode the headers of a request at an endpoint."""
    known = {name.lower(): held.decode() for name, held in headers}
    results = known.get(_names.STAGE_RESULTS)
    return Sent(
        known.get(_names.REQUEST_ID, ''),
        known.get(_names.TEAM, ''),
        known.get(_names.API_KEY, ''),
        known.get(_names.EXPECTED_ENDPOINT, ''),
        None if results is None else tuple(filter(None, results.split(','))),
        int(known.get(_names.LAST_EVENT, '0')),
    )


def answer(request_id: str, signature: str) -> Headers:
    """Return the headers with which an endpoint marks its answer."""
    return [
        (_names.REQUEST_ID, request_id.encode()),
        (_names.SIGNATURE, signature.encode()),
    ]


def rejection(request_id: str) -> Headers:
    """Return the headers of an endpoint that did not run a request."""
    return [
        (_names.REQUEST_ID, request_id.encode()),
        (_names.NOT_RUN, b'1'),
        (b'content-length', b'0'),
    ]


def asked(
    request_id: str, api_key: str, deadline_s: float, pieces: str = ''
) -> Headers:
    """Return the headers of a caller's request."""
    headers = [
        (_names.REQUEST_ID, request_id.encode()),
        (_names.API_KEY, api_key.encode()),
        (_names.DEADLINE, str(int(deadline_s * _MS)).encode()),
    ]
    if pieces:
        headers += [
            (_names.PIECES, pieces.encode()),
            (_names.PIECE_KEY, request_id.encode()),
            (_names.MODEL, b'm'),
            (_names.TOKEN_COUNTS, b'500,20'),
            (_names.PROMPT_PARTS, f'aa:400,{request_id}:100'.encode()),
        ]
    return headers


def signature(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the mark of the endpoint that made an answer."""
    known = {name.lower(): held.decode() for name, held in headers}
    return known.get(_names.SIGNATURE, '')


def entry(
    service: str, address: str, slots: int, born_ms: int, *, ready: bool
) -> bytes:
    """Return what an endpoint publishes of itself."""
    state = 'ready' if ready else 'draining'
    return msgspec.json.encode(
        {
            'service': service,
            'address': address,
            'zone': 'a',
            'slots': slots,
            'state': state,
            'born': born_ms,
        }
    )


def item(key: str, payload: bytes | None, revision: int) -> dict[str, Any]:
    """Return an item of the store; None for a key that was deleted."""
    if payload is None:
        return {'key': key, 'rev': revision, 'tombstone': True}
    content = base64.b64encode(payload).decode()
    return {'key': key, 'value': content, 'rev': revision}


def page(kind: str, items: Sequence[dict[str, Any]], revision: int) -> bytes:
    """Return an answer of the store; ``kind`` is ``items`` or ``events``."""
    return msgspec.json.encode({'current_rev': revision, kind: items})


def query(target: bytes) -> tuple[bool, str, int]:
    """Return whether a read of the store watches, its prefix and revision."""
    path, _, text = target.decode().partition('?')
    fields = dict(parse.parse_qsl(text))
    after = fields.get('after', '0')
    return (
        path == '/kv-watch',
        fields.get('prefix', ''),
        int(after) if after.isdigit() else 0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One piece of a stage call."""

    request_id: str
    """Request of the piece."""

    stage: int
    """Number of its stage."""

    piece: int
    """Number of the piece."""

    inputs: tuple[str, ...]
    """Handles that it reads."""


def pieces(body: bytes) -> list[Piece]:
    """Decode the pieces of a stage call."""
    return [
        Piece(
            one['id'], one['stage'], one['piece'], tuple(one.get('inputs', ()))
        )
        for one in msgspec.json.decode(body)['items']
    ]


def made(handles: Sequence[str]) -> bytes:
    """Return the answer to a stage call; an empty handle is a lost input."""
    ended = [
        {'handle': handle} if handle else {'reason': 'gone'}
        for handle in handles
    ]
    return msgspec.json.encode({'items': ended})


def freed(body: bytes) -> list[str]:
    """Return the handles that a call frees."""
    return list(msgspec.json.decode(body)['handles'])


def is_stage_run(target: bytes) -> bool:
    """Whether a call runs pieces."""
    return target.decode() == _names.STAGE_RUN_PATH


def is_stage_free(target: bytes) -> bool:
    """Whether a call frees results."""
    return target.decode() == _names.STAGE_FREE_PATH
