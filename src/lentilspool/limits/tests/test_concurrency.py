"""Tests of concurrency limits."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilspool import limits

SAMPLES = st.lists(
    st.builds(
        limits.LatencySample,
        service_s=st.floats(0, 1e4),
        expected_s=st.floats(0, 1e3),
        in_flight=st.integers(0, 500),
        failed=st.booleans(),
    ),
    max_size=200,
)


def feed(policy: limits.LimitPolicy, service_s: float, count: int) -> int:
    for _ in range(count):
        policy.observe(limits.LatencySample(service_s, 1, policy.limit), now=0)
    return policy.limit


def grown() -> limits.ConcurrencyLimit:
    policy = limits.ConcurrencyLimit(64)
    assert feed(policy, 1, 32 * 16) == 64
    return policy


class TestConcurrencyLimit:
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(samples=SAMPLES, capacity=st.integers(-3, 300))
    def test_stays_between_one_and_capacity(
        self, samples: list[limits.LatencySample], capacity: int
    ) -> None:
        policy = limits.ConcurrencyLimit(capacity)
        for sample in samples:
            policy.observe(sample, now=0)
            assert 1 <= policy.limit <= max(1, capacity)

    def test_begins_low_and_grows_to_the_capacity(self) -> None:
        policy = limits.ConcurrencyLimit(64)
        assert policy.limit == 8
        assert feed(policy, 1, 32 * 16) == 64

    def test_falls_while_latency_grows(self) -> None:
        policy = grown()
        assert feed(policy, 4, 64) < 64 / 2

    def test_returns_when_latency_returns(self) -> None:
        policy = grown()
        feed(policy, 4, 64)
        assert feed(policy, 1, 32 * 16) == 64

    def test_large_calls_alone_do_not_lower_it(self) -> None:
        policy = grown()
        for _ in range(64):
            policy.observe(limits.LatencySample(30, 30, 64), now=0)
        assert policy.limit == 64

    @pytest.mark.parametrize('slower', [2.0, 4.0, 8.0])
    def test_slower_endpoint_never_gets_the_higher_limit(
        self, slower: float
    ) -> None:
        mild = grown()
        harsh = grown()
        assert feed(harsh, 2 * slower, 48) <= feed(mild, slower, 48)

    @pytest.mark.parametrize('knee', [4, 16])
    def test_finds_the_knee_of_an_endpoint(self, knee: int) -> None:
        policy = limits.ConcurrencyLimit(64)
        times = limits.ServiceTimes()
        reached = []
        for _ in range(6000):
            service_s = max(1, policy.limit / knee)
            floor_s = times.estimate('p', 's', service_s).floor_s
            times.observe('p', 's', service_s)
            policy.observe(
                limits.LatencySample(service_s, floor_s, policy.limit), now=0
            )
            reached.append(policy.limit)
        steady = sorted(reached[1000:])
        assert knee <= steady[len(steady) // 2] <= 3 * knee


class TestFixedLimit:
    def test_is_the_capacity(self) -> None:
        policy = limits.FixedLimit(8)
        assert feed(policy, 1000, 100) == 8
