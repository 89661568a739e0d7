"""The sidecar daemon."""

from functools import partial
from typing import Final

import trio

from lentilspool import (
    admission,
    config,
    kernel,
    membership,
    settings,
    telemetry,
    wire,
)
from lentilspool.daemons import (
    _call_server,
    _configuration,
    _daemon,
    _endpoint,
    _executor,
    _hosts,
    _http_server,
    _identity,
    _link,
    _once,
    _orders,
    _peers,
    _pulse,
    _status,
)

_CONFIG_MESSAGES: Final = (
    wire.ConfigDigest,
    wire.ConfigPull,
    wire.ConfigPush,
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
    """Return the application with all components."""
    identity = _identity.Identity(
        own.name,
        own.zone,
        (own.address, own.port),
        own.pool,
        membership.BeatLimits(min_interval_s=own.links.heartbeat_interval_s),
    )
    return _Switch(own, identity, nursery).application()


class _Switch:
    """Holds the parts of one sidecar and hands messages to them."""

    def __init__(
        self,
        own: settings.SidecarSettings,
        identity: _identity.Identity,
        nursery: trio.Nursery,
    ) -> None:
        self._own = own
        self._nursery = nursery
        self._identity = identity
        self._pulse = _pulse.Pulse(own.links.lease_s, nursery)
        self._hosts = _hosts.HostList(own.platform, nursery)
        self._peers = _peers.Peers(identity, own.links, self._heard, nursery)
        self._configuration = _configuration.Configuration(
            config.Member(own.name, own.zone),
            own.platform,
            self._peers.send,
            nursery,
        )
        self._endpoint = _endpoint.Endpoint(
            identity, own.endpoint_url, self._configuration, nursery
        )
        self._once = _once.Once(
            identity,
            self._endpoint,
            signer_of(own.keys),
            admission.LedgerLimits(
                max_entries=own.ledger_entries,
                lifetime_s=own.token_lifetime_s,
            ),
            self._pulse,
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
            self._peers.send,
            nursery,
        )

    def application(self) -> kernel.Application:
        """Return the application with all components."""
        own = self._own
        self._hosts.listen(self._peers.follow)
        self._hosts.listen(self._configuration.follow)
        self._configuration.listen(self._endpoint.adopt)
        self._configuration.listen(self._adopt_slots)
        self._configuration.listen(self._orders.adopt)
        self._hosts.listen(self._orders.follow)
        self._pulse.listen(self._orders.pause)
        server = _call_server.CallServer(
            (own.address, own.port),
            self._identity,
            own.links,
            self._state,
            self._serve,
            self._nursery,
        )
        self._orders.changed = server.announce
        status = _status.Status(
            telemetry.Metrics(),
            lambda: self._configuration.ready and not self._identity.leaving,
            lambda: application.dump(),
        )
        application = kernel.Application(
            {
                'identity': self._identity,
                'pulse': self._pulse,
                'hosts': self._hosts,
                'configuration': self._configuration,
                'http': _http_server.HttpServer(
                    status, own.address, own.http_port, self._nursery
                ),
                'orders': self._orders,
                'executor': self._executor,
                'server': server,
            },
            hooks=(self._identity.follow_state,),
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
        return self._configuration.held, load

    async def _serve(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> None:
        peer = connection.peer.process if connection.peer else ''
        match message:
            case wire.StageCall():
                connection.start_call(
                    message.call_id,
                    partial(self._run, connection, message),
                )
            case wire.AdmitCall():
                await connection.send(self._once.admit(message))
            case wire.Hello():
                self._peers.accepted(peer, connection)
                connection.when_ended(
                    partial(self._peers.closed, peer, connection)
                )
            case wire.OrderProgress():
                await self._orders.heard(peer, message)
            case _ if isinstance(message, _CONFIG_MESSAGES):
                await self._configuration.on_message(peer, message)
            case _:
                kind = type(message).__name__
                await connection.send(wire.Refusal(0, f'{kind} is not served'))

    async def _run(
        self, connection: _call_server.Connection, call: wire.StageCall
    ) -> None:
        await self._executor.run(call, connection.send)
        self._identity.beat.answered(connection.name, trio.current_time())

    async def _heard(self, link: _link.Link, message: wire.Message) -> None:
        if link.peer is None:
            return
        if isinstance(message, wire.OrderProgress):
            await self._orders.heard(link.peer.process, message)
        elif isinstance(message, _CONFIG_MESSAGES):
            await self._configuration.on_message(link.peer.process, message)


def signer_of(keys: settings.KeySettings) -> admission.TokenSigner:
    """Return the signer of admission tokens for the keys of the settings."""
    previous = keys.previous.encode() if keys.previous else None
    return admission.TokenSigner(keys.current.encode(), previous)
