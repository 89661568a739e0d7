"""Components that entries and sidecars have in common."""

from collections.abc import Callable
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
    _hosts,
    _identity,
    _link,
    _peers,
    _pulse,
    _status,
)

_CONFIG_MESSAGES: Final = (
    wire.ConfigDigest,
    wire.ConfigPull,
    wire.ConfigPush,
)

DaemonSettings = settings.EntrySettings | settings.SidecarSettings


class CommonComponents:
    """Identity, pause monitor, host list, peers and configuration.

    ``on_link_message`` receives the messages on connections that this
    process opened. It handles those about the configuration and passes the
    others to the listener.
    """

    def __init__(
        self,
        daemon_settings: DaemonSettings,
        identity: _identity.Identity,
        listener: _link.Listener,
        nursery: trio.Nursery,
    ) -> None:
        self._settings = daemon_settings
        self._listener = listener
        self.nursery = nursery
        self.identity = identity
        self.signer = _make_signer(daemon_settings.keys)
        self.metrics = telemetry.Metrics()
        self.pause_monitor = _pulse.PauseMonitor(
            daemon_settings.links.lease_s, nursery
        )
        self.hosts = _hosts.HostList(daemon_settings.platform, nursery)
        self.peers = _peers.Peers(
            identity, daemon_settings.links, self.on_link_message, nursery
        )
        self.configuration = _configuration.Configuration(
            config.Member(daemon_settings.name, daemon_settings.zone),
            daemon_settings.platform,
            self.peers.send,
            nursery,
        )
        self.hosts.add_listener(self.peers.update_hosts)
        self.hosts.add_listener(self.configuration.update_hosts)

    def server(
        self,
        listen: tuple[str, int],
        state: _call_server.ReadLocalState,
        serve: _call_server.HandleMessage,
    ) -> _call_server.CallServer:
        """Return the server for connections of entries and sidecars."""
        links = self._settings.links
        return _call_server.CallServer(
            listen, self.identity, links, state, serve, self.nursery
        )

    def status(
        self, ready: Callable[[], bool], dump: Callable[[], object]
    ) -> _status.Status:
        """Return the HTTP application with health, metrics and state dump."""

        def is_ready() -> bool:
            leaving = self.identity.leaving
            return self.configuration.ready and not leaving and ready()

        return _status.Status(self.metrics, is_ready, dump)

    def application(
        self, parts: dict[str, kernel.Component]
    ) -> kernel.Application:
        """Return the application of the common and the given components."""
        common: dict[str, kernel.Component] = {
            'identity': self.identity,
            'pulse': self.pause_monitor,
            'hosts': self.hosts,
            'configuration': self.configuration,
        }
        hooks = (self.identity.on_life_cycle_state,)
        return kernel.Application({**common, **parts}, hooks)

    async def handle_common_message(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> bool:
        """Handle a message on an accepted connection.

        Returns False if the message is not one that every daemon handles.
        """
        peer = connection.peer.process if connection.peer else ''
        if isinstance(message, wire.Hello):
            self.peers.add_connection(peer, connection)
            ended = partial(self.peers.remove_connection, peer, connection)
            connection.set_end_listener(ended)
            return True
        if isinstance(message, _CONFIG_MESSAGES):
            await self.configuration.on_message(peer, message)
            return True
        return False

    async def on_link_message(
        self, link: _link.Link, message: wire.Message
    ) -> None:
        """Handle a message on a connection that this process opened."""
        if isinstance(message, _CONFIG_MESSAGES) and link.peer:
            await self.configuration.on_message(link.peer.process, message)
        else:
            await self._listener(link, message)


def make_identity(
    daemon_settings: DaemonSettings, port: int, pool: str = ''
) -> _identity.Identity:
    """Return the identity of the process with these settings."""
    limits = membership.HeartbeatLimits(
        min_interval_s=daemon_settings.links.heartbeat_interval_s
    )
    return _identity.Identity(
        daemon_settings.name,
        daemon_settings.zone,
        (daemon_settings.address, port),
        pool,
        limits,
    )


def _make_signer(keys: settings.KeySettings) -> admission.TokenSigner:
    previous = keys.previous.encode() if keys.previous else None
    return admission.TokenSigner(keys.current.encode(), previous)
