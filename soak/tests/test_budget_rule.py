"""Tests of how repeats at a service are counted against requests."""

from collections.abc import Sequence

import pytest

from soak import _budget_rule

ALLOWANCE = _budget_rule.Allowance(ratio=0.2, window_s=10, slack=2)
FIVE_AT_1 = (1, 1, 1, 1, 1)
FIVE_AT_8 = (8, 8, 8, 8, 8)
FIVE_AT_21 = (21, 21, 21, 21, 21)


class TestBudgetRule:
    @pytest.mark.parametrize(
        ('requests_at', 'arrivals_at', 'excess'),
        [
            pytest.param([1], [1, 2, 3], -0.2, id='slack'),
            pytest.param([1], [1, 2, 3, 4], 0.8, id='beyond'),
            pytest.param(FIVE_AT_1, [1, 2, 3, 4], 0, id='share of requests'),
            pytest.param([], [1, 2, 8, 14], 0, id='slides'),
            pytest.param([], [1, 2, 8, 11.9], 1, id='any span'),
            pytest.param(FIVE_AT_1, [0, 12, 13, 14], 0, id='window before'),
            pytest.param(FIVE_AT_8, [0, 20, 21, 22], 0, id='half before'),
            pytest.param(FIVE_AT_1, [0, 30, 31, 32], 1, id='long before'),
            pytest.param(FIVE_AT_21, [0, 18, 19, 20], 1, id='requests after'),
        ],
    )
    def test_excess_of_worst_window(
        self,
        requests_at: Sequence[float],
        arrivals_at: list[float],
        excess: float,
    ) -> None:
        rule = _budget_rule.BudgetRule(ALLOWANCE)
        for at in requests_at:
            rule.sent(at, ['desk', 'model'])
        for at in arrivals_at:
            rule.arrived(at, 'desk', 'r')
        (window,) = rule.worst()
        assert window.excess == pytest.approx(excess)

    def test_first_arrivals_are_no_repeats(self) -> None:
        rule = _budget_rule.BudgetRule(ALLOWANCE)
        for number in range(9):
            rule.arrived(number, 'desk', f'r{number}')
            rule.arrived(number, 'model', f'r{number}')
        assert not rule.worst()

    def test_calls_of_repeated_runs_are_repeats(self) -> None:
        rule = _budget_rule.BudgetRule(ALLOWANCE)
        for number in range(3):
            rule.arrived(number, 'desk', f'r{number}', by_repeat=True)
        assert [one.repeats for one in rule.worst()] == [3]
