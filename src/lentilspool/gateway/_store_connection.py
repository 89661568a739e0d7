"""The connection of a store reader."""

import math
from collections.abc import Callable
from typing import Final

from lentilspool import serving
from lentilspool.gateway import _clock, _connection, _sockets

_MAX_ANSWER_BYTES: Final = 16_777_216
_CONNECT_TIMEOUT_S: Final = 0.5
# A connection that the store closed after an answer breaks the next read
# within this time; a watch that is cut later has been waiting.
_CLOSED_WITHIN_S: Final = 0.2
_NO_ANSWER: Final = (0, b'')
_HEADERS: Final = ((b'host', b'store'),)


class StoreConnection:
    """Sends reads to the store, on one connection after another.

    Answers of the store state no request id. After each answer call
    ``recognize``; one that came before ends its connection.

    ``accepts`` is called with the head of each answer, and returns whether it
    may be read.
    """

    def __init__(
        self, address: str, accepts: Callable[[serving.AnswerHead], bool]
    ) -> None:
        self._address = address
        self._accepts = accepts
        self._connection: _connection.Connection | None = None

    async def exchange(self, target: str) -> tuple[int, bytes]:
        """Return a status and body; status 0 if there is no whole answer."""
        kept = self._connection
        if kept and kept.is_stale(math.inf, _clock.now()):
            await self.close()
        elif kept:
            began_at = _clock.now()
            answer = await self._send_and_receive(kept, target)
            if answer or _clock.now() - began_at > _CLOSED_WITHIN_S:
                return answer or _NO_ANSWER
            await kept.close()
        self._connection = await _connect(self._address)
        if self._connection is None:
            return _NO_ANSWER
        answer = await self._send_and_receive(self._connection, target)
        return answer or _NO_ANSWER

    def recognize(self, identity: str) -> None:
        """Keep the connection if no answer before was known by the same."""
        if self._connection:
            self._connection.identities.recognize(identity)

    async def close_if_spent(self) -> None:
        """Close the connection if it cannot carry another request."""
        if self._connection and not self._connection.reusable:
            await self.close()

    async def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._connection:
            await self._connection.close()
            self._connection = None

    async def _send_and_receive(
        self, connection: _connection.Connection, target: str
    ) -> tuple[int, bytes] | None:
        """Return a status and body; None if no answer has begun."""
        if connection.reusable:
            connection.next_request()
        failure = await connection.send(
            _connection.Outgoing('GET', target.encode(), list(_HEADERS), b'')
        )
        head = failure or await connection.receive_head()
        if not isinstance(head, serving.AnswerHead):
            return None
        if not self._accepts(head):
            return _NO_ANSWER
        body = await connection.receive_body(_MAX_ANSWER_BYTES)
        if isinstance(body, _connection.ExchangeFailure):
            return _NO_ANSWER
        return head.status, body


async def _connect(address: str) -> _connection.Connection | None:
    host, port = _sockets.split_address(address)
    stream = await _sockets.connect(host, port, _CONNECT_TIMEOUT_S)
    return _connection.Connection(stream) if stream else None
