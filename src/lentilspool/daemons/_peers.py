"""Reaching any other process by its name."""

from typing import Final

import trio

from lentilspool import settings, wire
from lentilspool.daemons import (
    _call_server,
    _hosts,
    _identity,
    _link,
    _targets,
)

_KEPT_LEASES: Final = 30


class Peers:
    """Sends messages to processes by name, over whatever connection there is.

    A connection that the other process opened is used if there is one;
    else one is opened and the message is lost, which its sender allows for.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        link_settings: settings.LinkSettings,
        listener: _link.Listener,
        nursery: trio.Nursery,
    ) -> None:
        self._targets = _targets.Targets(
            identity.hello(), link_settings, listener, nursery
        )
        self._addresses: dict[str, tuple[str, int]] = {}
        self._accepted: dict[str, _call_server.Connection] = {}
        self._wanted: dict[str, float] = {}
        self._name = identity.name
        self._keep_s = _KEPT_LEASES * link_settings.lease_s

    def follow(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Take a new host list."""
        self._addresses = {host.name: host.target for host in hosts}
        self._refresh()

    def accepted(self, name: str, connection: _call_server.Connection) -> None:
        """Remember a connection that another process opened."""
        self._accepted[name] = connection

    def closed(self, name: str, connection: _call_server.Connection) -> None:
        """Forget a connection that has ended."""
        if self._accepted.get(name) is connection:
            self._accepted.pop(name)

    def reach(self, name: str) -> _link.Link | None:
        """Return the connection to a process; open one if there is none."""
        if name not in self._wanted:
            self._wanted[name] = trio.current_time()
            self._refresh()
        self._wanted[name] = trio.current_time()
        return self.find(name)

    def find(self, name: str) -> _link.Link | None:
        """Return the usable connection that this process opened."""
        address = self._addresses.get(name)
        return self._targets.find(address) if address else None

    async def send(self, name: str, message: wire.Message) -> None:
        """Send a message; it may be lost."""
        connection = self._accepted.get(name)
        if connection is not None and await connection.send(message):
            return
        link = self.reach(name)
        if link is not None:
            await link.send(message)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'accepted': sorted(self._accepted),
            'opened': sorted(
                name for name in self._wanted if self.find(name) is not None
            ),
        }

    def _refresh(self) -> None:
        oldest = trio.current_time() - self._keep_s
        self._wanted = {
            name: used
            for name, used in self._wanted.items()
            if used > oldest and name in self._addresses and name != self._name
        }
        self._targets.want(self._addresses[name] for name in self._wanted)
