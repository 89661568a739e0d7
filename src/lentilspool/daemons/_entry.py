"""The entry daemon: admits requests and sends their stages to sidecars."""

from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from lentilspool import (
    admission,
    kernel,
    limits,
    membership,
    settings,
    wire,
)
from lentilspool.daemons import (
    _acceptor,
    _attempts,
    _call_server,
    _caller_api,
    _collector,
    _common,
    _configuration_lookup,
    _daemon,
    _directory,
    _held_calls,
    _held_request_runner,
    _held_requests,
    _http_server,
    _link,
    _runner,
    _shared_quarantine,
    _spend,
    _stages,
    _submission,
    _unrepeatable,
)


def entry(entry_settings: settings.EntrySettings) -> _daemon.Daemon:
    """Return an entry; awaiting its ``run`` starts it."""
    return _daemon.Daemon(
        entry_settings.name,
        partial(_build, entry_settings),
        entry_settings.drain_limit_s,
    )


async def _build(
    entry_settings: settings.EntrySettings, nursery: trio.Nursery
) -> kernel.Application:
    return _Entry(entry_settings, nursery).application()


class _Entry:
    """Builds the components of one entry and dispatches messages to them."""

    def __init__(
        self, entry_settings: settings.EntrySettings, nursery: trio.Nursery
    ) -> None:
        self._settings = entry_settings
        identity = _common.make_identity(
            entry_settings, entry_settings.peer_port
        )
        common = _common.CommonComponents(
            entry_settings, identity, self._on_message, nursery
        )
        self._common = common
        self._times = limits.ServiceTimes()
        self._directory = _directory.Directory(
            identity, entry_settings.links, common.on_link_message, nursery
        )
        self._configuration_lookup = _configuration_lookup.ConfigurationLookup()
        self._spend = _spend.SpendControl()
        self._shared_quarantine = _shared_quarantine.SharedQuarantine(
            entry_settings.name, common.peers.send, nursery
        )
        self._runner = self._make_request_runner()
        self._held_requests = _held_requests.HeldRequests(
            admission.Peer(entry_settings.name, entry_settings.zone),
            _held_calls.HeldCalls(common.peers),
            _held_request_runner.HeldRequestRunner(
                common.configuration, self._runner
            ),
            nursery,
        )

    def application(self) -> kernel.Application:
        """Return the application with all components of the entry."""
        entry_settings = self._settings
        self._subscribe()
        server = self._common.server(
            (entry_settings.address, entry_settings.peer_port),
            self._heartbeat_state,
            self._serve,
        )

        def dump() -> object:
            return application.dump()

        caller_api = self._make_caller_api(dump)
        http = _http_server.HttpServer(
            caller_api,
            entry_settings.address,
            entry_settings.port,
            self._common.nursery,
            _server_options(entry_settings.callers),
        )
        application = self._common.application(
            {
                'directory': self._directory,
                'quarantine': self._shared_quarantine,
                'spend': self._spend,
                'requests': self._runner,
                'waiting': self._held_requests,
                'server': server,
                'http': http,
                'front': caller_api,
            }
        )
        return application

    def _subscribe(self) -> None:
        common = self._common
        common.hosts.add_listener(self._directory.update_hosts)
        common.hosts.add_listener(self._shared_quarantine.update_hosts)
        common.hosts.add_listener(self._spend.update_hosts)
        common.hosts.add_listener(self._held_requests.update_hosts)
        common.pause_monitor.add_listener(self._held_requests.on_pause)
        common.configuration.add_listener(
            self._configuration_lookup.apply_configuration
        )
        common.configuration.add_listener(self._spend.apply_configuration)
        common.configuration.add_listener(self._directory.apply_configuration)
        common.configuration.add_listener(self._runner.apply_configuration)

    def _make_caller_api(
        self, dump: Callable[[], object]
    ) -> _caller_api.CallerApi:
        callers = self._settings.callers
        common = self._common
        configuration = common.configuration
        return _caller_api.CallerApi(
            _submission.SubmissionReader(configuration, callers, common.signer),
            self._runner,
            _collector.Collector(
                self._directory, common.signer, self._held_requests
            ),
            _acceptor.Acceptor(
                configuration, self._runner, self._held_requests
            ),
            callers,
            common.status(lambda: self._directory.ready, dump),
        )

    def _make_request_runner(self) -> _runner.RequestRunner:
        attempts = _attempts.AttemptSender(
            self._directory,
            self._configuration_lookup,
            self._shared_quarantine,
            self._spend,
            self._times,
            self._common.metrics,
        )
        unrepeatable = _unrepeatable.UnrepeatableStages(
            self._directory,
            attempts,
            self._configuration_lookup,
            self._common.signer,
        )
        stages = _stages.StageRunner(
            self._directory,
            attempts,
            self._times,
            unrepeatable,
            self._shared_quarantine,
            self._settings.zone,
        )
        return _runner.RequestRunner(
            self._directory,
            attempts,
            stages,
            self._times,
            self._shared_quarantine,
            self._spend,
        )

    def _heartbeat_state(
        self,
    ) -> tuple[wire.ConfigDigest, membership.ReportedLoad]:
        return (
            self._common.configuration.config_digest,
            membership.ReportedLoad(),
        )

    async def _serve(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> None:
        peer = connection.peer.process if connection.peer else ''
        if isinstance(message, wire.Suspicions):
            self._shared_quarantine.merge_suspicions(message)
        elif not await self._common.handle_common_message(connection, message):
            await connection.send(await self._answer(message, peer))

    async def _answer(self, message: wire.Message, peer: str) -> wire.Message:
        """Answer a call of another entry about a request that may wait."""
        match message:
            case wire.HeldCall():
                return await self._held_requests.serve(message, peer)
            case wire.RenewCall():
                return self._held_requests.responder.renew(message, peer)
            case wire.CollectCall():
                return self._held_requests.responder.answer_collect(message)
            case _:
                kind = type(message).__name__
                return wire.Refusal(0, f'{kind} is not served here')

    async def _on_message(
        self, link: _link.Link, message: wire.Message
    ) -> None:
        if isinstance(message, wire.Suspicions):
            self._shared_quarantine.merge_suspicions(message)


def _server_options(callers: settings.CallerLimits) -> dict[str, Any]:
    """Return the HTTP server options that enforce the caller limits."""
    return {
        'h11_max_incomplete_size': callers.max_header_bytes,
        'h2_max_header_list_size': callers.max_header_bytes,
        'keep_alive_timeout': callers.header_timeout_s,
        'backlog': callers.backlog,
    }
