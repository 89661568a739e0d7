"""A loopback proxy whose connections can be delayed, reset or silenced."""

import enum
import socket
import struct
from typing import Final

import trio

from soak import _repeats

_BYTES: Final = 65536
_DELAY_S: Final = 0.15
_GARBAGE: Final = b'garbage ' * 1024
_GARBAGE_PAUSE_S: Final = 0.005
# Sends a reset instead of an end of the stream when the socket closes.
_RESET: Final = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What the proxy does to bytes."""

    passing = 'passing'
    delayed = 'delayed'
    reset = 'reset'
    silent = 'silent'
    one_way = 'one_way'
    endless = 'endless'
    repeated = 'repeated'


class Proxy:
    """Passes connections on to ``port``; ``mode`` holds for all of them."""

    def __init__(self, port: int) -> None:
        self._target = port
        self._open: set[trio.SocketStream] = set()
        self._mode = Mode.passing
        self.listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(
                socket.create_server(('127.0.0.1', 0), backlog=512)
            )
        )

    @property
    def port(self) -> int:
        """Port at which it listens."""
        return int(self.listener.socket.getsockname()[1])

    @property
    def mode(self) -> Mode:
        """What happens to bytes."""
        return self._mode

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to bytes; ``reset`` also ends connections."""
        self._mode = mode
        if mode is Mode.reset:
            for stream in tuple(self._open):
                self._reset(stream)

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        await trio.serve_listeners(self._connected, [self.listener])

    async def _connected(self, near: trio.SocketStream) -> None:
        if self._mode is Mode.reset:
            self._reset(near)
            return
        try:
            far = await trio.open_tcp_stream('127.0.0.1', self._target)
        except OSError:
            self._reset(near)
            return
        self._open |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                last = _repeats.LastAnswer()
                nursery.start_soon(self._pass, near, far, True, scope, last)
                nursery.start_soon(self._pass, far, near, False, scope, last)
        finally:
            self._open -= {near, far}
            await trio.aclose_forcefully(near)
            await trio.aclose_forcefully(far)

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        forward: bool,
        scope: trio.CancelScope,
        last: _repeats.LastAnswer,
    ) -> None:
        # A connection that has lost bytes brings no later ones.
        lost = False
        try:
            async for chunk in source:
                if self._mode is Mode.endless and not forward:
                    await self._garble(chunk, sink)
                if self._mode is Mode.delayed:
                    await trio.sleep(_DELAY_S)
                if self._mode is Mode.repeated:
                    await self._repeat(last, chunk, sink, forward)
                lost = lost or self._drops(forward=forward)
                if not lost:
                    await sink.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
            return
        scope.cancel()

    async def _repeat(
        self,
        last: _repeats.LastAnswer,
        chunk: bytes | bytearray,
        sink: trio.SocketStream,
        forward: bool,
    ) -> None:
        """Write the answer before once more, ahead of the next one."""
        if forward:
            last.request_begins()
            return
        copy = last.take_copy()
        if copy:
            await sink.send_all(copy)
        last.add(chunk)

    def _drops(self, *, forward: bool) -> bool:
        """Whether bytes of a direction are lost now."""
        one_way = self._mode is Mode.one_way and not forward
        return one_way or self._mode is Mode.silent

    async def _garble(
        self, chunk: bytes | bytearray, sink: trio.SocketStream
    ) -> None:
        """Cut an answer in its head, body or event; go on without end."""
        await sink.send_all(chunk[: len(chunk) // 2])
        while True:
            await sink.send_all(_GARBAGE)
            await trio.sleep(_GARBAGE_PAUSE_S)

    def _reset(self, stream: trio.SocketStream) -> None:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        stream.socket.close()
