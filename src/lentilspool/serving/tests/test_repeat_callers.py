"""Tests of detecting requests that callers repeat after a refusal."""

import pytest

from lentilspool import serving

USUAL_S = 10.0


class TestRepeatCallerDetector:
    """Some requests of a burst were refused before and are repeated.

    Taken for new ones, they would displace requests that can be on time.
    """

    def patience(self) -> serving.RepeatCallerDetector:
        patience = serving.RepeatCallerDetector()
        for _ in range(30):
            patience.earlier_wait_s('r', USUAL_S)
            patience.earlier_wait_s('r', USUAL_S * 0.9)
            patience.earlier_wait_s('r', USUAL_S * 0.6)
        return patience

    @pytest.mark.parametrize('waits_s', [10, 9.5, 8.5, 12])
    def test_new_request_has_not_waited_before(self, waits_s: float) -> None:
        assert not self.patience().earlier_wait_s('r', waits_s)

    def test_repeated_request_has_waited_before(self) -> None:
        assert 2 <= self.patience().earlier_wait_s('r', 6) <= 4

    def test_waits_are_learned_per_route(self) -> None:
        assert not self.patience().earlier_wait_s('other', 1)

    def test_removed_route_is_forgotten(self) -> None:
        patience = self.patience()
        patience.retain({'other'})
        assert not patience.earlier_wait_s('r', 6)
