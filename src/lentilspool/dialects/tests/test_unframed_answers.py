"""Tests of answers without a length that end with their connection."""

import re
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Final, TypeVar

import pytest
import trio

from lentilspool import dialects
from lentilspool.dialects.tests import test_endless_bytes

HEADS: Final = {
    'bare': b'HTTP/1.1 200 OK\r\n\r\n',
    'HTTP/1.0': b'HTTP/1.0 200 OK\r\n\r\n',
    'keep-alive': (
        b'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n'
        b'Keep-Alive: timeout=9\r\n\r\n'
    ),
}
COMPLETION: Final = b'data: {"text": "a"}\n\ndata: [DONE]\n\n'
LAST_LINE: Final = COMPLETION.index(b'data: [DONE]')
LINGER: Final = struct.pack('ii', 1, 0)
_Answer = TypeVar('_Answer')


async def read_request(stream: trio.SocketStream) -> bytes:
    """Return a request with its body; nothing at the end of the stream.

    A close with bytes that are not read would be a reset.
    """
    request = b''
    while True:
        received = await stream.receive_some(65536)
        if not received:
            return b''
        request = b'%b%b' % (request, received)
        head, end, body = request.partition(b'\r\n\r\n')
        length = re.search(rb'(?i)content-length: (\d+)', head)
        if end and len(body) == int(length[1] if length else 0):
            return request


async def serve_once(
    script: bytes, reset: bool, stream: trio.SocketStream
) -> None:
    """Answer one request, then close or reset the connection."""
    if not await read_request(stream):
        return
    await stream.send_all(script)
    if reset:
        # The bytes before a reset are read first.
        await trio.sleep(0.05)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        stream.socket.close()


@asynccontextmanager
async def client(
    script: bytes, *, reset: bool
) -> AsyncIterator[dialects.HttpClient]:
    """Yield a client of an endpoint that sends a script."""
    async with trio.open_nursery() as nursery:
        serve = partial(serve_once, script, reset)
        listeners = await nursery.start(
            partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
        )
        port = listeners[0].socket.getsockname()[1]
        http = dialects.HttpClient(f'http://127.0.0.1:{port}', 2)
        yield http
        await http.aclose()
        nursery.cancel_scope.cancel()


async def ask_twice(
    exchange: Callable[[dialects.HttpClient], Awaitable[_Answer]],
    script: bytes,
    reset: bool = False,
) -> list[_Answer]:
    with trio.fail_after(5):
        async with client(script, reset=reset) as http:
            return [await exchange(http), await exchange(http)]


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
class TestUnframedAnswers:
    def test_whole_answers_are_received(self, head: bytes) -> None:
        script = b'%bok' % head
        posted = trio.run(ask_twice, test_endless_bytes.post, script)
        assert posted == [(200, b'ok'), (200, b'ok')]
        script = b'%b[1]' % head
        got = trio.run(ask_twice, test_endless_bytes.get, script)
        assert got == [[1], [1]]
        script = head + COMPLETION
        for answer in trio.run(ask_twice, test_endless_bytes.complete, script):
            assert isinstance(answer, dialects.Answered)
            assert answer.body == b'{"text": "a"}'

    def test_reset_answers_are_failures(self, head: bytes) -> None:
        script = b'%bok' % head
        for posted in trio.run(
            ask_twice, test_endless_bytes.post, script, True
        ):
            assert isinstance(posted, dialects.EndpointFailed)
            assert posted.crashed
        script = b'%b[1]' % head
        got = trio.run(ask_twice, test_endless_bytes.get, script, True)
        assert got == [None, None]
        script = head + COMPLETION
        for answer in trio.run(
            ask_twice, test_endless_bytes.complete, script, True
        ):
            assert isinstance(answer, dialects.EndpointFailed)
            assert answer.crashed

    @pytest.mark.parametrize('size', range(LAST_LINE + len('data: [DONE]') + 1))
    def test_completion_that_is_cut_is_a_failure(
        self, head: bytes, size: int
    ) -> None:
        script = head + COMPLETION[:size]
        for answer in trio.run(ask_twice, test_endless_bytes.complete, script):
            assert isinstance(answer, dialects.EndpointFailed)
            assert answer.crashed
