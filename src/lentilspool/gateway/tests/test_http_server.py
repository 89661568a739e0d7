"""Tests of the HTTP server, over loopback sockets."""

import dataclasses
import logging
import os
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from lentilspool import serving
from lentilspool.gateway import _http_server

REQUEST = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi'
LIMITS = serving.CallLimits(1000, 100, 0.2, 0.5)
OK_HEADERS = [(b'content-length', b'2')]


class ScriptedHandler:
    """Handler whose behaviour is selected by the request's target."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.cancelled = trio.Event()

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        self.bodies.append(request.body)
        if request.target == b'/hang':
            try:
                await trio.sleep_forever()
            finally:
                self.cancelled.set()
        if request.target == b'/half':
            await reply.write_head(200, [], b'part')
            reply.abort()
        elif request.target == b'/half-error':
            await reply.write_head(200, [], b'part')
            raise RuntimeError('a fault of the program')
        elif request.target == b'/error':
            raise RuntimeError('a fault of the program')
        else:
            await reply.write_complete(200, OK_HEADERS, b'ok')


class Harness:
    """A server on a free port and its handler."""

    def __init__(self) -> None:
        self.handler = ScriptedHandler()
        self.limits = LIMITS
        self.server = _http_server.Server(
            '127.0.0.1:0', self.handler.serve, lambda: self.limits
        )

    async def open(self) -> trio.SocketStream:
        return await trio.open_tcp_stream('127.0.0.1', self.server.port)

    async def exchange(self, request: bytes) -> bytes:
        """Send bytes; return what is received until the end, or for 1 s."""
        stream = await self.open()
        await stream.send_all(request)
        received = bytearray()
        with trio.move_on_after(1):
            async for chunk in stream:
                received.extend(chunk)
        await stream.aclose()
        return bytes(received)


@asynccontextmanager
async def serving_harness() -> AsyncIterator[Harness]:
    """Yield a harness with a running server."""
    harness = Harness()
    async with trio.open_nursery() as nursery:
        await nursery.start(harness.server.serve)
        yield harness
        nursery.cancel_scope.cancel()


class TestRequests:
    def test_connection_serves_many_requests(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                answer = await harness.exchange(REQUEST * 2)
                assert answer.count(b'200') == 2
                assert harness.handler.bodies == [b'hi', b'hi']

        trio.run(check)

    @pytest.mark.parametrize(
        ('request_bytes', 'status'),
        [
            (
                b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                b'400',
            ),
            (b'POST /x HTTP/1.1\r\n\r\n', b'400'),
            (b'nonsense\r\n\r\n', b'400'),
            (
                b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n%b'
                % (b'x' * 200),
                b'413',
            ),
            (
                b'GET /x HTTP/1.1\r\nHost: h\r\nX: %b' % (b'y' * 2000),
                b'431',
            ),
            (b'GET /x HTTP/1.1\r\nHost', b'408'),
        ],
    )
    def test_invalid_request_gets_an_error_and_no_handler(
        self, request_bytes: bytes, status: bytes
    ) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                answer = await harness.exchange(request_bytes)
                assert answer.split()[1] == status
                assert not harness.handler.bodies

        trio.run(check)

    def test_handler_is_cancelled_when_its_caller_disconnects(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                stream = await harness.open()
                await stream.send_all(b'GET /hang HTTP/1.1\r\nHost: h\r\n\r\n')
                await trio.sleep(0.05)
                await stream.aclose()
                with trio.fail_after(1):
                    await harness.handler.cancelled.wait()

        trio.run(check)

    def test_aborted_answer_has_no_end(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                answer = await harness.exchange(
                    b'GET /half HTTP/1.1\r\nHost: h\r\n\r\n'
                )
                assert b'part' in answer
                assert not answer.endswith(b'0\r\n\r\n')

        trio.run(check)

    def test_exception_of_a_handler_is_answered(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                answer = await harness.exchange(
                    b'GET /error HTTP/1.1\r\nHost: h\r\n\r\n' * 2
                )
                assert answer.split()[1] == b'500'
                assert b'connection: close' in answer.lower()
                assert answer.count(b'HTTP/1.1') == 1
                assert harness.handler.bodies == [b'']
                assert b'200' in await harness.exchange(REQUEST)

        trio.run(check)

    def test_exception_within_an_answer_does_not_end_it(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                answer = await harness.exchange(
                    b'GET /half-error HTTP/1.1\r\nHost: h\r\n\r\n'
                )
                assert answer.count(b'HTTP/1.1') == 1
                assert b'part' in answer
                assert not answer.endswith(b'0\r\n\r\n')

        trio.run(check)


class TestBodyTimeout:
    @pytest.mark.parametrize(
        ('parts', 'idle_s', 'status'),
        [(3, 5, b'200'), (2, 0.5, b'408')],
        ids=['slow', 'stalled'],
    )
    def test_each_part_of_a_body_has_the_idle_timeout(
        self, parts: int, idle_s: float, status: bytes
    ) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                harness.limits = dataclasses.replace(
                    LIMITS, idle_timeout_s=idle_s
                )
                stream = await harness.open()
                await stream.send_all(
                    b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n'
                )
                for _ in range(parts):
                    await trio.sleep(LIMITS.header_timeout_s)
                    await stream.send_all(b'x')
                with trio.fail_after(4):
                    answer = await stream.receive_some(1000)
                assert answer.split()[1] == status

        trio.run(check)


class TestIdleTimeout:
    def test_longer_timeout_holds_for_connections_that_wait(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                stream = await harness.open()
                await stream.send_all(REQUEST)
                assert b'200' in await stream.receive_some(1000)
                await trio.sleep(LIMITS.idle_timeout_s / 2)
                harness.limits = dataclasses.replace(LIMITS, idle_timeout_s=5)
                await trio.sleep(LIMITS.idle_timeout_s)
                await stream.send_all(REQUEST)
                assert b'200' in await stream.receive_some(1000)

        trio.run(check)

    def test_size_limits_are_those_in_force_at_the_request(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                stream = await harness.open()
                await stream.send_all(REQUEST)
                assert b'200' in await stream.receive_some(1000)
                await trio.sleep(0.05)
                harness.limits = dataclasses.replace(LIMITS, max_body_bytes=1)
                await stream.send_all(REQUEST)
                assert b'413' in await stream.receive_some(1000)

        trio.run(check)

    @pytest.mark.parametrize('stopping', [False, True])
    def test_request_that_has_arrived_is_served(self, stopping: bool) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                stream = await harness.open()
                await stream.send_all(REQUEST)
                assert b'200' in await stream.receive_some(1000)
                await stream.send_all(REQUEST)
                # The loop is late, so that the request is not read in time.
                time.sleep(0 if stopping else LIMITS.idle_timeout_s)
                if stopping:
                    harness.server.close_idle()
                with trio.fail_after(1):
                    assert b'200' in await stream.receive_some(1000)

        trio.run(check)


class TestStop:
    def test_stop_closes_idle_connections_and_limits_new_ones(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                idle = await harness.open()
                await idle.send_all(REQUEST)
                assert b'200' in await idle.receive_some(1000)
                harness.server.close_idle()
                with trio.fail_after(1):
                    assert await idle.receive_some(1000) == b''
                answer = await harness.exchange(REQUEST * 2)
                assert answer.count(b'200') == 1
                assert b'connection: close' in answer.lower()

        trio.run(check)

    def test_stop_answers_a_request_that_is_being_read(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                stream = await harness.open()
                await stream.send_all(REQUEST[:-1])
                await trio.sleep(0.05)
                harness.server.close_idle()
                await stream.send_all(REQUEST[-1:])
                with trio.fail_after(1):
                    assert b'200' in await stream.receive_some(1000)

        trio.run(check)

    @pytest.mark.parametrize(
        ('arrived', 'pause_s', 'open_requests'),
        [(b'', 0.05, 0), (REQUEST[:-1], 0.05, 1), (REQUEST, 0, 1)],
        ids=['idle', 'half-read', 'unread'],
    )
    def test_requests_that_have_arrived_are_open(
        self, arrived: bytes, pause_s: float, open_requests: int
    ) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                stream = await harness.open()
                await stream.send_all(REQUEST)
                assert b'200' in await stream.receive_some(1000)
                await trio.sleep(0.05)
                # Leaves the server no turn to read it.
                os.write(stream.socket.fileno(), arrived)
                if pause_s:
                    await trio.sleep(pause_s)
                assert harness.server.open_requests == open_requests

        trio.run(check)

    def test_answered_request_is_not_open_until_its_caller_closes(self) -> None:
        async def check() -> None:
            async with serving_harness() as harness:
                stream = await harness.open()
                harness.server.close_idle()
                await stream.send_all(REQUEST)
                assert b'200' in await stream.receive_some(1000)
                await trio.sleep(0.05)
                assert harness.server.open_requests == 0

        trio.run(check)


CHUNKED = b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
WIDE_LIMITS = serving.CallLimits(16_384, 100_000, 5, 5)


class TestEndlessBytes:
    """A caller may send bytes without end."""

    async def answer(self, request: bytes, limits: serving.CallLimits) -> bytes:
        async with serving_harness() as harness:
            harness.server.limits = lambda: limits
            return await harness.exchange(request)

    @pytest.mark.parametrize(
        'rest', [b'2;%b', b'2;%b\n\r\nab\r\n', b'0\r\nX: %b']
    )
    def test_chunk_header_without_end_is_refused(self, rest: bytes) -> None:
        request = CHUNKED + rest % (b' ' * 16_000)
        answer = trio.run(self.answer, request, WIDE_LIMITS)
        assert answer.split()[1] == b'400'

    def test_problem_in_logs_is_short(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        request = b'GET /x HTTP/1.1\r\n%b\r\n\r\n' % (b'x' * 10_000)
        with caplog.at_level(logging.INFO):
            answer = trio.run(self.answer, request, WIDE_LIMITS)
        assert answer.split()[1] == b'400'
        sizes = [len(repr(one.__dict__)) for one in caplog.records]
        assert sizes
        assert max(sizes) < 3000

    def test_small_chunks_need_no_more_memory_than_their_bytes(self) -> None:
        request = b'%b%b0\r\n\r\n' % (CHUNKED, b'2\r\nab\r\n' * 40_000)

        async def peak() -> int:
            async with serving_harness() as harness:
                harness.server.limits = lambda: WIDE_LIMITS
                stream = await harness.open()
                tracemalloc.start()
                await stream.send_all(request)
                assert b'200' in await stream.receive_some(1000)
                assert harness.handler.bodies == [b'ab' * 40_000]
                return tracemalloc.get_traced_memory()[1]

        try:
            assert trio.run(peak) < 1_000_000
        finally:
            tracemalloc.stop()

    def test_bytes_after_a_request_wait_in_the_network(self) -> None:
        async def check() -> bool:
            async with serving_harness() as harness:
                stream = await harness.open()
                await stream.send_all(b'GET /hang HTTP/1.1\r\nHost: h\r\n\r\n')
                with trio.move_on_after(1) as scope:
                    await stream.send_all(bytes(64_000_000))
                return scope.cancelled_caught

        assert trio.run(check)


async def serve_in_parts(
    request: _http_server.Request, reply: _http_server.Reply
) -> None:
    """Answer in two parts, or stop after the first as the target says."""
    await reply.write_head(200, [], b'first')
    if request.target == b'/hang':
        await trio.sleep_forever()
    if request.target == b'/abort':
        reply.abort()
    if request.target == b'/error':
        raise RuntimeError('a fault of the program')
    await reply.write_chunk(b' and second')
    await reply.write_end()


async def serve_until_cancelled(
    server: _http_server.Server,
    task_status: trio.TaskStatus[trio.CancelScope],
) -> None:
    """Run a server in a scope that is passed on."""
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        task_status.started(nursery.cancel_scope)


class TestCallerWithoutChunks:
    """The end of the connection ends an answer to an HTTP/1.0 caller."""

    async def receive(self, target: bytes) -> bytes:
        """Return what arrives, from a server that stops after some time."""
        harness = Harness()
        harness.server.handler = serve_in_parts
        received = bytearray()
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                scope = await nursery.start(
                    serve_until_cancelled, harness.server
                )
                scope.deadline = trio.current_time() + 0.2
                stream = await harness.open()
                await stream.send_all(b'GET %b HTTP/1.0\r\n\r\n' % target)
                async for part in stream:
                    received.extend(part)
        return bytes(received)

    def test_gets_a_whole_answer(self) -> None:
        answer = trio.run(self.receive, b'/whole')
        assert answer.endswith(b'\r\n\r\nfirst and second')
        assert b'chunked' not in answer

    @pytest.mark.parametrize('target', [b'/abort', b'/error', b'/hang'])
    def test_sees_that_an_answer_is_incomplete(self, target: bytes) -> None:
        with pytest.RaisesGroup(trio.BrokenResourceError):
            trio.run(self.receive, target)
