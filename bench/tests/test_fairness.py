"""Small runs of the fairness experiment."""

from bench import fairness


class TestFairness:
    def test_small_teams_keep_what_they_have_alone(self) -> None:
        lines = list(fairness.run(seed=1, teams=5, endpoints=4, length=12))
        worst = {
            str(line['arm']): float(str(line['worst_small_team']))
            for line in lines
        }
        assert worst['lentilspool'] > worst['no_admission']
        assert worst['lentilspool'] > worst['queue_length']

    def test_same_seed_gives_the_same_figures(self) -> None:
        first = list(fairness.run(seed=2, teams=4, endpoints=2, length=6))
        again = list(fairness.run(seed=2, teams=4, endpoints=2, length=6))
        assert first == again
