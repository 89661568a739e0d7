"""Tests of connections to endpoints, against a scripted loopback server."""

import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from lentilspool import serving
from lentilspool.gateway import _connection, _sockets

OURS = b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\nContent-Length: 2\r\n\r\nok'
OTHER = b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad'
OUTGOING = _connection.Outgoing(
    'POST',
    b'/x',
    [(b'host', b'h'), (b'content-length', b'4')],
    b'body',
    'ours',
)


async def answer(script: bytes, finish: str, stream: trio.SocketStream) -> None:
    """Send scripted bytes after the request, then finish as requested.

    ``finish`` is ``keep``, ``close`` or ``reset``.
    """
    received = b''
    while b'body' not in received:
        received += await stream.receive_some(65536)
    try:
        await stream.send_all(script)
    except trio.BrokenResourceError:
        # The client has closed before the end of the script.
        return
    if finish == 'keep':
        await trio.sleep_forever()
    if finish == 'reset':
        # SO_LINGER with a time of 0 turns the close into a reset.
        stream.setsockopt(1, 13, b'\x01\x00\x00\x00\x00\x00\x00\x00')
    await stream.aclose()


@asynccontextmanager
async def connected(
    script: bytes, finish: str = 'keep'
) -> AsyncIterator[_connection.Connection]:
    """Yield a connection to a server that sends the script."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp, partial(answer, script, finish), 0
        )
        port = listeners[0].socket.getsockname()[1]
        stream = await _sockets.connect('127.0.0.1', port, 1)
        assert stream is not None
        connection = _connection.Connection(stream)
        yield connection
        await connection.close()
        nursery.cancel_scope.cancel()


async def exchange(
    connection: _connection.Connection,
) -> tuple[serving.AnswerHead | _connection.ExchangeFailure, object]:
    """Send the request; return head and body."""
    assert await connection.send(OUTGOING) is None
    head = await connection.receive_head()
    if isinstance(head, _connection.ExchangeFailure):
        return head, None
    return head, await connection.receive_body(1000)


class TestAnswers:
    async def check(self, script: bytes, finish: str = 'keep') -> object:
        async with connected(script, finish) as connection:
            with trio.fail_after(5):
                _, body = await exchange(connection)
        return body

    def test_complete_answer_is_received(self) -> None:
        assert trio.run(self.check, OURS) == b'ok'

    def test_answer_to_another_request_is_skipped(self) -> None:
        assert trio.run(self.check, OTHER + OURS) == b'ok'

    def test_chunked_answer_is_received(self) -> None:
        script = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
        )
        assert trio.run(self.check, script) == b'ok'

    def test_answer_without_length_ends_with_its_connection(self) -> None:
        script = b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\n\r\nok'
        assert trio.run(self.check, script, 'close') == b'ok'

    @pytest.mark.parametrize(
        ('script', 'finish'),
        [
            (b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\n\r\nok', 'reset'),
            (OURS[:-1], 'close'),
            (OURS[:20], 'close'),
            (b'', 'close'),
            (b'not http at all\r\n\r\n', 'keep'),
            (OURS.replace(b'Request-Id: ours\r\n', b''), 'keep'),
            (OTHER, 'close'),
        ],
    )
    def test_incomplete_or_mismatched_answer_is_a_failure(
        self, script: bytes, finish: str
    ) -> None:
        async def check() -> None:
            async with connected(script, finish) as connection:
                with trio.fail_after(5):
                    head, body = await exchange(connection)
                failure = body if body is not None else head
                assert isinstance(failure, _connection.ExchangeFailure)
                assert failure.sent
                assert not connection.reusable

        trio.run(check)


class TestReuse:
    def test_connection_with_an_extra_answer_is_not_reused(self) -> None:
        async def check() -> None:
            async with connected(OURS + OTHER) as connection:
                await exchange(connection)
                assert not connection.reusable or connection.is_stale(9, 0)

        trio.run(check)

    @pytest.mark.parametrize(
        'head',
        [
            b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\n\r\nok',
            b'HTTP/1.0 200 OK\r\nRequest-Id: ours\r\n\r\nok',
            b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\n'
            b'Connection: keep-alive\r\nKeep-Alive: timeout=9\r\n\r\nok',
        ],
    )
    def test_connection_that_ended_an_answer_is_not_reused(
        self, head: bytes
    ) -> None:
        async def check() -> None:
            async with connected(head, 'close') as connection:
                _, body = await exchange(connection)
                assert body == b'ok'
                assert not connection.reusable

        trio.run(check)

    def test_closed_connection_is_stale(self) -> None:
        async def check() -> None:
            async with connected(OURS, 'close') as connection:
                await exchange(connection)
                await trio.sleep(0.05)
                assert connection.is_stale(9, connection.idle_since)

        trio.run(check)

    def test_connection_is_stale_after_its_idle_limit(self) -> None:
        async def check() -> None:
            async with connected(OURS) as connection:
                await exchange(connection)
                since = connection.idle_since
                assert connection.reusable
                assert not connection.is_stale(1, since + 0.5)
                assert connection.is_stale(1, since + 1.5)

        trio.run(check)

    def test_connect_returns_none_without_a_listener(self) -> None:
        async def check() -> None:
            assert await _sockets.connect('127.0.0.1', 1, 1) is None

        trio.run(check)


CHUNKED = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LONG_OTHER = b'%b%b' % (
    OTHER.replace(b'Length: 3', b'Length: 2000003'),
    b'x' * 2_000_000,
)


class TestEndlessBytes:
    """An endpoint may send bytes that are no answer until we close."""

    async def failure_reason(self, script: bytes, finish: str = 'keep') -> str:
        async with connected(script, finish) as connection:
            with trio.fail_after(5):
                head, body = await exchange(connection)
            failure = head if body is None else body
            assert isinstance(failure, _connection.ExchangeFailure)
            assert failure.sent
            assert not connection.reusable
        return failure.reason

    @pytest.mark.parametrize(
        'head',
        [
            b'HTTP/1.1 200 OK\r\nX: %b' % (b'y' * 20_000),
            b'HTTP/1.1 200 OK\r\n%b' % (b'a:\r\n' * 6000),
            b'HTTP/1.1 100 Continue\r\n\r\n' * 100 + OURS,
            OTHER * 100 + OURS,
            LONG_OTHER + OURS,
        ],
    )
    def test_head_without_end_is_a_failure(self, head: bytes) -> None:
        assert trio.run(self.failure_reason, head)

    @pytest.mark.parametrize(
        'chunk_header', [b'2;%b', b'2;%b\n\r\n', b'0\r\nX: %b']
    )
    def test_chunk_header_without_end_is_a_failure(
        self, chunk_header: bytes
    ) -> None:
        script = CHUNKED + chunk_header % (b' ' * 20_000)
        reason = trio.run(self.failure_reason, script)
        assert 'too long' in reason

    def test_body_without_end_is_a_failure(self) -> None:
        script = b'HTTP/1.1 200 OK\r\nRequest-Id: ours\r\n\r\n%b' % (
            b'x' * 5000
        )
        reason = trio.run(self.failure_reason, script)
        assert reason == 'answer larger than 1000 bytes'

    def test_reason_for_logs_is_short(self) -> None:
        script = b'%b\r\n\r\n' % (b'x' * 10_000)
        assert len(trio.run(self.failure_reason, script)) < 500

    def test_small_chunks_need_no_more_memory_than_their_bytes(self) -> None:
        script = b'%b%b0\r\n\r\n' % (CHUNKED, b'2\r\nab\r\n' * 40_000)

        async def peak() -> int:
            async with connected(script) as connection:
                assert await connection.send(OUTGOING) is None
                await connection.receive_head()
                tracemalloc.start()
                body = await connection.receive_body(100_000)
                assert body == b'ab' * 40_000
                return tracemalloc.get_traced_memory()[1]

        try:
            assert trio.run(peak) < 1_000_000
        finally:
            tracemalloc.stop()

    def test_other_tasks_run_while_small_chunks_are_read(self) -> None:
        turns = 0

        async def take_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        async def check() -> None:
            script = b'%b%b0\r\n\r\n' % (CHUNKED, b'1\r\nx\r\n' * 40_000)
            async with connected(script) as connection:
                assert await connection.send(OUTGOING) is None
                await connection.receive_head()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(take_turns)
                    assert await connection.receive_body(40_000)
                    nursery.cancel_scope.cancel()

        trio.run(check)
        assert turns > 400
