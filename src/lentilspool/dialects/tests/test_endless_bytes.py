"""Tests of endpoints that send bytes without end."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import TypeVar

import pytest
import trio

from lentilspool import dialects

CALL = dialects.EndpointCall('embed', b'{"question": "q"}', 1, 0, 1.0)
OK = b'HTTP/1.1 200 OK\r\n\r\n'
_Answer = TypeVar('_Answer')


async def serve_script(
    begin: bytes, repeated: bytes, pause_s: float, stream: trio.SocketStream
) -> None:
    await stream.receive_some(65536)
    try:
        await stream.send_all(begin)
        while True:
            await stream.send_all(repeated)
            await trio.sleep(pause_s)
    except trio.BrokenResourceError:
        return


@asynccontextmanager
async def client(
    begin: bytes, repeated: bytes, pause_s: float = 0
) -> AsyncIterator[dialects.HttpClient]:
    """Yield a client of an endpoint that sends a script."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(
                trio.serve_tcp,
                partial(serve_script, begin, repeated, pause_s),
                0,
                host='127.0.0.1',
            )
        )
        port = listeners[0].socket.getsockname()[1]
        http = dialects.HttpClient(f'http://127.0.0.1:{port}', 2)
        yield http
        await http.aclose()
        nursery.cancel_scope.cancel()


async def ask(
    exchange: Callable[[dialects.HttpClient], Awaitable[_Answer]],
    begin: bytes,
    repeated: bytes,
    pause_s: float = 0,
) -> _Answer:
    with trio.fail_after(5):
        async with client(begin, repeated, pause_s) as http:
            return await exchange(http)


async def complete(http: dialects.HttpClient) -> dialects.EndpointAnswer:
    async def emit(text: str) -> None:
        """Ignore the text."""

    return await dialects._engine.EngineDialect(http).call(CALL, emit)


async def post(
    http: dialects.HttpClient,
) -> tuple[int, bytes] | dialects.Refused | dialects.EndpointFailed:
    return await http.post('/v1/embed', CALL)


async def get(http: dialects.HttpClient) -> object:
    return await http.get_json('/v1/load', 0.3)


class TestEndlessBytes:
    @pytest.mark.parametrize('exchange', [complete, post])
    @pytest.mark.parametrize(
        ('begin', 'repeated'),
        [
            (OK, b'x' * 65536),
            (OK, b'\n' * 65536),
            (b'HTTP/1.1 500 E\r\n\r\n', b'x' * 65536),
            (b'', b'x' * 65536),
        ],
    )
    def test_call_without_end_fails(
        self,
        exchange: Callable[
            [dialects.HttpClient], Awaitable[dialects.EndpointAnswer]
        ],
        begin: bytes,
        repeated: bytes,
    ) -> None:
        answer = trio.run(ask, exchange, begin, repeated)
        assert isinstance(answer, dialects.EndpointFailed)
        assert len(answer.reason) < 500

    @pytest.mark.parametrize(
        'event', [b'garbage', b'[]', b'{"x":%b' % (b'[' * 100_000)]
    )
    def test_unreadable_event_fails(self, event: bytes) -> None:
        begin = b'%bdata: %b\n\n' % (OK, event)
        answer = trio.run(ask, complete, begin, b': comment\n\n', 0.05)
        assert isinstance(answer, dialects.EndpointFailed)

    @pytest.mark.parametrize(
        ('repeated', 'pause_s'), [(b'[' * 65536, 0), (b' ', 0.05)]
    )
    def test_resource_without_end_cannot_be_read(
        self, repeated: bytes, pause_s: float
    ) -> None:
        assert trio.run(ask, get, OK, repeated, pause_s) is None

    def test_deep_nesting_cannot_be_read(self) -> None:
        body = b'[' * 100_000
        begin = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        assert trio.run(ask, get, begin + body, b'', 0.05) is None
