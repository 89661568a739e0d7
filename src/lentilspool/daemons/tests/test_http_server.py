"""Tests of the HTTP server's planned stop, over loopback sockets."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio import testing

from lentilspool.daemons import _asgi, _http_server

ADDRESS = '127.0.0.1'
REQUEST = b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi'
# Longer than any request is let run, shorter than a drain may last.
LONG_S = 20.0


class SlowApp:
    """Answers once it is released; counts the requests that it was given."""

    def __init__(self) -> None:
        self.read = 0
        self.begun = trio.Event()
        self.released = trio.Event()

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await _asgi.lifespan(receive, send)
            return
        self.read += 1
        await _asgi.read_body(receive, len(REQUEST), LONG_S)
        self.begun.set()
        await self.released.wait()
        await _asgi.send_json(send, 200, {'ok': True})


async def _read_to_end(stream: trio.SocketStream) -> bytes:
    parts = []
    try:
        async for part in stream:
            parts.append(bytes(part))
    except trio.BrokenResourceError:
        parts.append(b'')
    return b''.join(parts)


def run(
    main: Callable[
        [SlowApp, _http_server.HttpServer, trio.Nursery], Awaitable[None]
    ],
    clock: testing.MockClock,
) -> None:
    async def with_server() -> None:
        async with trio.open_nursery() as nursery:
            app = SlowApp()
            server = _http_server.HttpServer(app, ADDRESS, 0, nursery)
            await server.start()
            await main(app, server, nursery)
            nursery.cancel_scope.cancel()

    trio.run(with_server, clock=clock)


class TestDrain:
    def test_request_longer_than_a_second_is_answered(self) -> None:
        clock = testing.MockClock()

        async def main(
            app: SlowApp,
            server: _http_server.HttpServer,
            nursery: trio.Nursery,
        ) -> None:
            stream = await trio.open_tcp_stream(ADDRESS, server.port)
            await stream.send_all(REQUEST)
            await app.begun.wait()
            nursery.start_soon(server.drain)
            await testing.wait_all_tasks_blocked()
            clock.jump(LONG_S)
            await testing.wait_all_tasks_blocked()
            app.released.set()
            answer = await _read_to_end(stream)
            assert answer.startswith(b'HTTP/1.1 200'), answer

        run(main, clock)

    @pytest.mark.parametrize('ticks', range(10))
    def test_request_read_as_idle_connections_close_is_answered(
        self, ticks: int
    ) -> None:
        async def main(
            app: SlowApp,
            server: _http_server.HttpServer,
            nursery: trio.Nursery,
        ) -> None:
            app.released.set()
            stream = await trio.open_tcp_stream(ADDRESS, server.port)
            await testing.wait_all_tasks_blocked()
            nursery.start_soon(server.drain)
            for _ in range(ticks):
                await trio.lowlevel.checkpoint()
            await stream.send_all(REQUEST)
            answer = await _read_to_end(stream)
            assert bool(app.read) == answer.startswith(b'HTTP/1.1 200')

        # Tasks of one tick run in random order.
        for _ in range(20):
            run(main, testing.MockClock())

    def test_body_that_still_arrives_is_awaited_and_answered(self) -> None:
        async def main(
            app: SlowApp,
            server: _http_server.HttpServer,
            nursery: trio.Nursery,
        ) -> None:
            app.released.set()
            stream = await trio.open_tcp_stream(ADDRESS, server.port)
            await stream.send_all(REQUEST[:-1])
            await testing.wait_all_tasks_blocked()
            nursery.start_soon(server.drain)
            await testing.wait_all_tasks_blocked()
            await stream.send_all(REQUEST[-1:])
            answer = await _read_to_end(stream)
            assert answer.startswith(b'HTTP/1.1 200'), answer

        run(main, testing.MockClock())

    @pytest.mark.parametrize('received', [b'', REQUEST[:20]])
    def test_connection_without_a_whole_head_does_not_hold_up(
        self, received: bytes
    ) -> None:
        async def main(
            app: SlowApp,
            server: _http_server.HttpServer,
            nursery: trio.Nursery,
        ) -> None:
            stream = await trio.open_tcp_stream(ADDRESS, server.port)
            if received:
                await stream.send_all(received)
            await testing.wait_all_tasks_blocked()
            await server.drain()
            assert not await _read_to_end(stream)
            assert not app.read

        run(main, testing.MockClock())
