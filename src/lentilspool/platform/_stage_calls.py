"""Formats of the calls that run stage pieces and free their results."""

import dataclasses
import re
from collections.abc import Sequence
from typing import Final

import msgspec

from lentilspool.platform import _errors, _names

_MS_PER_S: Final = 1000.0
# Handles are passed on in a header, with commas between them.
_HANDLE: Final = re.compile(r'[!-+\--~]{0,256}')


@dataclasses.dataclass(frozen=True, slots=True)
class PieceOrder:
    """A request to run one piece of a stage."""

    request_id: str
    """Identity of the request that the piece belongs to."""

    stage: int
    """Index of the stage on the request's route."""

    piece: int
    """Index of the piece in its stage."""

    time_left_s: float
    """Seconds after which the result is no longer needed."""

    key: str
    """Key of the request's subject; sent only if there are no inputs."""

    inputs: tuple[str, ...]
    """Handles of all results that are inputs of the piece."""


@dataclasses.dataclass(frozen=True, slots=True)
class PieceOutcome:
    """Outcome of a piece."""

    handle: str
    """Handle of the result; empty if there is none."""

    reason: str
    """Why there is no result: late, gone, room or error."""


class _Item(msgspec.Struct, omit_defaults=True):
    id: str
    stage: int
    piece: int
    left_ms: int
    key: str = ''
    inputs: tuple[str, ...] = ()


class _Run(msgspec.Struct):
    items: list[_Item]


class _Free(msgspec.Struct):
    handles: tuple[str, ...]


class _Ended(msgspec.Struct):
    handle: str = ''
    reason: str = ''


class _Answer(msgspec.Struct):
    items: list[_Ended]


_ENCODER: Final = msgspec.json.Encoder()
_ANSWERS: Final = msgspec.json.Decoder(_Answer)


def encode_stage_request(
    endpoint: str, orders: Sequence[PieceOrder]
) -> tuple[bytes, list[tuple[bytes, bytes]], bytes]:
    """Return target, headers and body of a call that runs pieces.

    Its deadline is that of the piece with the most time left.
    """
    body = _ENCODER.encode(_Run([_item(order) for order in orders]))
    headers = _json_headers(body)
    headers.append((_names.EXPECTED_ENDPOINT, endpoint.encode('latin-1')))
    longest_s = max(order.time_left_s for order in orders)
    shown = str(max(int(longest_s * _MS_PER_S), 1))
    headers.append((_names.DEADLINE, shown.encode()))
    return _names.STAGE_RUN_PATH.encode(), headers, body


def decode_stage_answer(body: bytes) -> tuple[PieceOutcome, ...]:
    """Decode the outcomes of a call's pieces, in the order of the call.

    Raises ``FormatError`` if the body is invalid.
    """
    try:
        answer = _ANSWERS.decode(body)
    except _errors.UNREADABLE as error:
        raise _errors.FormatError('answer of a stage call', str(error))
    handles = [one.handle for one in answer.items if one.handle]
    if not all(map(_HANDLE.fullmatch, handles)):
        raise _errors.FormatError('answer of a stage call', 'invalid handle')
    if len(set(handles)) < len(handles):
        raise _errors.FormatError('answer of a stage call', 'handle repeated')
    return tuple(PieceOutcome(one.handle, one.reason) for one in answer.items)


def encode_free_request(
    handles: Sequence[str],
) -> tuple[bytes, list[tuple[bytes, bytes]], bytes]:
    """Return target, headers and body of a call that frees results."""
    body = _ENCODER.encode(_Free(tuple(handles)))
    return _names.STAGE_FREE_PATH.encode(), _json_headers(body), body


def _item(order: PieceOrder) -> _Item:
    left_ms = max(int(order.time_left_s * _MS_PER_S), 1)
    if order.inputs:
        return _Item(
            order.request_id,
            order.stage,
            order.piece,
            left_ms,
            inputs=order.inputs,
        )
    return _Item(
        order.request_id, order.stage, order.piece, left_ms, key=order.key
    )


def _json_headers(body: bytes) -> list[tuple[bytes, bytes]]:
    return [
        (b'host', b'stage'),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
