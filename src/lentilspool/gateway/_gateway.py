"""The gateway as an application: its parts, its start and its stop."""

import logging
import random
import signal
from typing import Final

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import (
    _clock,
    _events,
    _flight,
    _http_server,
    _ingress,
    _local_planning,
    _metrics,
    _peers,
    _plan_desk,
    _planning,
    _pool,
    _published,
    _reload,
    _sockets,
    _status,
    _stop,
    _store,
)

_logger: Final = logging.getLogger(__name__)
_TICK_S: Final = 0.25
_SUSPENDED_S: Final = 0.5
_MS: Final = 1000


class Gateway:
    """A gateway; ``run`` returns after a planned stop."""

    def __init__(
        self, own: settings.GatewaySettings, nursery: trio.Nursery
    ) -> None:
        self._own = own
        self._nursery = nursery
        self._stop_asked = trio.Event()
        self._planned_stop = _stop.PlannedStop(own.stop)
        self._published = _published.Published()
        self._pool = _pool.Pool(own.send)
        host, port = _sockets.split(own.peers)
        self._roster = serving.Roster(
            serving.Member(
                own.name,
                host,
                port,
                own.zone,
                own.processor_share * own.processor_speed,
                _clock.wall_ms(),
            ),
            own.link.forget_s,
        )
        knowledge = _peers.Knowledge(self._roster, self._published, own.link)
        local = _local_planning.LocalPlanning(
            self._published, self._pool, serving.PlanLimits(), nursery
        )
        self._local = local
        links = _planning.Links(own, knowledge, nursery)
        self._loads = serving.EndpointLoads(own.zone, random.Random())
        self._metrics = _metrics.GatewayMetrics()
        self._patience = serving.RepeatCallerDetector()
        tools = _flight.Tools(
            own,
            self._published,
            self._pool,
            _planning.Planning(local, links, self._roster),
            self._loads,
            _flight.Budgets(own.send, self._count_gateways),
            self._metrics,
            self._planned_stop,
            self._patience,
        )
        ingress = _ingress.Ingress(tools)
        status = _status.Status(self._metrics, self._is_ready, self.dump)
        self._callers = _http_server.Server(
            own.callers, ingress.serve, ingress.limits
        )
        self._status = [
            _http_server.Server(address, status.serve, status.limits)
            for address in (own.readiness, own.metrics)
        ]
        self._peer_server = _plan_desk.PeerServer(own, knowledge, local)
        self._links = links
        self._readers = [
            _store.StoreReader(prefix, own.store, self._published)
            for prefix in (
                platform.CONFIGURATION_KEY,
                platform.ENDPOINT_PREFIX,
            )
        ]
        self._was_ready = False
        self._published.listen(self._follow)

    async def run(self) -> None:
        """Serve until a planned stop is over."""
        nursery = self._nursery
        for server in (*self._status, self._callers):
            await nursery.start(server.serve)
        await nursery.start(self._peer_server.serve)
        nursery.start_soon(self._local.serve)
        nursery.start_soon(self._links.serve)
        for reader in self._readers:
            nursery.start_soon(reader.serve)
        nursery.start_soon(self._tick)
        _events.STARTED.log(
            _logger, zone=self._own.zone, callers=self._own.callers
        )
        await self._stop_asked.wait()
        await self._stop()

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self._planned_stop.begin()
        self._stop_asked.set()

    def take(self, changed: settings.GatewaySettings) -> None:
        """Take settings that can change while the process runs."""
        self._links.known_peers = changed.known_peers
        logging.getLogger().setLevel(changed.log_level)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'version': self._published.version,
            'revision': self._published.revision,
            'endpoints': len(self._published.directory.endpoints),
            'members': len(self._roster.members(_clock.now())),
            'plans': self._local.waiting,
            'open_requests': self._callers.open_requests,
            'connections_opened': self._pool.opened,
            'store_calls': sum(reader.calls for reader in self._readers),
            'stopping': self._planned_stop.begun,
        }

    def _count_gateways(self) -> int:
        return len(self._roster.members(_clock.now())) + 1

    def _is_ready(self) -> bool:
        ready = self._published.ready and not self._planned_stop.begun
        if ready != self._was_ready:
            self._was_ready = ready
            _events.READY.log(
                _logger,
                ready=ready,
                version=self._published.version,
                revision=self._published.revision,
            )
        return ready

    async def _stop(self) -> None:
        _events.STOPPING.log(_logger, open_requests=self._callers.open_requests)
        self._roster.announce_leaving(_clock.wall_ms())
        self._callers.close_idle()
        stop = self._planned_stop
        while not stop.over:
            busy = self._callers.open_requests or self._local.waiting
            if stop.passed_s > self._own.stop.lame_s and not busy:
                break
            await trio.sleep(_TICK_S / 2)
        _events.STOPPED.log(
            _logger,
            open_requests=self._callers.open_requests,
            after_ms=round(stop.passed_s * _MS),
        )

    def _follow(self) -> None:
        configuration = self._published.configuration
        if configuration is None:
            return
        self._patience.retain({one.name for one in configuration.routes})
        for name in configuration.services:
            self._loads.retain_endpoints(
                name, self._published.directory.ready(name)
            )

    async def _tick(self) -> None:
        """Drop what lapsed; notice a suspension of the host."""
        last = _clock.now()
        while True:
            await trio.sleep(_TICK_S)
            now = _clock.now()
            if now - last > _TICK_S + _SUSPENDED_S:
                _events.WOKEN.log(
                    _logger, suspended_ms=round((now - last) * _MS)
                )
                self._roster.release_planning()
                await self._pool.clear()
            last = now
            self._published.drop_lapsed(now)
            await self._pool.retain(
                {one.incarnation for one in self._published.directory.endpoints}
            )


async def serve(own: settings.GatewaySettings, load: _reload.Load) -> None:
    """Run a gateway until it is told to stop.

    ``load`` reads the settings again; it raises ``SettingsError``.
    """
    async with trio.open_nursery() as nursery:
        gateway = Gateway(own, nursery)
        reloader = _reload.Reloader(own, load, gateway.take)
        await nursery.start(_follow_signals, gateway, reloader)
        nursery.start_soon(reloader.serve)
        await gateway.run()
        nursery.cancel_scope.cancel()


async def _follow_signals(
    gateway: Gateway,
    reloader: _reload.Reloader,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                reloader.reload()
            else:
                gateway.request_stop()
