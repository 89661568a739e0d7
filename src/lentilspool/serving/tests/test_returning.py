"""Tests of callers that come back after a refusal."""

import pytest

from lentilspool import serving

USUAL_S = 10.0


class TestCallerPatience:
    """A burst in which every other request was turned away before."""

    def patience(self) -> serving.CallerPatience:
        patience = serving.CallerPatience()
        for _ in range(30):
            patience.spent_s('r', USUAL_S)
            patience.spent_s('r', USUAL_S * 0.9)
            patience.spent_s('r', USUAL_S * 0.6)
        return patience

    @pytest.mark.parametrize('waits_s', [10, 9.5, 8.5, 12])
    def test_new_requests_have_spent_nothing(self, waits_s: float) -> None:
        assert not self.patience().spent_s('r', waits_s)

    def test_returning_ones_have_spent_what_they_lack(self) -> None:
        assert 2 <= self.patience().spent_s('r', 6) <= 4

    def test_routes_differ(self) -> None:
        assert not self.patience().spent_s('other', 1)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        patience = self.patience()
        patience.retain({'other'})
        assert not patience.spent_s('r', 6)
