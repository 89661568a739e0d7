"""Formats for test doubles of the platform's store, endpoints and callers."""

import base64
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any, Final
from urllib import parse

import msgspec

from lentilspool.platform import _names

_MS_PER_S: Final = 1000
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """Decoded headers of a request, as an endpoint receives it."""

    request_id: str
    """Identity of the request."""

    team: str
    """Team of the caller; empty if it has none."""

    api_key: str
    """API key, which must never reach an endpoint."""

    endpoint: str
    """Only endpoint that may run the request."""

    results: tuple[str, ...] | None
    """Handles of the results that an engine must read."""

    last_event: int
    """Number of the event after which the stream resumes; 0 for none."""

    resumed_id: str = ''
    """Identity of the request whose answer began that stream."""


def decode_endpoint_request(
    headers: Iterable[tuple[bytes, bytes]],
) -> EndpointRequest:
    """Decode the headers of a request at an endpoint."""
    by_name = {name.lower(): content.decode() for name, content in headers}
    results = by_name.get(_names.STAGE_RESULTS)
    return EndpointRequest(
        by_name.get(_names.REQUEST_ID, ''),
        by_name.get(_names.TEAM, ''),
        by_name.get(_names.API_KEY, ''),
        by_name.get(_names.EXPECTED_ENDPOINT, ''),
        None if results is None else tuple(filter(None, results.split(','))),
        int(by_name.get(_names.LAST_EVENT, '0')),
        by_name.get(_names.RESUMED_ID, ''),
    )


def decode_prompt_parts(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[str, ...]:
    """Return the keys of the parts of a prompt."""
    by_name = {name.lower(): content.decode() for name, content in headers}
    entries = by_name.get(_names.PROMPT_PARTS, '').split(',')
    return tuple(entry.strip().partition(':')[0] for entry in entries)


def answer_headers(request_id: str, signature: str) -> Headers:
    """Return the headers that an endpoint adds to its answer."""
    return [
        (_names.REQUEST_ID, request_id.encode()),
        (_names.SIGNATURE, signature.encode()),
    ]


def limit_headers(limit: str) -> Headers:
    """Return the header with which an endpoint states a limit, if any."""
    return [(_names.LIMIT, limit.encode())] if limit else []


def leaving_headers(leaving: bool) -> Headers:
    """Return the header with which an endpoint states that it leaves."""
    return [(_names.LEAVING, b'1')] if leaving else []


def retry_after_headers(text: str) -> Headers:
    """Return the header with which an endpoint asks for a backoff, if it does."""
    return [(_names.RETRY_AFTER, text.encode())] if text else []


def rejection_headers(request_id: str) -> Headers:
    """Return the headers of an endpoint that did not run a request."""
    return [
        (_names.REQUEST_ID, request_id.encode()),
        (_names.NOT_RUN, b'1'),
        (b'content-length', b'0'),
    ]


def unnamed_headers(headers: Headers) -> Headers:
    """Return the headers without the identity of the request."""
    return [pair for pair in headers if pair[0] != _names.REQUEST_ID]


def caller_headers(
    request_id: str, api_key: str, deadline_s: float, pieces: str = ''
) -> Headers:
    """Return the headers of a caller's request."""
    headers = [
        (_names.REQUEST_ID, request_id.encode()),
        (_names.API_KEY, api_key.encode()),
        (_names.DEADLINE, str(int(deadline_s * _MS_PER_S)).encode()),
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


def resume_headers(resumed_id: str, last_event: int) -> Headers:
    """Return the headers with which a caller takes up a stream."""
    return [
        (_names.RESUMED_ID, resumed_id.encode()),
        (_names.LAST_EVENT, str(last_event).encode()),
    ]


def decode_signature(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the signature of the endpoint that made an answer."""
    by_name = {name.lower(): content.decode() for name, content in headers}
    return by_name.get(_names.SIGNATURE, '')


def encode_entry(
    service: str,
    address: str,
    slots: int,
    born_ms: int,
    *,
    ready: bool,
    sequence: int = 0,
) -> bytes:
    """Return the encoded entry that an endpoint publishes."""
    state = 'ready' if ready else 'draining'
    return msgspec.json.encode(
        {
            'service': service,
            'address': address,
            'zone': 'a',
            'version': '',
            'slots': slots,
            'state': state,
            'cold_left_ms': 0,
            'born': born_ms,
            'sequence': sequence,
        }
    )


def with_version(entry: bytes, version: str) -> bytes:
    """Return an encoded entry with the version of the endpoint's software."""
    return msgspec.json.encode(
        {**msgspec.json.decode(entry), 'version': version}
    )


def encode_item(
    key: str, payload: bytes | None, revision: int, created: int = 0
) -> dict[str, Any]:
    """Return an item of the store; payload None marks a deleted key.

    ``created`` is left out if it is 0.
    """
    if payload is None:
        return {'key': key, 'rev': revision, 'tombstone': True}
    content = base64.b64encode(payload).decode()
    item: dict[str, Any] = {'key': key, 'value': content, 'rev': revision}
    return {**item, 'created': created} if created else item


def encode_page(
    kind: str, items: Sequence[dict[str, Any]], revision: int
) -> bytes:
    """Return an answer of the store; ``kind`` is ``items`` or ``events``."""
    return msgspec.json.encode({'current_rev': revision, kind: items})


def era_header(era: int) -> tuple[bytes, bytes]:
    """Return the header with which the store states its era."""
    return _names.STORE_ERA, str(era).encode()


def parse_store_query(target: bytes) -> tuple[bool, str, int]:
    """Parse a read of the store: whether it is a watch, prefix, revision."""
    path, _, text = target.decode().partition('?')
    fields = dict(parse.parse_qsl(text))
    after = fields.get('after', '0')
    return (
        path == '/kv-watch',
        fields.get('prefix', ''),
        int(after) if after.isdigit() else 0,
    )


def parse_watch_s(target: bytes, longest_s: float) -> float:
    """Return for how many seconds a watch waits, at most ``longest_s``."""
    _, _, text = target.decode().partition('?')
    wait_ms = dict(parse.parse_qsl(text)).get('wait_ms', '0')
    return min(int(wait_ms) / _MS_PER_S, longest_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One piece of a stage call."""

    request_id: str
    """Identity of the request."""

    stage: int
    """Index of the stage."""

    piece: int
    """Index of the piece in its stage."""

    inputs: tuple[str, ...]
    """Handles of the results that it reads."""

    key: str = ''
    """Key of its content; empty if it reads results."""


def decode_pieces(body: bytes) -> list[Piece]:
    """Decode the pieces of a stage call."""
    return [
        Piece(
            one['id'],
            one['stage'],
            one['piece'],
            tuple(one.get('inputs', ())),
            one.get('key', ''),
        )
        for one in msgspec.json.decode(body)['items']
    ]


def encode_stage_answer(handles: Sequence[str]) -> bytes:
    """Return the answer to a stage call.

    An empty handle stands for a piece whose input was lost.
    """
    ended = [
        {'handle': handle} if handle else {'reason': 'gone'}
        for handle in handles
    ]
    return msgspec.json.encode({'items': ended})


def decode_freed_handles(body: bytes) -> list[str]:
    """Return the handles that a call frees."""
    return list(msgspec.json.decode(body)['handles'])


def is_stage_run(target: bytes) -> bool:
    """Whether a call runs pieces."""
    return target.decode() == _names.STAGE_RUN_PATH


def is_stage_free(target: bytes) -> bool:
    """Whether a call frees results."""
    return target.decode() == _names.STAGE_FREE_PATH
