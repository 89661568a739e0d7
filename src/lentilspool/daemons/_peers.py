"""Messages to other processes, addressed by process name."""

from typing import Final

import trio

from lentilspool import settings, wire
from lentilspool.daemons import (
    _call_server,
    _connections,
    _hosts,
    _identity,
    _link,
)

_IDLE_LIMIT_LEASES: Final = 30


class Peers:
    """Sends messages to processes by name, over any existing connection.

    A connection that the other process opened is preferred. If no connection
    is usable, one is opened for later messages and the current message is
    lost, so senders must tolerate loss. A connection that was opened here and
    not used for ``_IDLE_LIMIT_LEASES`` leases is closed at the next update.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        link_settings: settings.LinkSettings,
        listener: _link.Listener,
        nursery: trio.Nursery,
    ) -> None:
        self._connections = _connections.Connections(
            identity.hello(), link_settings, listener, nursery
        )
        self._addresses: dict[str, tuple[str, int]] = {}
        self._accepted_connections: dict[str, _call_server.Connection] = {}
        self._last_used: dict[str, float] = {}
        self._name = identity.name
        self._idle_limit_s = _IDLE_LIMIT_LEASES * link_settings.lease_s

    def update_hosts(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Apply a new host list."""
        self._addresses = {host.name: host.target for host in hosts}
        self._update_targets()

    def add_connection(
        self, name: str, connection: _call_server.Connection
    ) -> None:
        """Add a connection that another process opened."""
        self._accepted_connections[name] = connection

    def remove_connection(
        self, name: str, connection: _call_server.Connection
    ) -> None:
        """Remove a connection that has ended."""
        if self._accepted_connections.get(name) is connection:
            self._accepted_connections.pop(name)

    def connect(self, name: str) -> _link.Link | None:
        """Return the usable connection to a process; open one if needed.

        Return None while the new connection is being opened.
        """
        if name not in self._last_used:
            self._last_used[name] = trio.current_time()
            self._update_targets()
        self._last_used[name] = trio.current_time()
        return self.find(name)

    def find(self, name: str) -> _link.Link | None:
        """Return the usable connection that this process opened, if any."""
        address = self._addresses.get(name)
        return self._connections.find(address) if address else None

    async def send(self, name: str, message: wire.Message) -> None:
        """Send a message; it may be lost."""
        connection = self._accepted_connections.get(name)
        if connection is not None and await connection.send(message):
            return
        link = self.connect(name)
        if link is not None:
            await link.send(message)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'accepted': sorted(self._accepted_connections),
            'opened': sorted(
                name for name in self._last_used if self.find(name) is not None
            ),
        }

    def _update_targets(self) -> None:
        oldest = trio.current_time() - self._idle_limit_s
        self._last_used = {
            name: used_at
            for name, used_at in self._last_used.items()
            if used_at > oldest
            and name in self._addresses
            and name != self._name
        }
        self._connections.replace_targets(
            self._addresses[name] for name in self._last_used
        )
