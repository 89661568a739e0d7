import random

import hypothesis
import pytest
from hypothesis import strategies as st

from lentilspool import kernel, retries

_REASONS = kernel.NotRunReason
_CONNECTION_LOST = kernel.Unknown('t', kernel.UnknownReason.connection_lost)
_FAILED = kernel.Failed('rank', 'error')
_DRAINING = kernel.NotRun(_REASONS.draining)
_OVERLOADED = kernel.NotRun(_REASONS.overloaded)
_FINAL = (
    kernel.NotRun(_REASONS.invalid),
    kernel.NotRun(_REASONS.quarantined),
    kernel.NotRun(_REASONS.deadline),
    kernel.NotRun(_REASONS.expired_token),
    kernel.NotRun(_REASONS.spend),
    kernel.NotRun(_REASONS.team_limit),
    kernel.Late('rank'),
    kernel.Complete(b'{}'),
    kernel.Accepted('t'),
)


def _decide(
    outcome: kernel.Outcome,
    *,
    repeatable: bool = True,
    number: int = 1,
    remaining_s: float = 5,
    other_endpoints: bool = True,
    budget: retries.RetryBudget | None = None,
) -> retries.NextStep:
    attempt = retries.Attempt(
        outcome=outcome,
        stage='rank',
        repeatable=repeatable,
        number=number,
        remaining_s=remaining_s,
        expected_s=0.5,
        other_endpoints=other_endpoints,
    )
    return retries.decide_retry(
        attempt,
        budget or retries.RetryBudget(),
        retries.Backoff(),
        0,
        random.Random(1),
    )


def _empty_budget() -> retries.RetryBudget:
    budget = retries.RetryBudget()
    assert budget.try_spend(0)
    return budget


class TestAfterAttempt:
    @pytest.mark.parametrize(
        'outcome', (_CONNECTION_LOST, _FAILED, _OVERLOADED)
    )
    def test_repeatable_stage_is_retried_within_the_budget(
        self, outcome: kernel.Outcome
    ) -> None:
        assert isinstance(_decide(outcome), retries.Retry)
        spent = _decide(outcome, budget=_empty_budget())
        assert isinstance(spent, retries.GiveUp)

    @pytest.mark.parametrize('outcome', (_CONNECTION_LOST, _FAILED))
    def test_unrepeatable_stage_that_may_have_run_is_not_retried(
        self, outcome: kernel.Outcome
    ) -> None:
        step = _decide(outcome, repeatable=False)
        assert isinstance(step, retries.GiveUp)
        assert isinstance(step.outcome, outcome.__class__)

    @pytest.mark.parametrize('repeatable', (True, False))
    def test_refusal_by_one_sidecar_is_retried_at_once_without_budget(
        self, repeatable: bool
    ) -> None:
        step = _decide(_DRAINING, repeatable=repeatable, budget=_empty_budget())
        assert step == retries.Retry(0)

    @pytest.mark.parametrize('outcome', _FINAL)
    def test_final_outcomes_are_not_retried(
        self, outcome: kernel.Outcome
    ) -> None:
        step = _decide(outcome)
        assert isinstance(step, retries.GiveUp)
        assert isinstance(step.outcome, outcome.__class__)

    @pytest.mark.parametrize(
        'outcome', (_CONNECTION_LOST, _FAILED, _OVERLOADED)
    )
    def test_final_outcome_has_a_retry_after_time(
        self, outcome: kernel.Outcome
    ) -> None:
        step = _decide(outcome, remaining_s=0.4)
        assert isinstance(step, retries.GiveUp)
        assert isinstance(step.outcome, kernel.NotRun | kernel.Failed)
        assert step.outcome.retry_after_s

    def test_number_of_attempts_is_limited(self) -> None:
        assert isinstance(_decide(_DRAINING, number=4), retries.GiveUp)

    def test_retry_on_the_only_endpoint_waits_as_long_as_it_asked(self) -> None:
        asked = kernel.NotRun(_REASONS.overloaded, retry_after_s=2)
        step = _decide(asked, other_endpoints=False)
        assert isinstance(step, retries.Retry)
        assert step.delay_s >= 2
        late = _decide(asked, other_endpoints=False, remaining_s=2)
        assert isinstance(late, retries.GiveUp)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        outcome=st.sampled_from(
            (_CONNECTION_LOST, _FAILED, _OVERLOADED, _DRAINING)
        ),
        number=st.integers(1, 9),
        remaining_s=st.floats(-1, 10),
        other_endpoints=st.booleans(),
    )
    def test_no_retry_is_expected_to_end_after_the_deadline(
        self,
        outcome: kernel.Outcome,
        number: int,
        remaining_s: float,
        other_endpoints: bool,
    ) -> None:
        step = _decide(
            outcome,
            number=number,
            remaining_s=remaining_s,
            other_endpoints=other_endpoints,
        )
        if isinstance(step, retries.Retry):
            assert step.delay_s + 0.5 <= remaining_s


class TestRetryBudget:
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        steps=st.lists(st.tuples(st.booleans(), st.floats(0, 5)), max_size=200),
        share=st.floats(0, 1),
        reserve=st.integers(1, 20),
    )
    def test_spending_is_bounded_by_a_share_of_the_successes(
        self, steps: list[tuple[bool, float]], share: float, reserve: int
    ) -> None:
        budget = retries.RetryBudget(share, window_s=10, reserve=reserve)
        now = 0.0
        successes = 0
        spent = 0
        for success, pause_s in steps:
            now += pause_s
            if success:
                budget.record_success(now)
                successes += 1
            else:
                spent += budget.try_spend(now)
            assert budget.balance >= 0
        assert spent <= reserve + share * successes + now / 10 + 1e-6

    def test_spending_stays_bounded_when_successes_stop(self) -> None:
        budget = retries.RetryBudget()
        for step in range(100):
            budget.record_success(step / 10)
        spent = sum(budget.try_spend(10 + step / 10) for step in range(300))
        assert spent <= 0.1 * 100 + 1

    def test_unused_retries_expire(self) -> None:
        budget = retries.RetryBudget()
        for _ in range(1000):
            budget.record_success(0)
        assert sum(budget.try_spend(100) for _ in range(100)) == 1


class TestHedging:
    def test_hedges_only_repeatable_stages_within_budget_and_deadline(
        self,
    ) -> None:
        hedging = retries.Hedging()
        delay_s = hedging.delay_s(repeatable=True, p95_s=2, remaining_s=9)
        assert delay_s == 3
        assert not hedging.delay_s(repeatable=True, p95_s=1, remaining_s=2)
        assert not hedging.delay_s(repeatable=False, p95_s=1, remaining_s=5)
        budget = retries.RetryBudget()
        assert not hedging.try_hedge(budget, 0, repeatable=False)
        assert hedging.try_hedge(budget, 0, repeatable=True)
        assert not hedging.try_hedge(budget, 0, repeatable=True)
