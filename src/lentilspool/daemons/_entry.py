"""The entry daemon."""

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
    _accept,
    _attempts,
    _call_server,
    _collect,
    _common,
    _daemon,
    _directory,
    _front,
    _held_calls,
    _http_server,
    _link,
    _published,
    _runner,
    _spend,
    _stages,
    _submission,
    _suspects,
    _unrepeatable,
    _waiting,
    _waiting_runs,
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
    return _Entry(own, nursery).application()


class _Entry:
    """Puts the parts of one entry together and hands messages to them."""

    def __init__(
        self, own: settings.EntrySettings, nursery: trio.Nursery
    ) -> None:
        self._own = own
        identity = _common.identity_of(own, own.peer_port)
        common = _common.Common(own, identity, self._heard, nursery)
        self._common = common
        self._times = limits.ServiceTimes()
        self._directory = _directory.Directory(
            identity, own.links, common.heard, nursery
        )
        self._published = _published.Published()
        self._spend = _spend.Spend()
        self._suspects = _suspects.Suspects(
            own.name, common.peers.send, nursery
        )
        self._runner = self._make_runner()
        self._waiting = _waiting.Waiting(
            admission.Peer(own.name, own.zone),
            _held_calls.HeldCalls(common.peers),
            _waiting_runs.WaitingRuns(common.configuration, self._runner),
            nursery,
        )

    def application(self) -> kernel.Application:
        """Return the application with all components."""
        own = self._own
        self._listen()
        server = self._common.server(
            (own.address, own.peer_port), self._state, self._serve
        )

        def dump() -> object:
            return application.dump()

        front = self._make_front(dump)
        http = _http_server.HttpServer(
            front,
            own.address,
            own.port,
            self._common.nursery,
            _server_options(own.callers),
        )
        application = self._common.application(
            {
                'directory': self._directory,
                'quarantine': self._suspects,
                'spend': self._spend,
                'requests': self._runner,
                'waiting': self._waiting,
                'server': server,
                'http': http,
                'front': front,
            }
        )
        return application

    def _listen(self) -> None:
        common = self._common
        common.hosts.listen(self._directory.follow)
        common.hosts.listen(self._suspects.follow)
        common.hosts.listen(self._spend.follow)
        common.hosts.listen(self._waiting.follow)
        common.pulse.listen(self._waiting.on_pause)
        common.configuration.listen(self._published.adopt)
        common.configuration.listen(self._spend.adopt)
        common.configuration.listen(self._directory.adopt)
        common.configuration.listen(self._runner.adopt)

    def _make_front(self, dump: Callable[[], object]) -> _front.Front:
        callers = self._own.callers
        common = self._common
        held = common.configuration
        return _front.Front(
            _submission.Gate(held, callers, common.signer),
            self._runner,
            _collect.Collect(self._directory, common.signer, self._waiting),
            _accept.Accept(held, self._runner, self._waiting),
            callers,
            common.status(lambda: self._directory.ready, dump),
        )

    def _make_runner(self) -> _runner.Runner:
        attempts = _attempts.Attempts(
            self._directory,
            self._published,
            self._suspects,
            self._spend,
            self._times,
            self._common.metrics,
        )
        unrepeatable = _unrepeatable.Unrepeatable(
            self._directory, attempts, self._published, self._common.signer
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

    def _state(self) -> tuple[wire.ConfigDigest, membership.Load]:
        return self._common.configuration.held, membership.Load()

    async def _serve(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> None:
        peer = connection.peer.process if connection.peer else ''
        if isinstance(message, wire.Suspicions):
            self._suspects.heard(message)
        elif not await self._common.take(connection, message):
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
        if isinstance(message, wire.Suspicions):
            self._suspects.heard(message)


def _server_options(callers: settings.CallerLimits) -> dict[str, Any]:
    """Return the HTTP server's options for the limits towards callers."""
    return {
        'h11_max_incomplete_size': callers.max_header_bytes,
        'h2_max_header_list_size': callers.max_header_bytes,
        'keep_alive_timeout': callers.header_timeout_s,
        'backlog': callers.backlog,
    }
