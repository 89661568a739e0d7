"""What the soak brings about: fatal parts of prompts, and series of stops."""

import itertools
import pathlib
import random

import pytest
import trio
from trio import testing

from lentilspool.gateway import _http_server
from soak import (
    _callers,
    _endpoints,
    _findings,
    _gateways,
    _history,
    _planned_work,
    _published,
    _terms,
)
from soak.tests import test_callers

PART = 'fa01'
MOST_ASKED = 6
# Allows for the rounding of the clock.
LEAST_GAP_S = 0.1999
MOST_GAP_S = 0.7001


class Refusing:
    """A stand-in of gateways that refuses everything."""

    def __init__(self) -> None:
        self.prompts: list[list[str]] = []
        self.enough = trio.Event()

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        stated = dict(request.headers)[b'prompt-prefix'].decode()
        parts = [one.partition(':')[0] for one in stated.split(',')]
        self.prompts.append(parts)
        await reply.write_complete(503, [(b'content-length', b'0')], b'')
        if len(self.prompts) == MOST_ASKED:
            self.enough.set()


async def ask_with_part(
    refusing: Refusing, folder: pathlib.Path
) -> list[_history.Sent]:
    """Let a caller send requests with a fatal part; return what it noted."""
    findings = _findings.Findings()
    server = _http_server.Server(
        '127.0.0.1:0', refusing.serve, lambda: test_callers.LIMITS
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        gateways = [_gateways.Gateway(f'g{one}', folder, 1) for one in (0, 1)]
        for gateway in gateways:
            gateway.callers = server.port
        caller = _callers.Caller(1, gateways, findings, random.Random(1))
        nursery.start_soon(caller.repeat_part, PART, 0.01)
        with trio.fail_after(5):
            await refusing.enough.wait()
        nursery.cancel_scope.cancel()
    return [
        one
        for one in findings.recorder.observations
        if isinstance(one, _history.Sent)
    ]


class TestRequestsWithFatalPart:
    def test_no_two_are_alike_but_for_the_part(
        self, tmp_path: pathlib.Path
    ) -> None:
        refusing = Refusing()
        noted = trio.run(ask_with_part, refusing, tmp_path)
        assert {one.fatal_part for one in noted} == {PART}
        assert len({one.content for one in noted}) == len(noted)
        assert len({one.machine for one in noted}) == 2
        for one, parts in zip(noted, refusing.prompts, strict=True):
            assert list(one.parts) == parts
            assert PART in parts[:-1]


async def run_at_engine(part: str) -> _findings.Findings:
    """Let an engine run a request, until it has ended."""
    findings = _findings.Findings()
    gone = trio.Event()
    engine = _endpoints.Endpoint('model', findings, lambda _: gone.set())
    asked = _findings.Asked(
        'r',
        _published.TEAMS[0],
        b'/draft/r',
        b'',
        'model',
        repeatable=False,
        counts=(0,),
    )
    findings.asks(asked)
    findings.fatal_parts.names.add(PART)
    async with trio.open_nursery() as nursery:
        await nursery.start(engine.serve)
        stream = await trio.open_tcp_stream('127.0.0.1', engine.proxy.port)
        request = (
            'POST /draft/r HTTP/1.1\r\nhost: soak\r\ncontent-length: 0\r\n'
            'request-id: r\r\ninputs:\r\n'
            f'prompt-prefix: aa:400,{part}:100,r:10\r\n\r\n'
        )
        await stream.send_all(request.encode())
        with trio.fail_after(5):
            while not any(
                isinstance(one, _history.Worked)
                for one in findings.recorder.observations
            ):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return findings


class TestEngineWithFatalPart:
    @pytest.mark.parametrize(
        ('part', 'how'),
        [('bb', _terms.Work.whole), (PART, _terms.Work.crashed)],
    )
    def test_part_ends_engine(self, part: str, how: _terms.Work) -> None:
        findings = trio.run(run_at_engine, part)
        ends = [
            one.how
            for one in findings.recorder.observations
            if isinstance(one, _history.Worked)
        ]
        assert ends == [how]


class Stopped:
    """A gateway that notes when it is stopped."""

    def __init__(self) -> None:
        self.stopped_at: list[float] = []

    async def stop(self) -> None:
        self.stopped_at.append(trio.current_time())


class Fleet:
    """The only part of the world that stops need."""

    def __init__(self, count: int) -> None:
        self.gateways = [Stopped() for _ in range(count)]


class TestSeriesOfStops:
    @pytest.mark.parametrize('seed', range(10))
    @pytest.mark.parametrize('count', [3, 6])
    def test_most_gateways_stop_within_a_second_of_each_other(
        self, seed: int, count: int
    ) -> None:
        fleet = Fleet(count)

        async def stop_twice() -> None:
            async with trio.open_nursery() as nursery:
                work = _planned_work.PlannedWork(
                    fleet,  # type: ignore[arg-type]
                    random.Random(seed),
                    nursery,
                )
                await work.kinds['stop_many']()
                await work.kinds['stop_many']()

        trio.run(stop_twice, clock=testing.MockClock(autojump_threshold=0))
        stops = [one.stopped_at for one in fleet.gateways]
        moments = sorted(itertools.chain.from_iterable(stops))
        gaps = [later - one for one, later in itertools.pairwise(moments)]
        assert max(map(len, stops)) == 1
        assert count / 2 <= len(moments) <= count
        assert min(gaps) >= LEAST_GAP_S
        assert max(gaps) <= MOST_GAP_S
