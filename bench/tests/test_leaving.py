from bench import leaving


class TestLeaving:
    def test_entries_stop_within_two_seconds(self) -> None:
        arms = {
            figures['arm']: figures
            for figures in leaving.run(
                seed=1, rounds=1, entries=6, sidecars=3, list_lag_s=12
            )
        }
        ours = arms['lentilspool']
        assert float(str(ours['seconds_max'])) <= 2
        assert ours['cut_off'] == 0
        by_list = arms['host_list_only']
        assert float(str(by_list['seconds_max'])) > 10
