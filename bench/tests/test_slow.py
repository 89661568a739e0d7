import pytest

from bench import slow


class TestSlow:
    @pytest.mark.parametrize('scope', ('pool', 'endpoint'))
    def test_retries_are_bounded_and_goodput_returns(self, scope: str) -> None:
        arms = slow.run(
            seed=3, endpoints=3, scope=scope, stages=1, baselines=False
        )
        ours = [arm for arm in arms if arm['arm'] == 'lentilspool']
        assert [arm['fault'] for arm in ours] == ['slow', 'fail']
        for arm in ours:
            assert float(str(arm['attempts_per_request'])) * 10 <= 11
            assert arm['recovered']
