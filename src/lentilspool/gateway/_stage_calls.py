"""Calls of stage endpoints, whose answers state no request id.

A faulty endpoint may write an earlier answer once more where the next one is
due. Answers to calls are told apart by their content: each result has a handle
of its own, and the answer to a call that frees results has none.
"""

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import _connection, _events, _pool

_logger: Final = logging.getLogger(__name__)
_OK: Final = 200
_MAX_ANSWER_BYTES: Final = 1_048_576
_Message = tuple[bytes, list[tuple[bytes, bytes]], bytes]
_Results = tuple[serving.PieceResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """Complete answer to a call."""

    head: serving.AnswerHead
    """Head of the answer."""

    results: _Results | None
    """Results of the pieces, in order; None if the answer has none."""

    body_bytes: int
    """Size of its body."""


_AnswerOrFailure = CallAnswer | _connection.ExchangeFailure
_Receiver = Callable[[_connection.Connection], Awaitable[_AnswerOrFailure]]


class StageCalls:
    """Sends calls over the connections of a pool, and reads their answers."""

    def __init__(self, pool: _pool.ConnectionPool) -> None:
        self._pool = pool

    async def run_pieces(self, call: serving.StartCall) -> _AnswerOrFailure:
        """Run the pieces of a call; return the answer that is its own."""
        orders = [
            platform.PieceOrder(
                piece.request_id,
                piece.stage,
                piece.piece,
                piece.time_left_s,
                piece.key,
                piece.inputs,
            )
            for piece in call.pieces
        ]
        return await self._exchange(
            call.endpoint,
            platform.encode_stage_request(call.endpoint.name, orders),
            _receive_results,
        )

    async def free_results(
        self, endpoint: serving.Endpoint, handles: tuple[str, ...]
    ) -> bool:
        """Free results of an endpoint; return whether it has answered so."""
        answer = await self._exchange(
            endpoint, platform.encode_free_request(handles), _receive_freed
        )
        return isinstance(answer, CallAnswer) and answer.head.status == _OK

    async def _exchange(
        self,
        endpoint: serving.Endpoint,
        message: _Message,
        receive: _Receiver,
    ) -> _AnswerOrFailure:
        connection = await self._pool.acquire(endpoint, repeatable=True)
        if isinstance(connection, _connection.ExchangeFailure):
            return connection
        target, headers, body = message
        try:
            failure = await connection.send(
                _connection.Outgoing('POST', target, headers, body)
            )
            return failure or await receive(connection)
        finally:
            with trio.CancelScope(shield=True):
                await self._pool.release(endpoint, connection)


async def _receive_results(
    connection: _connection.Connection,
) -> _AnswerOrFailure:
    """Return the answer to a call of pieces; copies are skipped."""
    answer = await _receive(connection)
    while isinstance(answer, CallAnswer) and _is_copy(answer, connection):
        skipped = connection.skip_copy(answer.body_bytes)
        answer = skipped or await _receive(connection)
    return answer


def _is_copy(answer: CallAnswer, connection: _connection.Connection) -> bool:
    """Whether an answer has been received before on its connection."""
    if answer.head.status != _OK:
        # The first such answer ends its connection.
        return False
    if answer.results is None:
        # The answer to a call that freed results, if there was one.
        return connection.identities.allows_copies
    handles = [one.handle for one in answer.results if one.handle]
    return bool(handles) and not connection.identities.recognize(handles[0])


async def _receive_freed(
    connection: _connection.Connection,
) -> _AnswerOrFailure:
    """Return the answer to a call that frees results.

    It may be a copy: nothing depends on it, and other calls skip its copies.
    """
    answer = await _receive(connection)
    if isinstance(answer, CallAnswer) and answer.head.status == _OK:
        if answer.results is None:
            connection.identities.allow_copies()
    return answer


async def _receive(connection: _connection.Connection) -> _AnswerOrFailure:
    head = await connection.receive_head()
    if isinstance(head, _connection.ExchangeFailure):
        return head
    body = await connection.receive_body(_MAX_ANSWER_BYTES)
    if isinstance(body, _connection.ExchangeFailure):
        return body
    results = _decode(body) if head.status == _OK and body else None
    return CallAnswer(head, results, len(body))


def _decode(body: bytes) -> _Results | None:
    try:
        outcomes = platform.decode_stage_answer(body)
    except platform.FormatError as error:
        _events.NO_RESULTS.log(_logger, problem=str(error))
        return None
    return tuple(
        serving.PieceResult(one.handle, one.reason) for one in outcomes
    )
