"""Parts that every daemon has."""

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


class Common:
    """Identity, pulse, host list, peers and configuration of a process.

    Messages that other processes send on connections that this one opened
    go to ``heard``; it takes those about the configuration, and hands the
    rest to the listener.
    """

    def __init__(
        self,
        own: DaemonSettings,
        identity: _identity.Identity,
        listener: _link.Listener,
        nursery: trio.Nursery,
    ) -> None:
        self._own = own
        self._listener = listener
        self.nursery = nursery
        self.identity = identity
        self.signer = _signer_of(own.keys)
        self.metrics = telemetry.Metrics()
        self.pulse = _pulse.Pulse(own.links.lease_s, nursery)
        self.hosts = _hosts.HostList(own.platform, nursery)
        self.peers = _peers.Peers(identity, own.links, self.heard, nursery)
        self.configuration = _configuration.Configuration(
            config.Member(own.name, own.zone),
            own.platform,
            self.peers.send,
            nursery,
        )
        self.hosts.listen(self.peers.follow)
        self.hosts.listen(self.configuration.follow)

    def server(
        self,
        listen: tuple[str, int],
        state: _call_server.State,
        serve: _call_server.Serve,
    ) -> _call_server.CallServer:
        """Return the server for other processes."""
        links = self._own.links
        return _call_server.CallServer(
            listen, self.identity, links, state, serve, self.nursery
        )

    def status(
        self, ready: Callable[[], bool], dump: Callable[[], object]
    ) -> _status.Status:
        """Return the resources for operators."""

        def is_ready() -> bool:
            leaving = self.identity.leaving
            return self.configuration.ready and not leaving and ready()

        return _status.Status(self.metrics, is_ready, dump)

    def application(
        self, parts: dict[str, kernel.Component]
    ) -> kernel.Application:
        """Return the application of the common parts and the given ones."""
        common: dict[str, kernel.Component] = {
            'identity': self.identity,
            'pulse': self.pulse,
            'hosts': self.hosts,
            'configuration': self.configuration,
        }
        hooks = (self.identity.follow_state,)
        return kernel.Application({**common, **parts}, hooks)

    async def take(
        self, connection: _call_server.Connection, message: wire.Message
    ) -> bool:
        """Take a message that every daemon takes; False if it is another."""
        peer = connection.peer.process if connection.peer else ''
        if isinstance(message, wire.Hello):
            self.peers.accepted(peer, connection)
            ended = partial(self.peers.closed, peer, connection)
            connection.when_ended(ended)
            return True
        if isinstance(message, _CONFIG_MESSAGES):
            await self.configuration.on_message(peer, message)
            return True
        return False

    async def heard(self, link: _link.Link, message: wire.Message) -> None:
        """Take a message on a connection that this process opened."""
        if isinstance(message, _CONFIG_MESSAGES) and link.peer:
            await self.configuration.on_message(link.peer.process, message)
        else:
            await self._listener(link, message)


def identity_of(
    own: DaemonSettings, port: int, pool: str = ''
) -> _identity.Identity:
    """Return the identity of a process for its settings."""
    limits = membership.BeatLimits(
        min_interval_s=own.links.heartbeat_interval_s
    )
    return _identity.Identity(
        own.name, own.zone, (own.address, port), pool, limits
    )


def _signer_of(keys: settings.KeySettings) -> admission.TokenSigner:
    previous = keys.previous.encode() if keys.previous else None
    return admission.TokenSigner(keys.current.encode(), previous)
