"""Tests of the retry budgets that gateways divide among them."""

import pytest

from lentilspool import settings
from lentilspool.gateway import _in_flight


class TestRetryBudgets:
    @pytest.mark.parametrize('gateways', [1, 5, 22, 27])
    def test_retries_of_all_gateways_stay_within_the_slack(
        self, gateways: int
    ) -> None:
        limits = settings.SendSettings(retry_slack=54)
        budgets = _in_flight.RetryBudgets(limits, lambda: gateways)
        spent = [
            budgets.for_service('s').try_spend(step / 10) for step in range(100)
        ]
        assert spent.count(True) * gateways <= 54

    def test_budget_shrinks_when_gateways_join(self) -> None:
        known = [1]
        budgets = _in_flight.RetryBudgets(
            settings.SendSettings(retry_slack=50), lambda: known[0]
        )
        assert budgets.for_service('s').balance > 30
        known[0] = 10
        budget = budgets.for_service('s')
        for step in range(400):
            budget.record_success(step / 10)
        assert budget.balance < 15

    def test_share_is_withdrawn_when_gateways_become_known(self) -> None:
        """All gateways start together, and hear of each other later."""
        known = [1]
        budgets = _in_flight.RetryBudgets(
            settings.SendSettings(retry_slack=54), lambda: known[0]
        )
        budgets.for_service('s').record_success(0)
        known[0] = 22
        spent = [
            budgets.for_service('s').try_spend(1 + step / 10)
            for step in range(90)
        ]
        assert spent.count(True) * 22 <= 54

    def test_gateways_that_come_and_go_leave_the_balance(self) -> None:
        known = [4]
        budgets = _in_flight.RetryBudgets(
            settings.SendSettings(retry_slack=50), lambda: known[0]
        )
        balance = budgets.for_service('s').balance
        for count in (5, 4) * 20:
            known[0] = count
            budgets.for_service('s')
        assert balance * 4 / 5 <= budgets.for_service('s').balance <= balance
