"""Small run of the experiment ``config``: invariants, not timings."""

from bench import config


class TestConfig:
    def test_small_fleet(self) -> None:
        arms = {
            figures['arm']: figures
            for figures in config.run(seed=3, processes=45, patches=2)
        }
        ours = [held for arm, held in arms.items() if 'lentil' in str(arm)]
        assert len(ours) == 4
        for figures in ours:
            assert figures['reverts'] == 0
            assert figures['split_verdicts'] == 0
            assert figures['not_reached'] == 0
            assert figures['ready'] == 45
        assert {'one-push-no-pull', 'every-process-watches'} <= arms.keys()
