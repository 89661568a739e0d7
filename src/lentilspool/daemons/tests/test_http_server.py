"""Tests of the HTTP server's planned stop, over loopback sockets."""

from collections.abc import Awaitable, Callable

import trio
from trio import testing

from lentilspool.daemons import _asgi, _http_server

ADDRESS = '127.0.0.1'
REQUEST = b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi'
# Longer than any request is let run, shorter than a drain may last.
LONG_S = 20.0


class SlowApp:
    """Answers once it is released."""

    def __init__(self) -> None:
        self.begun = trio.Event()
        self.released = trio.Event()

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await _asgi.lifespan(receive, send)
            return
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
