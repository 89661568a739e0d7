"""Tests of streams that a planned stop would cut off.

A stopping gateway must refuse a stream that cannot end before the process
does, as long as no engine has it, and serve one that can.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterator
from typing import Any, Final

import pytest
import trio

from lentilspool import settings
from lentilspool.gateway.tests import builders, works

STOP: Final = settings.StopSettings(grace_s=2.4, exit_s=0.2)
# Leaves time for stage calls as long as the stand-ins' configuration says.
LONG_STOP: Final = settings.StopSettings(grace_s=5.2, exit_s=0.2)
EVENT_S: Final = 0.25
SLOW_STREAM: Final = works.streaming(
    {number: EVENT_S for number in range(1, works.EVENTS + 1)}
)
# All requests count as late.
LATE_STOP: Final = settings.StopSettings(usual_s=0, grace_s=4.0, exit_s=0.2)
# Leaves time for stage calls as well.
LONG_LATE_STOP: Final = settings.StopSettings(
    usual_s=0, grace_s=6.5, exit_s=0.2
)
# Tokens that a request with pieces asks for.
TOKENS: Final = 20
SHORT_EVENTS: Final = 2


@dataclasses.dataclass(frozen=True)
class Case:
    """A request beside a stop."""

    stages_s: tuple[float, ...]
    """Durations of its stage, the first for the request before the stop."""

    sent_after_s: float
    """Seconds from the beginning of the stop to the request."""

    stop: settings.StopSettings = STOP
    """Settings of the stop."""


def draft(*, staged: bool) -> dict[str, Any]:
    """Return a route of streams, with a stage or without."""
    stages = [{'service': builders.STAGE, 'bytes': 100}] if staged else []
    return builders.route(
        'draft',
        'streaming',
        builders.ENGINE,
        stages=stages,
        target_latency_ms=1000,
        max_gap_ms=1000,
    )


async def stop_after(gateway: builders.Gateway, seconds: float) -> None:
    """Stop the gateway as a process does, which cuts off what is open."""
    await trio.sleep(seconds)
    stop = gateway.context.stop
    stop.begin()
    while not stop.time_is_up:
        await trio.sleep(0.01)


def run_beside_stop(
    case: Case,
    work: works.Work,
    check: Callable[[builders.Received, builders.Endpoint], None],
) -> None:
    """Serve one request, then send another beside a stop and check it."""

    async def scenario(gateway: builders.Gateway) -> None:
        engine = builders.Endpoint('e', builders.ENGINE, work)
        pauses_s: Iterator[float] = iter(case.stages_s)
        stage = builders.Endpoint(
            's', builders.STAGE, works.staging_each(pauses_s)
        )
        staged = bool(case.stages_s)
        await gateway.start([engine, stage], [draft(staged=staged)])
        before = await gateway.request('/draft/', '1')
        assert before.whole
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_after, gateway, max(-case.sent_after_s, 0))
            await trio.sleep(max(case.sent_after_s, 0))
            received = await gateway.request('/draft/', '1')
            nursery.cancel_scope.cancel()
        check(received, engine)

    builders.run(scenario, stop=case.stop)


def assert_refused(
    received: builders.Received, engine: builders.Endpoint
) -> None:
    """Check that the caller was told that its request has not run."""
    assert (received.status, received.whole) == (503, True)
    assert len(engine.received) == 1


def assert_served(
    received: builders.Received, engine: builders.Endpoint
) -> None:
    """Check that the caller got the whole stream."""
    assert (received.status, received.whole) == (200, True)
    assert len(engine.received) == 2


class TestStreamThatCannotEndBeforeTheProcess:
    @pytest.mark.parametrize(
        'case',
        [
            Case((), 1.1),
            Case((0.3, 0.3), 0.8),
            Case((0.1, 0.9), 0.3),
            Case((0.1, 1.5), -0.1),
        ],
        ids=[
            'long-at-the-engine',
            'long-with-its-stage',
            'stage-slower-than-before',
            'planned-when-the-stop-begins',
        ],
    )
    def test_is_refused_before_an_engine_has_it(self, case: Case) -> None:
        run_beside_stop(case, SLOW_STREAM, assert_refused)


class TestStreamThatEndsBeforeTheProcess:
    @pytest.mark.parametrize(
        'case',
        [
            Case((), 0.5),
            Case((0.1, 0.1), 0.5, LONG_STOP),
            Case((0.3, 0.3), -0.1),
        ],
        ids=['short', 'short-with-a-stage', 'planned-when-the-stop-begins'],
    )
    def test_is_served(self, case: Case) -> None:
        run_beside_stop(case, works.streaming({}), assert_served)

    def test_is_served_if_another_share_of_its_route_is_unknown(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            engines = [
                builders.Endpoint(service, service, works.streaming({}))
                for service in (builders.ENGINE, builders.OTHER_ENGINE)
            ]
            shares = [
                {'service': builders.ENGINE, 'weight': 1_000_000},
                {'service': builders.OTHER_ENGINE, 'weight': 1},
            ]
            route = {**draft(staged=False), 'traffic_split': shares}
            await gateway.start(engines, [route])
            assert (await gateway.request('/draft/')).whole
            gateway.context.stop.begin()
            received = await gateway.request('/draft/')
            assert_served(received, engines[0])

        builders.run(scenario, stop=STOP)


def steady(pace_s: float, events: int) -> works.Work:
    """Return work that streams events at a pace."""
    return works.streaming(dict.fromkeys(range(1, events + 1), pace_s), events)


class TestLateRequest:
    """Guards against late streams that are cut off since most are shorter."""

    @pytest.mark.parametrize(
        ('short', 'long_before'),
        [(1, 0), (19, 0), (19, 1), (49, 0), (49, 1)],
    )
    def test_stream_that_may_be_long_is_refused(
        self, short: int, long_before: int
    ) -> None:
        lengths = [
            *itertools.repeat(TOKENS, long_before),
            *itertools.repeat(SHORT_EVENTS, short),
            TOKENS,
        ]

        async def scenario(gateway: builders.Gateway) -> None:
            engine = builders.Endpoint(
                'e',
                builders.ENGINE,
                works.in_turn(steady(EVENT_S, events) for events in lengths),
            )
            await gateway.start([engine], [self.route()])
            async with trio.open_nursery() as nursery:
                for _ in lengths[1:]:
                    nursery.start_soon(gateway.request, '/draft/', '1')
            before = len(engine.received)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stop_after, gateway, 0)
                received = await gateway.request('/draft/', '1')
                nursery.cancel_scope.cancel()
            assert (received.status, received.whole) == (503, True)
            assert len(engine.received) == before

        builders.run(scenario, stop=LATE_STOP)

    @pytest.mark.parametrize('events', [SHORT_EVENTS, TOKENS])
    @pytest.mark.parametrize('staged', [False, True])
    def test_stream_that_fits_is_served(
        self, events: int, staged: bool
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            endpoints = [
                builders.Endpoint('e', builders.ENGINE, steady(0.02, events)),
                builders.Endpoint(
                    's', builders.STAGE, works.staging_each(itertools.repeat(0))
                ),
            ]
            await gateway.start(endpoints, [self.route(staged=staged)])
            assert (await gateway.request('/draft/', '1')).whole
            gateway.context.stop.begin()
            received = await gateway.request('/draft/', '1')
            assert (received.status, received.whole) == (200, True)

        builders.run(scenario, stop=LONG_LATE_STOP if staged else LATE_STOP)

    @pytest.mark.parametrize('kind', ['safe', 'unsafe'])
    def test_plain_request_is_served_until_its_time_is_over(
        self, kind: str
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            desk = builders.Endpoint('d', 'desk', works.answering(0.05))
            await gateway.start([desk], [builders.route('look', kind, 'desk')])
            for _ in range(3):
                assert (await gateway.request('/look/')).whole
            gateway.context.stop.begin()
            last_s = 0.5
            while gateway.context.stop.left_s > last_s:
                received = await gateway.request('/look/')
                assert (received.status, received.body) == (200, b'ok')

        builders.run(scenario, stop=LATE_STOP)

    def route(self, *, staged: bool = False) -> dict[str, Any]:
        """Return a route whose deadline is later than the end of the stop."""
        return {**draft(staged=staged), 'timeout_ms': 60_000}


class TestSilentEngineBesideStop:
    def test_keeps_the_stream_if_its_replacement_comes_too_late(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            pauses_s = iter(({0: 0.3}, {0: 1.4}, {}))
            engines = [
                builders.Endpoint(
                    f'e{number}',
                    builders.ENGINE,
                    works.in_turn(map(works.streaming, pauses_s)),
                )
                for number in range(2)
            ]
            route = {**draft(staged=False), 'resumable': True, 'attempts': 2}
            await gateway.start(engines, [{**route, 'target_latency_ms': 100}])
            assert (await gateway.request('/draft/', '1')).whole
            gateway.context.stop.begin()
            received = await gateway.request('/draft/', '1')
            assert (received.status, received.whole) == (200, True)
            assert sum(len(one.received) for one in engines) == 2

        builders.run(
            scenario,
            settings.SendSettings(silent_s=1.0),
            settings.StopSettings(usual_s=0, grace_s=3.6, exit_s=0.2),
        )
