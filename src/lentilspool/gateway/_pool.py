"""A pool of connections to endpoints."""

import logging
from typing import Final

import trio

from lentilspool import serving, settings
from lentilspool.gateway import _clock, _connection, _events, _sockets

_logger: Final = logging.getLogger(__name__)
_MAX_IDLE_PER_ENDPOINT: Final = 64


class ConnectionPool:
    """Idle connections, grouped by the incarnation of their endpoint."""

    def __init__(self, limits: settings.SendSettings) -> None:
        self._limits = limits
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
        self, endpoint: serving.Endpoint, *, repeatable: bool
    ) -> _connection.Connection | _connection.ExchangeFailure:
        """Return an idle connection that is not stale, or a new one.

        The idle limit is ``idle_s`` for repeatable requests and
        ``idle_unsafe_s`` for others.
        """
        limits = self._limits
        max_idle_s = limits.idle_s if repeatable else limits.idle_unsafe_s
        idle = self._idle.get(endpoint.incarnation, [])
        while idle:
            connection = idle.pop()
            if not connection.is_stale(max_idle_s, _clock.now()):
                connection.next_request()
                return connection
            await connection.close()
        stream = await _sockets.connect(
            endpoint.host, endpoint.port, limits.connect_s
        )
        if stream is None:
            return _connection.ExchangeFailure('no connection', sent=False)
        self._opened += 1
        return _connection.Connection(stream)

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
