"""Server side of connections between entries and sidecars."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from lentilspool import membership, settings, wire
from lentilspool.daemons import _events, _identity

_LOG = logging.getLogger(__name__)

_LEAVING_NOTICE_POLL_S: Final = 0.02
# Used until the peer requests another interval.
_DEFAULT_HEARTBEAT_INTERVAL_S: Final = 2.0

ReadLocalState = Callable[[], tuple[wire.ConfigDigest, membership.ReportedLoad]]
HandleMessage = Callable[['Connection', wire.Message], Awaitable[None]]


class Connection:
    """One accepted connection, whose calls run concurrently."""

    def __init__(
        self, name: str, stream: wire.MessageStream, nursery: trio.Nursery
    ) -> None:
        self._name = name
        self._stream = stream
        self._nursery = nursery
        self._scopes: dict[int, trio.CancelScope] = {}
        self._on_end: Callable[[], None] | None = None
        self.peer: wire.Hello | None = None
        self.interval_changed = trio.Event()

    @property
    def name(self) -> str:
        """Name of the connection, unique in this process."""
        return self._name

    async def send(self, message: wire.Message) -> bool:
        """Send a message; return False if the connection is broken."""
        return await self._stream.send(message)

    def set_end_listener(self, listener: Callable[[], None]) -> None:
        """Set the function to call when the connection has ended."""
        self._on_end = listener

    def notify_end(self) -> None:
        """Call the listener, because the connection has ended."""
        if self._on_end:
            self._on_end()

    def close(self) -> None:
        """Close the connection and cancel its calls."""
        self._nursery.cancel_scope.cancel()

    def start_call(
        self, call_id: int, task: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a call in a task of its own, which ``cancel`` can stop."""
        self._nursery.start_soon(self._run_call, call_id, task)

    def cancel(self, call_id: int) -> None:
        """Cancel a call if it still runs."""
        scope = self._scopes.get(call_id)
        if scope:
            scope.cancel()

    async def _run_call(
        self, call_id: int, task: Callable[[], Awaitable[None]]
    ) -> None:
        with trio.CancelScope() as scope:
            self._scopes[call_id] = scope
            try:
                await task()
            finally:
                self._scopes.pop(call_id, None)


