"""Tests of the time limits of calls to the store."""

import pytest

from lentilspool import serving

LIMIT_S = 1.5


class TestStorePatience:
    @pytest.mark.parametrize(
        ('calls', 'factor'),
        [
            ((), 1),
            (((1.5, False),), 2),
            (((1.5, False), (3, False)), 4),
            (((1.5, False), (3, False), (6, False)), 4),
            # A late answer keeps the longer limit, a prompt one does not.
            (((1.5, False), (2.5, True)), 2),
            (((1.5, False), (2.5, True), (0.1, True)), 1),
            # A watch that ended early.
            (((1.5, False), (-3, True)), 2),
        ],
    )
    def test_limit_grows_until_the_store_answers_in_time(
        self, calls: tuple[tuple[float, bool], ...], factor: int
    ) -> None:
        patience = serving.StorePatience()
        for late_s, ended in calls:
            patience.record(late_s, LIMIT_S, ended=ended)
        assert patience.factor == factor
        assert patience.calls == len(calls)
