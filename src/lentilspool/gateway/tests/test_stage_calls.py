"""Tests of calls whose endpoint writes earlier answers once more."""

import contextlib
import logging
import tracemalloc
from collections.abc import Sequence
from functools import partial
from typing import Final

import pytest
import trio

from lentilspool import serving, settings
from lentilspool.gateway import _connection, _events, _pool, _stage_calls
from lentilspool.platform.tests import stand_ins

MEGABYTE: Final = 1_000_000
LARGE: Final = 100 * MEGABYTE
MANY: Final = 1000
Outcome = tuple[str, ...] | str


def answer(*handles: str) -> bytes:
    """Return a whole answer with handles."""
    return whole(stand_ins.encode_stage_answer(handles))


def whole(body: bytes) -> bytes:
    """Return a whole successful answer."""
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


FIRST: Final = answer('h:1/first')
SECOND: Final = answer('h:1/second')
FREED: Final = whole(b'')
REFUSED: Final = (
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


class ScriptedEndpoint:
    """Writes its script part by part, one for each request it reads."""

    def __init__(self, *script: bytes) -> None:
        self._script = script
        self._next = 0
        self.connections = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of a connection."""
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            async for _ in stream:
                if self._next == len(self._script):
                    return
                self._next += 1
                await stream.send_all(self._script[self._next - 1])


def listed(port: int) -> serving.Endpoint:
    """Return the entry of an endpoint."""
    return serving.Endpoint('e', 's', '127.0.0.1', port, 'a', 1, True, 1)


async def outcomes(
    endpoint: ScriptedEndpoint, calls: Sequence[str]
) -> list[Outcome]:
    """Return the handles, or the kind of failure, of each call in turn."""
    found: list[Outcome] = []
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, endpoint.serve, 0, host='127.0.0.1')
            )
            port = listeners[0].socket.getsockname()[1]
            pool = _pool.ConnectionPool(settings.SendSettings())
            sender = _stage_calls.StageCalls(pool)
            target = listed(port)
            for call in calls:
                if call == 'free':
                    await sender.free_results(target, ('h:1/x',))
                    continue
                piece = serving.Piece('r', 0, 0, 'k', (), 1)
                order = serving.StartCall(1, target, (piece,))
                found.append(outcome(await sender.run_pieces(order)))
            await pool.clear()
            nursery.cancel_scope.cancel()
    return found


def outcome(
    received: _stage_calls.CallAnswer | _connection.ExchangeFailure,
) -> Outcome:
    """Return the handles of an answer, or what it is instead."""
    if isinstance(received, _connection.ExchangeFailure):
        return 'unknown' if received.sent else 'unsent'
    if received.results is None:
        return 'not run' if received.head.not_run else 'no results'
    return tuple(one.handle for one in received.results)


class TestCopies:
    @pytest.mark.parametrize(
        ('script', 'calls', 'expected'),
        [
            pytest.param(
                (FIRST, FIRST + SECOND),
                ('run', 'run'),
                [('h:1/first',), ('h:1/second',)],
                id='results',
            ),
            pytest.param(
                (FIRST, FIRST * 3 + SECOND),
                ('run', 'run'),
                [('h:1/first',), ('h:1/second',)],
                id='results three times',
            ),
            pytest.param(
                (FREED, FREED + FIRST),
                ('free', 'run'),
                [('h:1/first',)],
                id='freed results',
            ),
            pytest.param(
                (FIRST, FIRST + FREED, SECOND),
                ('run', 'free', 'run'),
                [('h:1/first',), ('h:1/second',)],
                id='results after a call that frees',
            ),
            pytest.param(
                (REFUSED, FIRST),
                ('run', 'run'),
                ['not run', ('h:1/first',)],
                id='refusal ends its connection',
            ),
            pytest.param(
                (FREED, FIRST),
                ('run', 'run'),
                ['no results', ('h:1/first',)],
                id='first answer is no copy',
            ),
            pytest.param(
                (FIRST, FREED, SECOND),
                ('run', 'run', 'run'),
                [('h:1/first',), 'no results', ('h:1/second',)],
                id='nothing was freed before',
            ),
        ],
    )
    def test_each_call_gets_its_own_answer(
        self,
        script: tuple[bytes, ...],
        calls: tuple[str, ...],
        expected: list[Outcome],
    ) -> None:
        endpoint = ScriptedEndpoint(*script)
        assert trio.run(outcomes, endpoint, calls) == expected

    def test_connections_are_kept_without_copies(self) -> None:
        endpoint = ScriptedEndpoint(FIRST, FREED, SECOND, FREED)
        trio.run(outcomes, endpoint, ('run', 'free', 'run', 'free'))
        assert endpoint.connections == 1


class TestEndlessCopies:
    @pytest.mark.parametrize(
        ('copies', 'expected'),
        [
            pytest.param(FIRST * MANY, 'unknown', id='a thousand'),
            pytest.param(FIRST[:-1], 'no results', id='cut off'),
            pytest.param(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % LARGE
                + b'x' * MEGABYTE * 2,
                'unknown',
                id='a hundred megabytes',
            ),
        ],
    )
    def test_pieces_may_have_run(
        self, copies: bytes, expected: str, caplog: pytest.LogCaptureFixture
    ) -> None:
        endpoint = ScriptedEndpoint(FIRST, copies + SECOND, SECOND)
        with caplog.at_level(logging.INFO):
            tracemalloc.start()
            found = trio.run(outcomes, endpoint, ('run', 'run', 'run'))
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        assert found == [('h:1/first',), expected, ('h:1/second',)]
        assert endpoint.connections == 2
        assert peak < 10 * MEGABYTE
        events = {record.__dict__.get('event') for record in caplog.records}
        assert _events.CONNECTION_RETIRED.number in events


class TestRequestsOnConnections:
    def test_request_is_not_sent_twice_on_a_connection(self) -> None:
        async def check() -> None:
            endpoint = ScriptedEndpoint(
                b'HTTP/1.1 503 F\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n'
            )
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    partial(trio.serve_tcp, endpoint.serve, 0, host='127.0.0.1')
                )
                port = listeners[0].socket.getsockname()[1]
                target = listed(port)
                pool = _pool.ConnectionPool(settings.SendSettings())
                first = await pool.acquire(
                    target, repeatable=True, request_id='r'
                )
                assert isinstance(first, _connection.Connection)
                headers = [(b'host', b'h')]
                await first.send(
                    _connection.Outgoing('GET', b'/', headers, b'', 'r')
                )
                await first.receive_head()
                await first.receive_body(1)
                await pool.release(target, first)
                again = await pool.acquire(
                    target, repeatable=True, request_id='r'
                )
                other = await pool.acquire(
                    target, repeatable=True, request_id='other'
                )
                assert again is not first
                assert other is first
                nursery.cancel_scope.cancel()

        trio.run(check)
