"""Smoke test of the poison experiment: its bounds."""

import pytest

from bench import poison


class TestPoison:
    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_two_endpoints_and_no_innocent(self, seed: int) -> None:
        arms = {
            str(figures['arm']): figures
            for figures in poison.run(seed=seed, innocents=300)
        }
        ours = arms['lentilspool']
        assert int(str(ours['endpoints_killed'])) <= 2
        assert ours['innocent_completed'] == 1
        assert ours['refused_after_clearing'] == 0
        assert ours['poison_answers'] == 20
        assert int(str(arms['no_quarantine']['endpoints_killed'])) > 2
