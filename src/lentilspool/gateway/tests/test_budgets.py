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
