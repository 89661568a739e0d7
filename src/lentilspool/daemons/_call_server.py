"""Server side of connections between lentilspool's own processes."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio

from lentilspool import settings, wire
from lentilspool.daemons import _events

_LOG = logging.getLogger(__name__)

MakeHeartbeat = Callable[[], wire.Heartbeat]
Serve = Callable[['Connection', wire.Message], Awaitable[None]]


class Connection:
    """One accepted connection; calls on it run concurrently."""

    def __init__(
        self, stream: wire.MessageStream, nursery: trio.Nursery
    ) -> None:
        self._stream = stream
        self._nursery = nursery
        self._scopes: dict[int, trio.CancelScope] = {}
        self.peer: wire.Hello | None = None

    async def send(self, message: wire.Message) -> bool:
        """Send a message; False if the connection is broken."""
        return await self._stream.send(message)

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
    """Accepts connections, sends heartbeats and hands messages on."""

    def __init__(
        self,
        listen: tuple[str, int],
        hello: wire.Hello,
        link_settings: settings.LinkSettings,
        make_heartbeat: MakeHeartbeat,
        serve: Serve,
        nursery: trio.Nursery,
    ) -> None:
        self._listen = listen
        self._hello = hello
        self._settings = link_settings
        self._make_heartbeat = make_heartbeat
        self._serve = serve
        self._nursery = nursery
        self._connections: set[Connection] = set()
        self._port = 0
        self._scope = trio.CancelScope()

    @property
    def port(self) -> int:
        """Port at which the server listens, once it is started."""
        return self._port

    async def start(self) -> None:
        """Begin to accept connections."""
        address, port = self._listen
        listeners = await trio.open_tcp_listeners(port, host=address)
        self._port = listeners[0].socket.getsockname()[1]
        self._nursery.start_soon(self._accept, listeners)

    async def drain(self) -> None:
        """Tell every peer at once that the process is leaving."""
        await self.beat()

    async def stop(self) -> None:
        """Close every connection."""
        self._scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        peers = [connection.peer for connection in self._connections]
        return {'peers': [peer.process for peer in peers if peer]}

    async def beat(self) -> None:
        """Send a heartbeat on every connection."""
        heartbeat = self._make_heartbeat()
        for connection in tuple(self._connections):
            await connection.send(heartbeat)

    async def _accept(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    partial(trio.serve_listeners, self._handle, listeners)
                )

    async def _handle(self, raw: trio.SocketStream) -> None:
        stream = wire.MessageStream(raw, self._settings.max_frame_bytes)
        async with trio.open_nursery() as nursery:
            connection = Connection(stream, nursery)
            self._connections.add(connection)
            nursery.start_soon(self._send_heartbeats, connection)
            try:
                await self._read(connection, stream)
            finally:
                self._connections.discard(connection)
                await stream.aclose()
            nursery.cancel_scope.cancel()

    async def _send_heartbeats(self, connection: Connection) -> None:
        await connection.send(self._hello)
        while await connection.send(self._make_heartbeat()):
            await trio.sleep(self._settings.heartbeat_interval_s)

    async def _read(
        self, connection: Connection, stream: wire.MessageStream
    ) -> None:
        while True:
            message: Any = await stream.receive()
            if isinstance(message, wire.Closed):
                return
            await self._dispatch(connection, message)

    async def _dispatch(
        self, connection: Connection, message: wire.Message | wire.Malformed
    ) -> None:
        if isinstance(message, wire.Malformed):
            _events.MALFORMED.log(_LOG, reason=message.reason)
            await connection.send(wire.Refusal(0, message.reason))
        elif isinstance(message, wire.Hello):
            connection.peer = message
            if message.version != wire.PROTOCOL_VERSION:
                text = f'protocol version {message.version} is not spoken'
                await connection.send(wire.Refusal(0, text))
        elif isinstance(message, wire.Cancel):
            connection.cancel(message.call_id)
        else:
            await self._serve(connection, message)
