"""Assembly, start and stop of a gateway process."""

import logging
import random
import signal
from typing import Final

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import (
    _clock,
    _content_quarantine,
    _endpoint_checks,
    _events,
    _http_server,
    _in_flight,
    _ingress,
    _listing_check,
    _local_planning,
    _metrics,
    _peer_server,
    _peers,
    _plain_placement,
    _planning,
    _pool,
    _published,
    _reload,
    _sockets,
    _statements,
    _status,
    _stop,
    _store,
    _stream_records,
)

_logger: Final = logging.getLogger(__name__)
_HOUSEKEEPING_INTERVAL_S: Final = 0.25
# Share of the slack that a planner may use for repeated pieces of a service. The
# planner after it may use as much, those after that half as much each.
_PIECE_SLACK_SHARE: Final = 0.4
_SUSPENSION_THRESHOLD_S: Final = 0.5
_MS_PER_S: Final = 1000


class Gateway:
    """A gateway; ``run`` returns after a planned stop."""

    def __init__(
        self, gateway_settings: settings.GatewaySettings, nursery: trio.Nursery
    ) -> None:
        self._settings = gateway_settings
        self._nursery = nursery
        self._stop_requested = trio.Event()
        self._planned_stop = _stop.PlannedStop(gateway_settings.stop)
        self._published = _published.PublishedState()
        self._metrics = _metrics.GatewayMetrics()
        self._statements = _statements.StatementRecorder(
            serving.EndpointStatements(
                gateway_settings.name,
                _clock.wall_ms(),
                leaving_serves_s=gateway_settings.send.drain_ms / _MS_PER_S,
            ),
            self._published,
            self._metrics,
        )
        self._pool = _pool.ConnectionPool(
            gateway_settings.send, self._statements.record
        )
        self._roster = serving.Roster(
            _own_member(gateway_settings), gateway_settings.link.forget_s
        )
        quarantine = _content_quarantine.ContentQuarantine(
            gateway_settings.quarantine
        )
        self._listing_check = _listing_check.ListingCheck(
            gateway_settings.store, self._published
        )
        self._streams = _stream_records.StreamRecords(
            self._published, self._listing_check
        )
        cluster = _peers.ClusterState(
            self._roster,
            self._published,
            quarantine,
            gateway_settings.link,
            self._statements,
            self._streams,
        )
        checks = _endpoint_checks.EndpointChecks(
            gateway_settings.send, self._metrics, quarantine, nursery
        )
        local = _local_planning.LocalPlanning(
            self._published,
            self._pool,
            checks,
            serving.PlanLimits(
                retry_reserve=gateway_settings.send.retry_slack
                * _PIECE_SLACK_SHARE
            ),
            nursery,
            self._statements.known,
        )
        self._local = local
        links = _planning.Links(gateway_settings, cluster, nursery)
        self._loads = serving.EndpointLoads(
            gateway_settings.zone, random.Random()
        )
        self._repeat_callers = serving.RepeatCallerDetector()
        planning = _planning.Planning(local, links, self._roster)
        context = _in_flight.GatewayContext(
            gateway_settings,
            self._published,
            self._pool,
            planning,
            self._loads,
            _in_flight.RetryBudgets(
                gateway_settings.send, self._count_gateways
            ),
            quarantine,
            checks,
            self._metrics,
            self._planned_stop,
            self._repeat_callers,
            self._streams,
            serving.RunTimes(),
            self._statements.known,
            _plain_placement.PlainPlacement(
                self._published, self._loads, self._statements.known, planning
            ),
        )
        ingress = _ingress.Ingress(context)
        status = _status.Status(self._metrics, self._is_ready, self.dump)
        self._caller_server = _http_server.Server(
            gateway_settings.callers, ingress.serve, ingress.limits
        )
        self._status = [
            _http_server.Server(address, status.serve, status.limits)
            for address in (
                gateway_settings.readiness,
                gateway_settings.metrics,
            )
        ]
        self._peer_server = _peer_server.PeerServer(
            gateway_settings, cluster, local
        )
        self._links = links
        self._store_readers = [
            _store.StoreReader(
                prefix,
                gateway_settings.store,
                self._published,
                self._listing_check.note_listing,
            )
            for prefix in (
                platform.CONFIGURATION_KEY,
                platform.ENDPOINT_PREFIX,
            )
        ]
        self._was_ready = False
        self._published.subscribe(self._apply_published_state)

    async def run(self) -> None:
        """Serve until a planned stop has finished."""
        nursery = self._nursery
        for server in (*self._status, self._caller_server):
            await nursery.start(server.serve)
        await nursery.start(self._peer_server.serve)
        nursery.start_soon(self._local.serve)
        nursery.start_soon(self._links.serve)
        nursery.start_soon(self._streams.share, self._links.up)
        for reader in self._store_readers:
            nursery.start_soon(reader.serve)
        nursery.start_soon(self._listing_check.serve)
        nursery.start_soon(self._run_housekeeping)
        _events.STARTED.log(
            _logger, zone=self._settings.zone, callers=self._settings.callers
        )
        await self._stop_requested.wait()
        await self._stop()

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self._planned_stop.begin()
        self._stop_requested.set()

    def apply_settings(self, changed: settings.GatewaySettings) -> None:
        """Apply the settings that can change while the process runs."""
        self._links.known_peers = changed.known_peers
        logging.getLogger().setLevel(changed.log_level)

    def dump(self) -> dict[str, object]:
        """Return the state of the process, in types that JSON has."""
        return {
            'version': self._published.version,
            'revision': self._published.revision,
            'endpoints': len(self._published.endpoint_index.endpoints),
            'members': len(self._roster.members(_clock.now())),
            'links': len(self._links.up()),
            'streams': self._streams.count,
            'plans': self._local.waiting,
            'open_requests': self._caller_server.open_requests,
            'connections_opened': self._pool.opened,
            'limits': len(self._statements.known.limits),
            'leaving': len(self._statements.known.leaving.incarnations),
            'backoffs': len(self._statements.known.backed_off(_clock.now())),
            'store_calls': sum(reader.calls for reader in self._store_readers),
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
        _events.STOPPING.log(
            _logger, open_requests=self._caller_server.open_requests
        )
        self._roster.announce_leaving(_clock.wall_ms())
        self._caller_server.close_idle()
        stop = self._planned_stop
        while not stop.time_is_up:
            busy = self._caller_server.open_requests or self._local.waiting
            if stop.elapsed_s > self._settings.stop.lame_s and not busy:
                break
            await trio.sleep(_HOUSEKEEPING_INTERVAL_S / 2)
        _events.STOPPED.log(
            _logger,
            open_requests=self._caller_server.open_requests,
            after_ms=round(stop.elapsed_s * _MS_PER_S),
        )

    def _apply_published_state(self) -> None:
        configuration = self._published.configuration
        if configuration is None:
            return
        self._repeat_callers.retain({one.name for one in configuration.routes})
        for name in configuration.services:
            self._loads.retain_endpoints(
                name, self._published.endpoint_index.ready(name)
            )

    async def _run_housekeeping(self) -> None:
        """Drop expired endpoints and detect suspensions of the host."""
        last = _clock.now()
        while True:
            await trio.sleep(_HOUSEKEEPING_INTERVAL_S)
            now = _clock.now()
            if now - last > _HOUSEKEEPING_INTERVAL_S + _SUSPENSION_THRESHOLD_S:
                _events.WOKEN.log(
                    _logger, suspended_ms=round((now - last) * _MS_PER_S)
                )
                self._roster.release_planning()
                await self._pool.clear()
            last = now
            self._published.drop_expired(now)
            listed = {
                one.incarnation
                for one in self._published.endpoint_index.endpoints
            }
            self._statements.expire()
            await self._pool.retain(listed)


def _own_member(gateway_settings: settings.GatewaySettings) -> serving.Member:
    """Return the state of this process at its start."""
    host, port = _sockets.split_address(gateway_settings.peers)
    return serving.Member(
        gateway_settings.name,
        host,
        port,
        gateway_settings.zone,
        gateway_settings.processor_share * gateway_settings.processor_speed,
        _clock.wall_ms(),
    )


async def serve(
    gateway_settings: settings.GatewaySettings, load: _reload.Load
) -> None:
    """Run a gateway until a signal stops it.

    ``load`` reads the settings again. It raises ``SettingsError`` if it cannot.
    """
    async with trio.open_nursery() as nursery:
        gateway = Gateway(gateway_settings, nursery)
        reloader = _reload.Reloader(
            gateway_settings, load, gateway.apply_settings
        )
        await nursery.start(_handle_signals, gateway, reloader)
        nursery.start_soon(reloader.serve)
        await gateway.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(
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
