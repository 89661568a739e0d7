"""Tests of fair shares of offered work and of service time estimates."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilspool import limits
from lentilspool.limits import _offered

RATES = st.dictionaries(
    st.sampled_from('abcdefgh'), st.floats(0, 50), min_size=1
)


class TestFairLevel:
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(rates=RATES, slots=st.floats(0.5, 100))
    def test_allocations_fill_the_slots_exactly(
        self, rates: dict[str, float], slots: float
    ) -> None:
        level = _offered.fair_level(rates, {'a': 3}, slots)
        allocations = [
            min(rate, level * (3 if team == 'a' else 1))
            for team, rate in rates.items()
        ]
        assert sum(allocations) == pytest.approx(
            min(slots, sum(rates.values()))
        )

    def test_unused_share_is_divided_among_other_teams(self) -> None:
        level = _offered.fair_level({'a': 1, 'b': 20, 'c': 20}, {}, 9)
        assert level == pytest.approx(4)


class TestOfferedWork:
    def test_no_cutoff_without_overload(self) -> None:
        offered = _offered.OfferedWork(2, 0)
        offered.add('a', 1, 1)
        assert not offered.cutoffs(4, {}, 2).by_team

    def test_small_requests_of_a_flooding_team_are_allowed(self) -> None:
        offered = _offered.OfferedWork(2, 0)
        for tick in range(1000):
            now = tick * 0.01
            offered.add('flood', 0.01 if tick % 2 else 1, now)
            offered.add('small', 0.005, now)
        cutoffs = offered.cutoffs(10, {}, 10)
        assert cutoffs.allows('flood', 0.01)
        large_sizes = [
            _offered.BUCKET_RATIO ** (step / 100) for step in range(100)
        ]
        allowed = sum(cutoffs.allows('flood', size) for size in large_sizes)
        assert 10 <= allowed <= 30
        assert cutoffs.allows('small', 3)

    def test_rates_stay_correct_when_weights_are_rebased(self) -> None:
        offered = _offered.OfferedWork(2, 0)
        for tick in range(20_000):
            offered.add('a', 0.5, tick * 0.1)
        assert offered.rates(2000)['a'] == pytest.approx(5, rel=0.1)


class TestServiceTimes:
    def test_estimate_is_the_prior_before_any_calls(self) -> None:
        times = limits.ServiceTimes()
        assert times.estimate('p', 's', 2).mean_s == 2

    def test_estimate_scales_with_size(self) -> None:
        times = limits.ServiceTimes()
        for size in range(1, 65):
            times.observe('p', 's', 0.01 * size, size)
        assert times.stage_estimate(
            'p', 's', 1, 100
        ).expected_s == pytest.approx(1)

    def test_mean_and_quantiles_are_close_to_the_true_ones(self) -> None:
        rng = random.Random(1)
        times = limits.ServiceTimes()
        for _ in range(2000):
            times.observe('p', 's', rng.uniform(1, 2))
        service_time = times.estimate('p', 's', 1)
        assert service_time.mean_s == pytest.approx(1.5, rel=0.05)
        assert service_time.low_s == pytest.approx(1.1, rel=0.12)
        assert service_time.high_s == pytest.approx(1.9, rel=0.12)

    def test_estimate_follows_a_change_of_service_time(self) -> None:
        times = limits.ServiceTimes()
        for _ in range(2000):
            times.observe('p', 's', 1)
        for _ in range(600):
            times.observe('p', 's', 10)
        assert times.estimate('p', 's', 1).mean_s > 7
