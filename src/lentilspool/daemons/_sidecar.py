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
    """Return a sidecar daemon; await its ``run`` to start it."""
    return _daemon.Daemon(
        sidecar_settings.name,
        partial(_build, sidecar_settings),
        sidecar_settings.drain_limit_s,
    )


async def _build(
    sidecar_settings: settings.SidecarSettings, nursery: trio.Nursery
) -> kernel.Application:
    return _Sidecar(sidecar_settings, nursery).application()


class _Sidecar:
    """Creates the components of a sidecar and dispatches messages to them."""

    def __init__(
        self, sidecar_settings: settings.SidecarSettings, nursery: trio.Nursery
    ) -> None:
        self._settings = sidecar_settings
        identity = _common.make_identity(
            sidecar_settings, sidecar_settings.port, sidecar_settings.pool
        )
        common = _common.CommonComponents(
            sidecar_settings, identity, self._on_link_message, nursery
        )
        self._common = common
        self._endpoint = _endpoint.Endpoint(
            identity,
            sidecar_settings.endpoint_url,
            common.configuration,
            nursery,
        )
        self._at_most_once = _once.AtMostOnceRunner(
            identity,
            self._endpoint,
            common.signer,
            admission.LedgerLimits(
                max_entries=sidecar_settings.ledger_entries,
                lifetime_s=sidecar_settings.token_lifetime_s,
            ),
            common.pause_monitor,
            nursery,
        )
        self._executor = _executor.Executor(
            identity,
            self._endpoint,
            self._at_most_once,
            lambda: self._orders.busy,
        )
        self._orders = _orders.OrderDriver(
            identity,
            sidecar_settings.endpoint_url,
            self._count_calls,
            common.peers.send,
            nursery,
        )

    def application(self) -> kernel.Application:
        """Connect the components and return the application with all of them."""
        sidecar_settings = self._settings
        common = self._common
        server = common.server(
            (sidecar_settings.address, sidecar_settings.port),
            self._local_state,
            self._handle_message,
        )
        common.configuration.add_listener(
            partial(self._configure_endpoint, server)
        )
        common.configuration.add_listener(self._configure_key_slots)
        common.configuration.add_listener(self._orders.apply_configuration)
        common.hosts.add_listener(self._orders.update_hosts)
        common.pause_monitor.add_listener(self._orders.on_pause)
        self._orders.on_busy_change = server.send_heartbeats_now
        common.pause_monitor.add_listener(server.close_connections)
        status = common.status(lambda: True, lambda: application.dump())
        http = _http_server.HttpServer(
            status,
            sidecar_settings.address,
            sidecar_settings.http_port,
            common.nursery,
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

    def _configure_endpoint(
        self, server: _call_server.CallServer, state: config.State
    ) -> None:
        """Apply a configuration; report at once that calls can now be run."""
        could_run = self._endpoint.slots.limit
        self._endpoint.apply_configuration(state)
        if self._endpoint.slots.limit and not could_run:
            server.send_heartbeats_now()

    def _configure_key_slots(self, state: config.State) -> None:
        sidecar_settings = self._settings
        self._at_most_once.apply_configuration(
            state, f'{sidecar_settings.address}:{sidecar_settings.port}'
        )

    def _count_calls(self) -> int:
        slots = self._endpoint.slots
        return slots.running + slots.queued

    def _local_state(self) -> tuple[wire.ConfigDigest, membership.ReportedLoad]:
        slots = self._endpoint.slots
        limit = 0 if self._orders.busy else slots.limit
        load = membership.ReportedLoad(slots.running, slots.queued, limit)
        return self._common.configuration.config_digest, load

    async def _handle_message(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> None:
        match message:
            case wire.StageCall():
                run = partial(self._run, connection, message)
                connection.start_call(message.call_id, run)
            case wire.AdmitCall():
                await connection.send(self._at_most_once.admit(message))
            case wire.OrderProgress():
                await self._orders.on_progress(message.name, message)
            case _ if not await self._common.handle_common_message(
                connection, message
            ):
                kind = type(message).__name__
                await connection.send(
                    wire.Refusal(0, f'{kind} is not supported by a sidecar')
                )

    async def _run(
        self, connection: _call_server.Connection, call: wire.StageCall
    ) -> None:
        await self._executor.run(call, connection.send)
        heartbeats = self._common.identity.heartbeats
        heartbeats.record_answer(connection.name, trio.current_time())

    async def _on_link_message(
        self, link: _link.Link, message: wire.Message
    ) -> None:
        if isinstance(message, wire.OrderProgress) and link.peer:
            await self._orders.on_progress(link.peer.process, message)
