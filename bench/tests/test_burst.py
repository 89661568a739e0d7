"""Small runs of the burst experiment."""

from bench import burst


class TestBurst:
    def test_arms_stay_below_the_bound_and_ours_is_ahead(self) -> None:
        lines = list(burst.run(seed=1, user='clachan', length=16))
        reached = {
            str(line['arm']): float(str(line['attainment_of_bound']))
            for line in lines
        }
        assert max(reached.values()) == reached['lentilspool'] <= 1
        ours = lines[-1]
        assert float(str(ours['wasted_spend'])) <= 0.03

    def test_same_seed_gives_the_same_figures(self) -> None:
        first = list(burst.run(seed=2, user='nevesta', length=8, stages=3))
        again = list(burst.run(seed=2, user='nevesta', length=8, stages=3))
        assert first == again
