"""Tests of the limits on calls in flight."""

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


def observe_calls(
    policy: limits.LimitPolicy, service_s: float, count: int
) -> int:
    for _ in range(count):
        policy.observe(limits.LatencySample(service_s, 1, policy.limit), now=0)
    return policy.limit


def policy_at_capacity() -> limits.ConcurrencyLimit:
    policy = limits.ConcurrencyLimit(64)
    assert observe_calls(policy, 1, 32 * 16) == 64
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

    def test_starts_low_and_grows_to_the_capacity(self) -> None:
        policy = limits.ConcurrencyLimit(64)
        assert policy.limit == 8
        assert observe_calls(policy, 1, 32 * 16) == 64

    def test_falls_when_latency_is_above_the_baseline(self) -> None:
        policy = policy_at_capacity()
        assert observe_calls(policy, 4, 64) < 64 / 2

    def test_recovers_when_latency_recovers(self) -> None:
        policy = policy_at_capacity()
        observe_calls(policy, 4, 64)
        assert observe_calls(policy, 1, 32 * 16) == 64

    def test_long_calls_of_large_size_do_not_lower_the_limit(self) -> None:
        policy = policy_at_capacity()
        for _ in range(64):
            policy.observe(limits.LatencySample(30, 30, 64), now=0)
        assert policy.limit == 64

    @pytest.mark.parametrize('slowdown', [2.0, 4.0, 8.0])
    def test_slower_endpoint_never_gets_a_higher_limit(
        self, slowdown: float
    ) -> None:
        faster = policy_at_capacity()
        slower = policy_at_capacity()
        assert observe_calls(slower, 2 * slowdown, 48) <= observe_calls(
            faster, slowdown, 48
        )

    @pytest.mark.parametrize('concurrency', [4, 16])
    def test_converges_near_the_concurrency_of_the_endpoint(
        self, concurrency: int
    ) -> None:
        policy = limits.ConcurrencyLimit(64)
        times = limits.ServiceTimes()
        limits_seen = []
        for _ in range(6000):
            service_s = max(1, policy.limit / concurrency)
            floor_s = times.estimate('p', 's', service_s).floor_s
            times.observe('p', 's', service_s)
            policy.observe(
                limits.LatencySample(service_s, floor_s, policy.limit), now=0
            )
            limits_seen.append(policy.limit)
        steady = sorted(limits_seen[1000:])
        assert concurrency <= steady[len(steady) // 2] <= 3 * concurrency


class TestFixedLimit:
    def test_limit_is_the_capacity_at_any_latency(self) -> None:
        policy = limits.FixedLimit(8)
        assert observe_calls(policy, 1000, 100) == 8
