"""Tests of one pool as an entry sees it."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilspool import config, kernel, pipeline, retries, routing

POOL = config.PoolDocument(kind='engine', max_in_flight=4)
NAMES = ('a', 'b', 'c')
REQUEST = routing.RoutingRequest(pool='p', zone='z')


def make_router(names: tuple[str, ...] = NAMES) -> pipeline.PoolRouter:
    router = pipeline.PoolRouter('p', POOL, 0.1, random.Random(1))
    router.replace((name, 'z') for name in names)
    return router


def report(limit: int, queued: int = 0) -> pipeline.LoadReport:
    return pipeline.LoadReport(in_flight=0, queued=queued, limit=limit)


def chosen(
    router: pipeline.PoolRouter,
    request: routing.RoutingRequest,
    prefix: tuple[int, ...] = (),
) -> str:
    offer = router.offer(request, (), 0, prefix)
    return offer.endpoint if isinstance(offer, routing.Offer) else ''


class TestChoose:
    def test_tried_endpoints_come_last(self) -> None:
        router = make_router(('a', 'b'))
        tried = routing.RoutingRequest(excluded=frozenset('a'))
        assert chosen(router, tried) == 'b'

    def test_a_tried_endpoint_is_better_than_none(self) -> None:
        router = make_router(('a',))
        tried = routing.RoutingRequest(excluded=frozenset('a'))
        assert isinstance(router.offer(tried, (), 0), routing.Offer)

    def test_an_endpoint_that_is_down_is_never_chosen(self) -> None:
        router = make_router(('a',))
        router.reported('a', report(limit=0), 0.1, 0)
        assert isinstance(router.offer(REQUEST, (), 0), routing.NoEndpoint)
        assert router.load(1).slots == 0
        router.reported('a', report(limit=4), 0.1, 1)
        assert isinstance(router.offer(REQUEST, (), 1), routing.Offer)

    def test_an_unreachable_endpoint_is_down_until_its_report(self) -> None:
        router = make_router(('a', 'b'))
        router.started('a')
        end = pipeline.AttemptEnd(
            'a', 0.1, False, refused=True, unreachable=True
        )
        router.ended(end, 0)
        names = [chosen(router, REQUEST) for _ in range(20)]
        assert set(names) == {'b'}

    def test_a_prompt_follows_its_prefix(self) -> None:
        router = make_router()
        prefix = pipeline.block_hashes('words ' * 2000)
        first = chosen(router, REQUEST, prefix)
        again = [chosen(router, REQUEST, prefix) for _ in range(5)]
        assert set(again) == {first}


class TestEjection:
    """A rolling version takes endpoints out while a slow host times out."""

    def test_an_ejected_endpoint_is_better_than_none(self) -> None:
        router = make_router()
        self._eject(router, 'a')
        for name in ('b', 'c'):
            router.reported(name, report(limit=0), 0.1, 0)
        assert chosen(router, REQUEST) == 'a'

    def test_an_ejected_endpoint_comes_after_all_others(self) -> None:
        router = make_router()
        self._eject(router, 'a')
        names = {chosen(router, REQUEST) for _ in range(20)}
        assert names == {'b', 'c'}

    def test_an_ejected_endpoint_that_is_down_gets_nothing(self) -> None:
        router = make_router()
        self._eject(router, 'a')
        for name in NAMES:
            router.reported(name, report(limit=0), 0.1, 0)
        assert isinstance(router.offer(REQUEST, (), 0), routing.NoEndpoint)

    def _eject(self, router: pipeline.PoolRouter, name: str) -> None:
        for other in NAMES:
            good = pipeline.AttemptEnd(other, 0.1, succeeded=other != name)
            for _ in range(30):
                router.started(other)
                router.ended(good, 0)
        assert router.dump(0)['ejected'] == [name]


class TestOffers:
    def test_a_full_endpoint_is_followed_by_another(self) -> None:
        router = make_router(('a', 'b'))
        router.offer(REQUEST, (), 0)
        full = (routing.FullEndpoint('a', 0.5),)
        offer = router.offer(REQUEST, full, 0)
        assert offer == routing.Offer('b', may_queue=False)

    def test_a_call_queues_where_the_wait_is_shortest(self) -> None:
        router = make_router(('a', 'b'))
        full = (
            routing.FullEndpoint('a', 0.5),
            routing.FullEndpoint('b', 0.1),
        )
        offer = router.offer(REQUEST, full, 0)
        assert offer == routing.Offer('b', may_queue=True)


LIMITS = (
    ((4, 4, 4), 12),
    ((2, 0, 4), 6),
    ((0, 0, 0), 0),
)


class TestLoad:
    @pytest.mark.parametrize(('limits', 'slots'), LIMITS)
    def test_slots_are_those_of_living_endpoints(
        self, limits: tuple[int, ...], slots: int
    ) -> None:
        router = make_router()
        for name, limit in zip(NAMES, limits, strict=True):
            router.reported(name, report(limit), 0.1, 0)
        assert router.load(2).slots == slots

    def test_the_shortest_wait_counts(self) -> None:
        router = make_router(('a', 'b'))
        router.reported('a', report(limit=2, queued=10), 0.1, 0)
        router.reported('b', report(limit=2, queued=4), 0.1, 0)
        assert router.load(1).wait_s == pytest.approx(0.2)


class TestRetries:
    def test_all_calls_of_a_dead_endpoint_are_tried_again(self) -> None:
        router = make_router()
        steps = [self._after(router) for _ in range(POOL.max_in_flight)]
        assert all(isinstance(step, retries.Retry) for step in steps)
        assert isinstance(self._after(router), retries.GiveUp)

    def _after(self, router: pipeline.PoolRouter) -> retries.NextStep:
        lost = kernel.Unknown('', kernel.UnknownReason.connection_lost)
        return router.after(
            retries.Attempt(lost, 's', True, 1, remaining_s=5, expected_s=0.1),
            0,
        )


class TestPrefix:
    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.text(max_size=3000), st.text(max_size=300))
    def test_a_longer_prompt_keeps_its_blocks(
        self, begin: str, end: str
    ) -> None:
        shorter = pipeline.block_hashes(begin)
        longer = pipeline.block_hashes(begin + end)
        assert longer[: len(shorter)] == shorter


class TestCancelled:
    def test_a_caller_that_leaves_ejects_nobody(self) -> None:
        router = make_router()
        end = pipeline.AttemptEnd('a', 0.1, succeeded=False, cancelled=True)
        for _ in range(50):
            router.started('a')
            router.ended(end, 0)
        assert router.dump(0)['ejected'] == []
        assert router.dump(0)['success_share'] == 1
