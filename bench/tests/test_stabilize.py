from bench import stabilize


class TestStabilize:
    def test_ours_recovers_within_its_bounds(self) -> None:
        ways = {
            figures['arm']: figures
            for figures in stabilize.run(seed=1, entries=1, sidecars=10)
        }
        ours = ways['lentilspool']
        assert float(str(ours['seconds_max'])) <= 30 + 10 + 5
        assert ours['old_accepted'] == 0
        second = ways['second_chance']
        assert float(str(second['seconds_max'])) <= 2 * 3 + 1
