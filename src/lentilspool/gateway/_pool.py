"""A pool of connections to endpoints."""

import functools
import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import serving, settings
from lentilspool.gateway import _clock, _connection, _events, _sockets

_logger: Final = logging.getLogger(__name__)
_MAX_IDLE_PER_ENDPOINT: Final = 64


AnswerListener = Callable[[serving.Endpoint, serving.AnswerHead, float], None]
"""Takes an endpoint, the head of its answer, and when it was asked."""


class ConnectionPool:
    """Idle connections, grouped by the incarnation of their endpoint.

    ``on_answer`` is called with the head of each answer of an endpoint.
    """

    def __init__(
        self,
        limits: settings.SendSettings,
        on_answer: AnswerListener | None = None,
    ) -> None:
        self._limits = limits
        self._on_answer = on_answer
        self._idle: dict[str, list[_connection.Connection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    @property
    def limits(self) -> settings.SendSettings:
        """Settings of connections to endpoints."""
        return self._limits

    async def acquire(
        self,
        endpoint: serving.Endpoint,
        *,
        repeatable: bool,
        request_id: str | None = None,
    ) -> _connection.Connection | _connection.ExchangeFailure:
        """Return an idle connection that is not stale, or a new one.

        The idle limit is ``idle_s`` for repeatable requests and
        ``idle_unsafe_s`` for others. ``request_id`` is the identity that the
        answer will repeat, empty if it will state none; None if the sender
        recognizes the answer by its content.
        """
        limits = self._limits
        max_idle_s = limits.idle_s if repeatable else limits.idle_unsafe_s
        while True:
            connection = self._take_idle(endpoint.incarnation, request_id)
            if connection is None:
                return await self._open(endpoint)
            if not connection.is_stale(max_idle_s, _clock.now()):
                connection.next_request()
                return connection
            await connection.close()

    async def release(
        self, endpoint: serving.Endpoint, connection: _connection.Connection
    ) -> None:
        """Return a connection to the pool, or close it if unusable."""
        idle = self._idle.setdefault(endpoint.incarnation, [])
        if connection.reusable and len(idle) < _MAX_IDLE_PER_ENDPOINT:
            idle.append(connection)
            return
        with trio.CancelScope(shield=True):
            await connection.close()
        _events.CONNECTION_RETIRED.log(
            _logger, endpoint=endpoint.name, reusable=connection.reusable
        )

    async def retain(self, incarnations: set[str]) -> None:
        """Close idle connections to all other incarnations."""
        for name in set(self._idle) - incarnations:
            for connection in self._idle.pop(name):
                await connection.close()

    async def clear(self) -> None:
        """Close all idle connections, for example after a suspension."""
        await self.retain(set())

    def _take_idle(
        self, incarnation: str, request_id: str | None
    ) -> _connection.Connection | None:
        """Return the idle connection used last that may carry a request."""
        idle = self._idle.get(incarnation, [])
        if request_id == '':
            return None
        for connection in reversed(idle):
            if request_id is None or connection.identities.may_carry(
                request_id
            ):
                idle.remove(connection)
                return connection
        return None

    async def _open(
        self, endpoint: serving.Endpoint
    ) -> _connection.Connection | _connection.ExchangeFailure:
        stream = await _sockets.connect(
            endpoint.host, endpoint.port, self._limits.connect_s
        )
        if stream is None:
            return _connection.ExchangeFailure('no connection', sent=False)
        self._opened += 1
        on_head = self._on_answer and functools.partial(
            self._on_answer, endpoint
        )
        return _connection.Connection(stream, on_head)
