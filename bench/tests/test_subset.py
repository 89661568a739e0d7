from bench import subset


class TestSubset:
    def test_ours_is_even_and_stable(self) -> None:
        arms = {
            figures['arm']: figures
            for figures in subset.run(
                seed=1, nodes=120, runners=240, pools=5, zones=5, removals=1
            )
        }
        ours = arms['lentilspool']
        assert 4 * float(str(ours['coverage_deviation'])) <= 1
        assert float(str(ours['change_ratio'])) <= 2
        assert float(str(arms['random_subset']['change_ratio'])) > 2
        views = arms['lentilspool_own_views']
        assert 4 * float(str(views['coverage_deviation'])) <= 1
