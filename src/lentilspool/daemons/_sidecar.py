"""The sidecar daemon."""

from functools import partial

import trio

from lentilspool import (
    admission,
    config,
    kernel,
    membership,
    settings,
    wire,
)
from lentilspool.daemons import (
    _call_server,
    _common,
    _daemon,
    _endpoint,
    _executor,
    _http_server,
    _link,
    _once,
    _orders,
)


def sidecar(sidecar_settings: settings.SidecarSettings) -> _daemon.Daemon:
    """Return a sidecar that runs when its ``run`` is awaited."""
    return _daemon.Daemon(
        sidecar_settings.name,
        partial(_build, sidecar_settings),
        sidecar_settings.drain_limit_s,
    )


async def _build(
    own: settings.SidecarSettings, nursery: trio.Nursery
) -> kernel.Application:
    return _Sidecar(own, nursery).application()


class _Sidecar:
    """Puts the parts of one sidecar together and hands messages to them."""

    def __init__(
        self, own: settings.SidecarSettings, nursery: trio.Nursery
    ) -> None:
        self._own = own
        identity = _common.identity_of(own, own.port, own.pool)
        common = _common.Common(own, identity, self._heard, nursery)
        self._common = common
        self._endpoint = _endpoint.Endpoint(
            identity, own.endpoint_url, common.configuration, nursery
        )
        self._once = _once.Once(
            identity,
            self._endpoint,
            common.signer,
            admission.LedgerLimits(
                max_entries=own.ledger_entries,
                lifetime_s=own.token_lifetime_s,
            ),
            common.pulse,
            nursery,
        )
        self._executor = _executor.Executor(
            identity,
            self._endpoint,
            self._once,
            lambda: self._orders.busy,
        )
        self._orders = _orders.Orders(
            identity,
            own.endpoint_url,
            self._calls,
            common.peers.send,
            nursery,
        )

    def application(self) -> kernel.Application:
        """Return the application with all components."""
        own = self._own
        common = self._common
        common.configuration.listen(self._endpoint.adopt)
        common.configuration.listen(self._adopt_slots)
        common.configuration.listen(self._orders.adopt)
        common.hosts.listen(self._orders.follow)
        common.pulse.listen(self._orders.pause)
        server = common.server(
            (own.address, own.port), self._state, self._serve
        )
        self._orders.changed = server.announce
        common.pulse.listen(server.close_connections)
        status = common.status(lambda: True, lambda: application.dump())
        http = _http_server.HttpServer(
            status, own.address, own.http_port, common.nursery
        )
        application = common.application(
            {
                'http': http,
                'orders': self._orders,
                'executor': self._executor,
                'server': server,
            }
        )
        return application

    def _adopt_slots(self, state: config.State) -> None:
        own = self._own
        self._once.adopt(state, f'{own.address}:{own.port}')

    def _calls(self) -> int:
        slots = self._endpoint.slots
        return slots.running + slots.queued

    def _state(self) -> tuple[wire.ConfigDigest, membership.Load]:
        slots = self._endpoint.slots
        limit = 0 if self._orders.busy else slots.limit
        load = membership.Load(slots.running, slots.queued, limit)
        return self._common.configuration.held, load

    async def _serve(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> None:
        match message:
            case wire.StageCall():
                run = partial(self._run, connection, message)
                connection.start_call(message.call_id, run)
            case wire.AdmitCall():
                await connection.send(self._once.admit(message))
            case wire.OrderProgress():
                await self._orders.heard(message.name, message)
            case _ if not await self._common.take(connection, message):
                kind = type(message).__name__
                await connection.send(wire.Refusal(0, f'{kind} is not served'))

    async def _run(
        self, connection: _call_server.Connection, call: wire.StageCall
    ) -> None:
        await self._executor.run(call, connection.send)
        beat = self._common.identity.beat
        beat.answered(connection.name, trio.current_time())

    async def _heard(self, link: _link.Link, message: wire.Message) -> None:
        if isinstance(message, wire.OrderProgress) and link.peer:
            await self._orders.heard(link.peer.process, message)
