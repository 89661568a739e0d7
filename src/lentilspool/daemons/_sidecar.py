"""The sidecar daemon."""

import time
from functools import partial

import trio

from lentilspool import kernel, settings, wire
from lentilspool.daemons import (
    _call_server,
    _configuration,
    _daemon,
    _executor,
)

_MS = 1000


def sidecar(sidecar_settings: settings.SidecarSettings) -> _daemon.Daemon:
    """Return a sidecar that runs when its ``run`` is awaited."""
    return _daemon.Daemon(
        sidecar_settings.name,
        _Build(sidecar_settings).build,
        sidecar_settings.drain_limit_s,
    )


class _Build:
    """Puts the parts of one sidecar together."""

    def __init__(self, sidecar_settings: settings.SidecarSettings) -> None:
        self._settings = sidecar_settings
        self._incarnation = time.time_ns()
        self._sequence = 0

    async def build(self, nursery: trio.Nursery) -> kernel.Application:
        """Return the application with all components."""
        own = self._settings
        self._configuration = _configuration.Configuration(
            own.platform, nursery
        )
        self._executor = _executor.Executor(
            own.pool, own.endpoint_url, self._configuration
        )
        server = _call_server.CallServer(
            (own.address, own.port),
            wire.Hello(
                wire.PROTOCOL_VERSION, own.name, self._incarnation, own.zone
            ),
            own.links,
            self._heartbeat,
            self._serve,
            nursery,
        )
        return kernel.Application(
            {
                'configuration': self._configuration,
                'executor': self._executor,
                'server': server,
            }
        )

    def _heartbeat(self) -> wire.Heartbeat:
        own = self._settings
        self._sequence += 1
        return wire.Heartbeat(
            process=own.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            leaving=self._executor.leaving,
            config=wire.ConfigDigest(self._configuration.version, ''),
            in_flight=self._executor.in_flight,
            queued=0,
            limit=0,
            lease_ms=int(own.links.lease_s * _MS),
            suspects=(),
            zone=own.zone,
            pool=own.pool,
            address=own.address,
            port=own.port,
        )

    async def _serve(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> None:
        if isinstance(message, wire.StageCall):
            connection.start_call(
                message.call_id,
                partial(self._executor.run, message, connection.send),
            )
