from bench import decide


class TestDecide:
    def test_yields_every_decision_size_and_growth(self) -> None:
        arms = list(decide.run(calls=3))
        assert len(arms) == 3 * 5 + 5
        assert all(float(str(arm['microseconds'])) > 0 for arm in arms[:15])
        assert {arm['linear_growth'] for arm in arms[15:]} == {64}
