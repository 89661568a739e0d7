"""Connections to endpoints, kept for further requests."""

import logging
from typing import Final

import trio

from lentilspool import serving, settings
from lentilspool.gateway import _clock, _connection, _events, _sockets

_logger: Final = logging.getLogger(__name__)
_MOST_IDLE: Final = 64


class Pool:
    """Idle connections by the incarnation of their endpoint."""

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

    async def take(
        self, endpoint: serving.Endpoint, *, repeatable: bool
    ) -> _connection.Connection | _connection.Broken:
        """Return a connection, a kept one if it can be relied upon."""
        limits = self._limits
        limit_s = limits.idle_s if repeatable else limits.idle_unsafe_s
        kept = self._idle.get(endpoint.incarnation, [])
        while kept:
            connection = kept.pop()
            if not connection.stale(limit_s, _clock.now()):
                connection.next_request()
                return connection
            await connection.close()
        stream = await _sockets.connect(
            endpoint.host, endpoint.port, limits.connect_s
        )
        if stream is None:
            return _connection.Broken('no connection', sent=False)
        self._opened += 1
        return _connection.Connection(stream)

    async def give_back(
        self, endpoint: serving.Endpoint, connection: _connection.Connection
    ) -> None:
        """Keep a connection for later if it can be used again."""
        kept = self._idle.setdefault(endpoint.incarnation, [])
        if connection.reusable and len(kept) < _MOST_IDLE:
            kept.append(connection)
            return
        with trio.CancelScope(shield=True):
            await connection.close()
        _events.CONNECTION_RETIRED.log(
            _logger, endpoint=endpoint.name, reusable=connection.reusable
        )

    async def retain(self, incarnations: set[str]) -> None:
        """Close connections to endpoints that are gone."""
        for name in set(self._idle) - incarnations:
            for connection in self._idle.pop(name):
                await connection.close()

    async def clear(self) -> None:
        """Close all idle connections, as after a suspension."""
        await self.retain(set())
