"""Tests of the router of one pool."""

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
    router.set_endpoints((name, 'z') for name in names)
    return router


def report(limit: int, queued: int = 0) -> pipeline.LoadReport:
    return pipeline.LoadReport(in_flight=0, queued=queued, limit=limit)


def chosen_endpoint(
    router: pipeline.PoolRouter,
    request: routing.RoutingRequest,
    prefix: tuple[int, ...] = (),
) -> str:
    offer = router.offer(request, (), 0, prefix)
    return offer.endpoint if isinstance(offer, routing.Offer) else ''


class TestChoose:
    def test_untried_endpoint_is_preferred(self) -> None:
        router = make_router(('a', 'b'))
        tried = routing.RoutingRequest(excluded=frozenset('a'))
        assert chosen_endpoint(router, tried) == 'b'

    def test_tried_endpoint_is_chosen_if_there_is_no_other(self) -> None:
        router = make_router(('a',))
        tried = routing.RoutingRequest(excluded=frozenset('a'))
        assert isinstance(router.offer(tried, (), 0), routing.Offer)

    def test_endpoint_that_is_down_is_never_chosen(self) -> None:
        router = make_router(('a',))
        router.update_load('a', report(limit=0), 0.1, 0)
        assert isinstance(router.offer(REQUEST, (), 0), routing.NoEndpoint)
        assert router.load(1).slots == 0
        router.update_load('a', report(limit=4), 0.1, 1)
        assert isinstance(router.offer(REQUEST, (), 1), routing.Offer)

    def test_unreachable_endpoint_is_down_until_its_next_report(self) -> None:
        router = make_router(('a', 'b'))
        router.record_start('a')
        end = pipeline.AttemptResult(
            'a', 0.1, False, refused=True, unreachable=True
        )
        router.record_end(end, 0)
        names = [chosen_endpoint(router, REQUEST) for _ in range(20)]
        assert set(names) == {'b'}

    def test_prompt_is_sent_where_its_prefix_is_cached(self) -> None:
        router = make_router()
        prefix = pipeline.block_hashes('words ' * 2000)
        first = chosen_endpoint(router, REQUEST, prefix)
        again = [chosen_endpoint(router, REQUEST, prefix) for _ in range(5)]
        assert set(again) == {first}


class TestEjection:
    """Ejection while a rolling update takes other endpoints out of service.

    If a slow host times out during the update and is ejected, the pool must
    not be left without an endpoint.
    """

    def test_ejected_endpoint_is_chosen_if_there_is_no_other(self) -> None:
        router = make_router()
        self._eject(router, 'a')
        for name in ('b', 'c'):
            router.update_load(name, report(limit=0), 0.1, 0)
        assert chosen_endpoint(router, REQUEST) == 'a'

    def test_ejected_endpoint_is_not_chosen_while_others_are_up(self) -> None:
        router = make_router()
        self._eject(router, 'a')
        names = {chosen_endpoint(router, REQUEST) for _ in range(20)}
        assert names == {'b', 'c'}

    def test_ejected_endpoint_that_is_down_is_never_chosen(self) -> None:
        router = make_router()
        self._eject(router, 'a')
        for name in NAMES:
            router.update_load(name, report(limit=0), 0.1, 0)
        assert isinstance(router.offer(REQUEST, (), 0), routing.NoEndpoint)

    def _eject(self, router: pipeline.PoolRouter, name: str) -> None:
        for other in NAMES:
            end = pipeline.AttemptResult(other, 0.1, succeeded=other != name)
            for _ in range(30):
                router.record_start(other)
                router.record_end(end, 0)
        assert router.dump(0)['ejected'] == [name]


class TestOffers:
    def test_call_refused_by_a_full_endpoint_is_offered_to_another(
        self,
    ) -> None:
        router = make_router(('a', 'b'))
        router.offer(REQUEST, (), 0)
        refusals = (routing.RefusedOffer('a', 0.5),)
        offer = router.offer(REQUEST, refusals, 0)
        assert offer == routing.Offer('b', may_queue=False)

    def test_call_queues_at_the_endpoint_with_the_shortest_wait(self) -> None:
        router = make_router(('a', 'b'))
        refusals = (
            routing.RefusedOffer('a', 0.5),
            routing.RefusedOffer('b', 0.1),
        )
        offer = router.offer(REQUEST, refusals, 0)
        assert offer == routing.Offer('b', may_queue=True)


LIMITS = (
    ((4, 4, 4), 12),
    ((2, 0, 4), 6),
    ((0, 0, 0), 0),
)


class TestLoad:
    @pytest.mark.parametrize(('limits', 'slots'), LIMITS)
    def test_slots_count_only_endpoints_that_are_up(
        self, limits: tuple[int, ...], slots: int
    ) -> None:
        router = make_router()
        for name, limit in zip(NAMES, limits, strict=True):
            router.update_load(name, report(limit), 0.1, 0)
        assert router.load(2).slots == slots

    def test_wait_is_the_shortest_of_all_endpoints(self) -> None:
        router = make_router(('a', 'b'))
        router.update_load('a', report(limit=2, queued=10), 0.1, 0)
        router.update_load('b', report(limit=2, queued=4), 0.1, 0)
        assert router.load(1).wait_s == pytest.approx(0.2)


class TestRetries:
    def test_all_calls_of_a_dead_endpoint_are_retried(self) -> None:
        router = make_router()
        steps = [
            self._step_after_lost_connection(router)
            for _ in range(POOL.max_in_flight)
        ]
        assert all(isinstance(step, retries.Retry) for step in steps)
        assert isinstance(
            self._step_after_lost_connection(router), retries.GiveUp
        )

    def _step_after_lost_connection(
        self, router: pipeline.PoolRouter
    ) -> retries.NextStep:
        outcome = kernel.Unknown('', kernel.UnknownReason.connection_lost)
        return router.decide_retry(
            retries.Attempt(
                outcome, 's', True, 1, remaining_s=5, expected_s=0.1
            ),
            0,
        )


class TestPrefix:
    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.text(max_size=3000), st.text(max_size=300))
    def test_block_hashes_of_a_prompt_prefix_stay_equal(
        self, prefix: str, end: str
    ) -> None:
        shorter = pipeline.block_hashes(prefix)
        longer = pipeline.block_hashes(prefix + end)
        assert longer[: len(shorter)] == shorter


class TestCancelled:
    def test_cancelled_attempts_do_not_count_as_failures(self) -> None:
        router = make_router()
        end = pipeline.AttemptResult('a', 0.1, succeeded=False, cancelled=True)
        for _ in range(50):
            router.record_start('a')
            router.record_end(end, 0)
        assert router.dump(0)['ejected'] == []
        assert router.dump(0)['success_share'] == 1
