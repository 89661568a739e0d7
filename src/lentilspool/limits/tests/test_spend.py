"""Tests of spend pacing and of the cost ledger."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilspool import kernel, limits

CREDITS = {'p': limits.Credits(100, 0, 1000)}
SPEND = st.tuples(st.floats(0, 60), st.floats(0.01, 5))
DEMAND = st.lists(SPEND, max_size=150)


class TestSpendPacer:
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(demand=DEMAND)
    def test_spend_stays_within_the_credits_and_near_the_even_pace(
        self, demand: list[tuple[float, float]]
    ) -> None:
        pacer = limits.SpendPacer(CREDITS, {'spend_window': 0.05})
        now = 0.0
        spent = 0.0
        for gap_s, cost in demand:
            now += gap_s
            if pacer.allow('p', cost, now):
                pacer.record('p', cost, now)
                spent += cost
            assert spent <= 100
            assert spent <= 100 * now / 1000 + 5 + 1e-9

    def test_spends_nearly_all_when_demand_starts_late(self) -> None:
        pacer = limits.SpendPacer(CREDITS)
        for tick in range(500, 1000):
            while pacer.allow('p', 0.1, tick):
                pacer.record('p', 0.1, tick)
        spent = pacer.dump(999)['p']
        assert isinstance(spent, dict)
        assert spent['spent'] >= 98

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        spends=st.tuples(st.floats(0, 99), st.floats(0, 99)),
        now=st.floats(0, 999),
    )
    def test_pressure_falls_with_spend(
        self, spends: tuple[float, float], now: float
    ) -> None:
        pressures = []
        for spent in sorted(spends):
            pacer = limits.SpendPacer(CREDITS)
            pacer.record('p', spent, now)
            pressures.append(pacer.pressure('p', now))
        assert pressures[0] >= pressures[1]

    def test_pressure_is_above_one_only_behind_the_even_pace(self) -> None:
        pacer = limits.SpendPacer(CREDITS)
        assert pacer.pressure('p', 500) > 1
        pacer.record('p', 49.5, 500)
        assert pacer.pressure('p', 500) == 1
        pacer.record('p', 0.5, 500)
        assert pacer.pressure('p', 500) < 1

    @pytest.mark.parametrize('policy', [limits.SpendPacer, limits.UnpacedSpend])
    def test_nothing_is_spent_after_the_expiry(
        self, policy: type[limits.SpendPacer]
    ) -> None:
        assert not policy(CREDITS).allow('p', 0.01, 1000)

    def test_provider_without_credits_is_not_limited(self) -> None:
        assert limits.SpendPacer(CREDITS).allow('own', 1e9, 5)

    def test_new_process_continues_from_the_progress_of_a_peer(self) -> None:
        peer = limits.SpendPacer(CREDITS)
        peer.record('p', 90, 500)
        pacer = limits.SpendPacer(CREDITS, {}, 500)
        assert pacer.allow('p', 1, 500)
        pacer.adopt(peer.progress())
        assert not pacer.allow('p', 1, 500)
        assert pacer.progress() == peer.progress()

    def test_credits_parse_times_with_offset(self) -> None:
        parsed = limits.Credits.parse(
            5, '2026-01-01T00:00:00+01:00', '2026-01-01T00:00:00+00:00'
        )
        assert parsed.expires - parsed.starts == 3600


class TestCostLedger:
    def test_attempts_of_one_stage_are_added_up(self) -> None:
        ledger = limits.CostLedger()
        for stage, provider, cost in (
            ('encoding', 'x', 1),
            ('generation', 'x', 5),
            ('generation', 'x', 6),
        ):
            ledger.add('r', 't', kernel.StageCost(stage, provider, cost, 1))
        assert ledger.pop_request('r') == (
            kernel.StageCost('encoding', 'x', 1, 1),
            kernel.StageCost('generation', 'x', 11, 2),
        )
        assert not ledger.pop_request('r')

    def test_totals_by_team_stage_and_provider(self) -> None:
        ledger = limits.CostLedger()
        for team, provider in (('a', 'x'), ('a', 'y'), ('b', 'x')):
            cost = kernel.StageCost('generation', provider, 2, 1)
            ledger.add(f'{team}{provider}', team, cost)
        dumped = ledger.dump()
        assert dumped['by_team'] == {'a': 4, 'b': 2}
        assert dumped['by_provider'] == {'x': 4, 'y': 2}
        assert dumped['by_stage'] == {'generation': 6}
        assert len(ledger.totals) == 3
