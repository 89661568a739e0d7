"""Tests of retry budgets that gateways share."""

import pytest

from lentilspool import settings
from lentilspool.gateway import _flight


class TestBudgets:
    @pytest.mark.parametrize('gateways', [1, 5, 22, 27])
    def test_all_gateways_together_stay_within_the_slack(
        self, gateways: int
    ) -> None:
        limits = settings.SendSettings(retry_slack=54)
        budgets = _flight.Budgets(limits, lambda: gateways)
        spent = [budgets.of('s').try_spend(step / 10) for step in range(100)]
        assert spent.count(True) * gateways <= 54

    def test_a_gateway_that_comes_later_lowers_the_share(self) -> None:
        known = [1]
        budgets = _flight.Budgets(
            settings.SendSettings(retry_slack=50), lambda: known[0]
        )
        assert budgets.of('s').balance > 30
        known[0] = 10
        budget = budgets.of('s')
        for step in range(400):
            budget.record_success(step / 10)
        assert budget.balance < 15
