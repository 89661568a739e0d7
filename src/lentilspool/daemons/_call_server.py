"""Server side of connections between lentilspool's own processes."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from lentilspool import membership, settings, wire
from lentilspool.daemons import _events, _identity

_LOG = logging.getLogger(__name__)

_NOTICE_POLL_S: Final = 0.02
_UNASKED_INTERVAL_S: Final = 2.0

State = Callable[[], tuple[wire.ConfigDigest, membership.Load]]
Serve = Callable[['Connection', wire.Message], Awaitable[None]]


class Connection:
    """One accepted connection; calls on it run concurrently."""

    def __init__(
        self, name: str, stream: wire.MessageStream, nursery: trio.Nursery
    ) -> None:
        self._name = name
        self._stream = stream
        self._nursery = nursery
        self._scopes: dict[int, trio.CancelScope] = {}
        self._on_end: Callable[[], None] | None = None
        self.peer: wire.Hello | None = None
        self.asked = trio.Event()

    @property
    def name(self) -> str:
        """Name of the connection, unique in this process."""
        return self._name

    async def send(self, message: wire.Message) -> bool:
        """Send a message; False if the connection is broken."""
        return await self._stream.send(message)

    def when_ended(self, listener: Callable[[], None]) -> None:
        """Call a function when the connection has ended."""
        self._on_end = listener

    def end(self) -> None:
        """Tell the listener that the connection has ended."""
        if self._on_end:
            self._on_end()

    def close(self) -> None:
        """Close the connection; its calls are cancelled."""
        self._nursery.cancel_scope.cancel()

    def start_call(
        self, call_id: int, task: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a call in a task that ``cancel`` can end."""
        self._nursery.start_soon(self._run_call, call_id, task)

    def cancel(self, call_id: int) -> None:
        """End a call whose answer is no longer wanted."""
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
    """Accepts connections, sends heartbeats and hands messages on.

    ``serve`` gets every message but greetings and cancellations; ``ended``
    is called when a connection has closed. During a drain, peers learn at
    once that the process is leaving.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        identity: _identity.Identity,
        link_settings: settings.LinkSettings,
        state: State,
        serve: Serve,
        nursery: trio.Nursery,
    ) -> None:
        self._listen = listen
        self._identity = identity
        self._settings = link_settings
        self._state = state
        self._serve = serve
        self._nursery = nursery
        self._connections: dict[str, Connection] = {}
        self._accepted = 0
        self._scope = trio.CancelScope()
        self._malformed = 0
        self._notice: membership.LeavingNotice | None = None

    async def start(self) -> None:
        """Begin to accept connections."""
        address, port = self._listen
        listeners = await trio.open_tcp_listeners(port, host=address)
        self._nursery.start_soon(self._accept, listeners)

    def announce(self) -> None:
        """Send a heartbeat on every connection, because the load changed."""
        for name in self._connections:
            self._nursery.start_soon(self._beat, name)

    def close_connections(self) -> None:
        """Close every connection, as after a pause of this process.

        Another process may have taken the address over meanwhile; peers
        greet whoever answers there now.
        """
        for connection in tuple(self._connections.values()):
            connection.close()

    async def drain(self) -> None:
        """Tell every peer that the process leaves, until each has said so."""
        self._identity.leave()
        notice = membership.LeavingNotice(
            tuple(self._connections),
            trio.current_time(),
            membership.NoticeLimits(lease_s=self._identity.beat.lease_s),
        )
        self._notice = notice
        while not notice.done(trio.current_time()):
            for name in notice.due(trio.current_time()):
                await self._beat(name)
            await trio.sleep(_NOTICE_POLL_S)

    async def stop(self) -> None:
        """Close every connection."""
        self._scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        peers = [held.peer for held in self._connections.values()]
        return {
            'malformed': self._malformed,
            'peers': sorted(peer.process for peer in peers if peer),
        }

    async def _accept(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, raw: trio.SocketStream) -> None:
        stream = wire.MessageStream(raw, self._settings.max_frame_bytes)
        self._accepted += 1
        name = str(self._accepted)
        async with trio.open_nursery() as nursery:
            connection = Connection(name, stream, nursery)
            self._connections[name] = connection
            self._identity.beat.add(name, _UNASKED_INTERVAL_S)
            nursery.start_soon(self._send_heartbeats, connection)
            try:
                await self._read(connection, stream)
            finally:
                self._end(connection)
                await stream.aclose()
            nursery.cancel_scope.cancel()

    def _end(self, connection: Connection) -> None:
        self._connections.pop(connection.name, None)
        self._identity.beat.remove(connection.name)
        if self._notice:
            self._notice.acknowledge(connection.name)
        connection.end()

    async def _send_heartbeats(self, connection: Connection) -> None:
        await connection.send(self._identity.hello())
        while await self._beat(connection.name):
            await self._wait_until_due(connection)

    async def _wait_until_due(self, connection: Connection) -> None:
        """Sleep until the next heartbeat; answers put it off."""
        beat = self._identity.beat
        while beat.due_at(connection.name) > trio.current_time():
            with trio.move_on_at(beat.due_at(connection.name)):
                await connection.asked.wait()
                connection.asked = trio.Event()

    async def _beat(self, name: str) -> bool:
        connection = self._connections.get(name)
        if connection is None:
            return False
        held, load = self._state()
        now = trio.current_time()
        return await connection.send(
            self._identity.heartbeat(name, now, held, load)
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
        """Handle one message; False ends the connection."""
        match message:
            case wire.Malformed(reason=reason):
                self._malformed += 1
                _events.MALFORMED.log(_LOG, reason=reason)
                await connection.send(wire.Refusal(0, reason))
            case wire.Hello():
                return await self._greet(connection, message)
            case wire.Cancel(call_id=call_id):
                connection.cancel(call_id)
            case wire.Probe():
                await connection.send(message)
            case wire.Heartbeat():
                self._take_heartbeat(connection, message)
            case _:
                await self._serve(connection, message)
        return True

    def _take_heartbeat(
        self, connection: Connection, heartbeat: wire.Heartbeat
    ) -> None:
        """Take back a leaving heartbeat of our own, or a peer's wish."""
        if heartbeat.process != self._identity.name:
            wish_s = _identity.wish_s(heartbeat)
            self._identity.beat.add(connection.name, wish_s)
            connection.asked.set()
            return
        self._identity.supersede(heartbeat.incarnation)
        if self._notice:
            self._notice.acknowledge(connection.name)

    async def _greet(self, connection: Connection, hello: wire.Hello) -> bool:
        connection.peer = hello
        if hello.version == wire.PROTOCOL_VERSION:
            await self._serve(connection, hello)
            return True
        text = f'protocol version {hello.version} is not spoken here'
        await connection.send(wire.Refusal(0, text))
        return False
