import pytest

from bench import slow

_ENTRIES = 3
_RESERVE = 8
_REFILL = 3


class TestSlow:
    @pytest.mark.parametrize('scope', ('pool', 'endpoint'))
    def test_retries_are_bounded_and_goodput_returns(self, scope: str) -> None:
        arms = slow.run(
            seed=3, endpoints=3, scope=scope, stages=1, baselines=False
        )
        ours = [arm for arm in arms if arm['arm'] == 'lentilspool']
        assert [arm['fault'] for arm in ours] == ['slow', 'fail']
        for arm in ours:
            assert arm['recovered']
            requests = int(str(arm['requests']))
            per_request = float(str(arm['attempts_per_request']))
            retried = requests * (per_request - 1)
            budget = requests / 10
            if scope == 'endpoint':
                budget += _ENTRIES * (_RESERVE + _REFILL)
            assert retried <= budget
