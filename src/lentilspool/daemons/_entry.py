"""The entry daemon."""

from functools import partial
from typing import Any, Final

import trio

from lentilspool import (
    admission,
    config,
    kernel,
    limits,
    membership,
    settings,
    telemetry,
    wire,
)
from lentilspool.daemons import (
    _accept,
    _attempts,
    _call_server,
    _collect,
    _configuration,
    _daemon,
    _directory,
    _front,
    _held_calls,
    _hosts,
    _http_server,
    _identity,
    _link,
    _peers,
    _published,
    _pulse,
    _runner,
    _sidecar,
    _spend,
    _stages,
    _status,
    _submission,
    _suspects,
    _unrepeatable,
    _waiting,
    _waiting_runs,
)

_CONFIG_MESSAGES: Final = (
    wire.ConfigDigest,
    wire.ConfigPull,
    wire.ConfigPush,
)


def entry(entry_settings: settings.EntrySettings) -> _daemon.Daemon:
    """Return an entry that runs when its ``run`` is awaited."""
    return _daemon.Daemon(
        entry_settings.name,
        partial(_build, entry_settings),
        entry_settings.drain_limit_s,
    )


async def _build(
    own: settings.EntrySettings, nursery: trio.Nursery
) -> kernel.Application:
    """Return the application with all components."""
    identity = _identity.Identity(
        own.name,
        own.zone,
        (own.address, own.peer_port),
        beat_limits=membership.BeatLimits(
            min_interval_s=own.links.heartbeat_interval_s
        ),
    )
    return _Switch(own, identity, nursery).application()


class _Switch:
    """Holds the parts of one entry and hands messages to them."""

    def __init__(
        self,
        own: settings.EntrySettings,
        identity: _identity.Identity,
        nursery: trio.Nursery,
    ) -> None:
        self._own = own
        self._nursery = nursery
        self._identity = identity
        self._metrics = telemetry.Metrics()
        self._signer = _sidecar.signer_of(own.keys)
        self._times = limits.ServiceTimes()
        self._pulse = _pulse.Pulse(own.links.lease_s, nursery)
        self._hosts = _hosts.HostList(own.platform, nursery)
        self._peers = _peers.Peers(identity, own.links, self._heard, nursery)
        self._configuration = _configuration.Configuration(
            config.Member(own.name, own.zone),
            own.platform,
            self._peers.send,
            nursery,
        )
        self._directory = _directory.Directory(
            identity, own.links, self._heard, nursery
        )
        self._published = _published.Published()
        self._spend = _spend.Spend()
        self._suspects = _suspects.Suspects(own.name, self._peers.send, nursery)
        self._runner = self._make_runner()
        self._waiting = _waiting.Waiting(
            admission.Peer(own.name, own.zone),
            _held_calls.HeldCalls(self._peers),
            _waiting_runs.WaitingRuns(self._configuration, self._runner),
            nursery,
        )

    def application(self) -> kernel.Application:
        """Return the application with all components."""
        own = self._own
        self._hosts.listen(self._peers.follow)
        self._hosts.listen(self._configuration.follow)
        self._hosts.listen(self._directory.follow)
        self._hosts.listen(self._suspects.follow)
        self._hosts.listen(self._spend.follow)
        self._hosts.listen(self._waiting.follow)
        self._pulse.listen(self._waiting.on_pause)
        self._configuration.listen(self._published.adopt)
        self._configuration.listen(self._spend.adopt)
        self._configuration.listen(self._directory.adopt)
        self._configuration.listen(self._runner.adopt)
        front = _front.Front(
            _submission.Gate(self._configuration, own.callers, self._signer),
            self._runner,
            _collect.Collect(self._directory, self._signer, self._waiting),
            _accept.Accept(self._configuration, self._runner, self._waiting),
            own.callers,
            _status.Status(
                self._metrics, self._ready, lambda: application.dump()
            ),
        )
        server = _call_server.CallServer(
            (own.address, own.peer_port),
            self._identity,
            own.links,
            lambda: (self._configuration.held, membership.Load()),
            self._serve,
            self._nursery,
        )
        application = kernel.Application(
            {
                'identity': self._identity,
                'pulse': self._pulse,
                'hosts': self._hosts,
                'configuration': self._configuration,
                'directory': self._directory,
                'quarantine': self._suspects,
                'spend': self._spend,
                'requests': self._runner,
                'waiting': self._waiting,
                'server': server,
                'http': _http_server.HttpServer(
                    front,
                    own.address,
                    own.port,
                    self._nursery,
                    _server_options(own.callers),
                ),
                'front': front,
            },
            hooks=(self._identity.follow_state,),
        )
        return application

    def _make_runner(self) -> _runner.Runner:
        attempts = _attempts.Attempts(
            self._directory,
            self._published,
            self._suspects,
            self._spend,
            self._times,
            self._metrics,
        )
        unrepeatable = _unrepeatable.Unrepeatable(
            self._directory, attempts, self._published, self._signer
        )
        stages = _stages.Stages(
            self._directory,
            attempts,
            self._times,
            unrepeatable,
            self._suspects,
            self._own.zone,
        )
        return _runner.Runner(
            self._directory,
            attempts,
            stages,
            self._times,
            self._suspects,
            self._spend,
        )

    def _ready(self) -> bool:
        return (
            self._configuration.ready
            and self._directory.ready
            and not self._identity.leaving
        )

    async def _serve(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> None:
        peer = connection.peer.process if connection.peer else ''
        if isinstance(message, wire.Hello):
            self._peers.accepted(peer, connection)
            connection.when_ended(partial(self._peers.closed, peer, connection))
        elif isinstance(message, _CONFIG_MESSAGES):
            await self._configuration.on_message(peer, message)
        elif isinstance(message, wire.Suspicions):
            self._suspects.heard(message)
        else:
            await connection.send(await self._answer(message, peer))

    async def _answer(self, message: wire.Message, peer: str) -> wire.Message:
        """Answer a call of another entry about requests that may wait."""
        match message:
            case wire.HeldCall():
                return await self._waiting.serve(message, peer)
            case wire.RenewCall():
                return self._waiting.desk.renew(message, peer)
            case wire.CollectCall():
                return self._waiting.desk.tell(message)
            case _:
                kind = type(message).__name__
                return wire.Refusal(0, f'{kind} is not served here')

    async def _heard(self, link: _link.Link, message: wire.Message) -> None:
        if isinstance(message, _CONFIG_MESSAGES) and link.peer:
            await self._configuration.on_message(link.peer.process, message)
        elif isinstance(message, wire.Suspicions):
            self._suspects.heard(message)


def _server_options(callers: settings.CallerLimits) -> dict[str, Any]:
    """Return the HTTP server's options for the limits towards callers."""
    return {
        'h11_max_incomplete_size': callers.max_header_bytes,
        'h2_max_header_list_size': callers.max_header_bytes,
        'keep_alive_timeout': callers.header_timeout_s,
        'backlog': callers.max_connections,
    }
