"""Small runs of the spend experiment."""

from typing import Final

from bench import spend

_UNUSED_TARGET: Final = 0.02
_ATTAINMENT_TOLERANCE: Final = 0.01


class TestSpend:
    def test_credits_are_used_and_attainment_is_kept(self) -> None:
        arms = {
            str(line['arm']): line
            for line in spend.run(seed=1, rate=8, restarts=0)
        }
        ours = arms['lentilspool']
        assert float(str(ours['unused_credits'])) <= _UNUSED_TARGET
        assert not ours['short_days']
        unpaced = float(str(arms['unpaced']['attainment']))
        attainment = float(str(ours['attainment']))
        assert attainment >= unpaced - _ATTAINMENT_TOLERANCE

    def test_same_seed_gives_the_same_figures(self) -> None:
        first = list(spend.run(seed=2, rate=5))
        assert first == list(spend.run(seed=2, rate=5))