class CallServer:
    """Accepts connections, sends heartbeats and dispatches messages.

    Cancellations, probes, heartbeats and malformed messages are handled
    here; ``serve`` receives all other messages and each ``Hello`` of
    the same protocol version. During a drain, every peer
    is notified at once that the process is leaving.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        identity: _identity.Identity,
        link_settings: settings.LinkSettings,
        state: ReadLocalState,
        serve: HandleMessage,
        nursery: trio.Nursery,
    ) -> None:
        self._listen = listen
        self._identity = identity
        self._settings = link_settings
        self._state = state
        self._serve = serve
        self._nursery = nursery
        self._connections: dict[str, Connection] = {}
        self._accepted_count = 0
        self._scope = trio.CancelScope()
        self._malformed = 0
        self._leaving_notice: membership.LeavingNotice | None = None

    async def start(self) -> None:
        """Start accepting connections."""
        address, port = self._listen
        listeners = await trio.open_tcp_listeners(port, host=address)
        self._nursery.start_soon(self._accept, listeners)

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat on every connection, because the load changed."""
        for name in self._connections:
            self._nursery.start_soon(self._send_heartbeat, name)

    def close_connections(self) -> None:
        """Close every connection after a pause of this process.

        Another process may have taken over the address during the pause.
        Peers then reconnect and send ``Hello`` to the process that answers
        at the address now.
        """
        for connection in tuple(self._connections.values()):
            connection.close()

    async def drain(self) -> None:
        """Send leaving heartbeats until the notice ends.

        A peer that acknowledges the notice, or whose connection ends, gets
        no more of them.
        """
        self._identity.leave()
        notice = membership.LeavingNotice(
            tuple(self._connections),
            trio.current_time(),
            membership.NoticeLimits(lease_s=self._identity.heartbeats.lease_s),
        )
        self._leaving_notice = notice
        while not notice.done(trio.current_time()):
            for name in notice.due(trio.current_time()):
                await self._send_heartbeat(name)
            await trio.sleep(_LEAVING_NOTICE_POLL_S)

    async def stop(self) -> None:
        """Close every connection."""
        self._scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        peers = [each.peer for each in self._connections.values()]
        return {
            'malformed': self._malformed,
            'peers': sorted(peer.process for peer in peers if peer),
        }

    async def _accept(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, raw: trio.SocketStream) -> None:
        stream = wire.MessageStream(raw, self._settings.max_frame_bytes)
        self._accepted_count += 1
        name = str(self._accepted_count)
        async with trio.open_nursery() as nursery:
            connection = Connection(name, stream, nursery)
            self._connections[name] = connection
            self._identity.heartbeats.add_peer(
                name, _DEFAULT_HEARTBEAT_INTERVAL_S
            )
            nursery.start_soon(self._send_heartbeats, connection)
            try:
                await self._read(connection, stream)
            finally:
                self._remove_connection(connection)
                await stream.aclose()
            nursery.cancel_scope.cancel()

    def _remove_connection(self, connection: Connection) -> None:
        self._connections.pop(connection.name, None)
        self._identity.heartbeats.remove(connection.name)
        if self._leaving_notice:
            self._leaving_notice.acknowledge(connection.name)
        connection.notify_end()

    async def _send_heartbeats(self, connection: Connection) -> None:
        await connection.send(self._identity.hello())
        while await self._send_heartbeat(connection.name):
            await self._wait_until_due(connection)

    async def _wait_until_due(self, connection: Connection) -> None:
        """Sleep until the next heartbeat is due.

        The due time moves when an answer is sent, because an answer renews
        the lease as well, and when the peer requests another interval.
        """
        heartbeats = self._identity.heartbeats
        while heartbeats.due_at(connection.name) > trio.current_time():
            with trio.move_on_at(heartbeats.due_at(connection.name)):
                await connection.interval_changed.wait()
                connection.interval_changed = trio.Event()

    async def _send_heartbeat(self, name: str) -> bool:
        connection = self._connections.get(name)
        if connection is None:
            return False
        config_digest, load = self._state()
        now = trio.current_time()
        return await connection.send(
            self._identity.heartbeat(name, now, config_digest, load)
        )

    async def _read(
        self, connection: Connection, stream: wire.MessageStream
    ) -> None:
        while True:
            message: Any = await stream.receive()
            if isinstance(message, wire.Closed):
                return
            if not await self._dispatch(connection, message):
                return

    async def _dispatch(
        self, connection: Connection, message: wire.Message | wire.Malformed
    ) -> bool:
        """Handle one message; return False to end the connection."""
        match message:
            case wire.Malformed(reason=reason):
                self._malformed += 1
                _events.MALFORMED.log(_LOG, reason=reason)
                await connection.send(wire.Refusal(0, reason))
            case wire.Hello():
                return await self._handle_hello(connection, message)
            case wire.Cancel(call_id=call_id):
                connection.cancel(call_id)
            case wire.Probe():
                await connection.send(message)
            case wire.Heartbeat():
                self._handle_heartbeat(connection, message)
            case _:
                await self._serve(connection, message)
        return True

    def _handle_heartbeat(
        self, connection: Connection, heartbeat: wire.Heartbeat
    ) -> None:
        """Handle a heartbeat that a peer sent on an accepted connection.

        A heartbeat under the peer's name requests a heartbeat interval. One
        under the name of this process acknowledges the leaving notice. Its
        incarnation shows whether a later one of this process exists.
        """
        if heartbeat.process != self._identity.name:
            requested_interval_s = _identity.requested_interval_s(heartbeat)
            self._identity.heartbeats.add_peer(
                connection.name, requested_interval_s
            )
            connection.interval_changed.set()
            return
        self._identity.observe_incarnation(heartbeat.incarnation)
        if self._leaving_notice:
            self._leaving_notice.acknowledge(connection.name)

    async def _handle_hello(
        self, connection: Connection, hello: wire.Hello
    ) -> bool:
        connection.peer = hello
        if hello.version == wire.PROTOCOL_VERSION:
            await self._serve(connection, hello)
            return True
        text = f'protocol version {hello.version} is not supported'
        await connection.send(wire.Refusal(0, text))
        return False
