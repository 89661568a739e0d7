import random

import hypothesis
from hypothesis import strategies as st

from lentilspool import retries


def _pool(size: int) -> retries.OutlierEjection:
    ejection = retries.OutlierEjection()
    ejection.retain(str(number) for number in range(size))
    return ejection


def _record(
    ejection: retries.OutlierEjection,
    name: str,
    now: float,
    *,
    succeeded: bool = True,
    latency_s: float = 0.1,
) -> bool:
    return ejection.record(
        name,
        succeeded=succeeded,
        latency_s=latency_s,
        now=now,
        rng=random.Random(1),
    )


class TestOutlierEjection:
    def test_ejects_a_failing_endpoint_and_returns_it_slowly(self) -> None:
        ejection = _pool(5)
        for _ in range(20):
            for name in '1234':
                _record(ejection, name, 0)
            _record(ejection, '0', 0, succeeded=False)
        assert ejection.ejected(1 / 2) == ('0',)
        assert ejection.verdict('0', 1 / 2).ejected
        weights = [ejection.verdict('0', now).weight for now in (1.01, 2, 4)]
        assert weights == sorted(weights)
        assert weights[0] * 3 < 1
        assert weights[-1] == 1

    def test_changes_tell_all_until_the_full_weight_was_told(self) -> None:
        ejection = _pool(5)
        assert not ejection.changes(0)
        for _ in range(5):
            _record(ejection, '0', 0, succeeded=False)
        for now, ejected in ((0, True), (1, False), (9, False)):
            told = ejection.changes(now)
            assert told == {'0': ejection.verdict('0', now)}
            assert told['0'].ejected == ejected
        assert told['0'].weight == 1
        assert not ejection.changes(10)

    def test_a_second_failure_ejects_for_longer(self) -> None:
        ejection = _pool(5)
        for _ in range(10):
            _record(ejection, '0', 0, succeeded=False)
        _record(ejection, '0', 1.1, succeeded=False)
        assert _record(ejection, '0', 1.1, succeeded=False)
        assert ejection.ejected(1.1 + 1.4) == ('0',)

    def test_ejects_a_slow_endpoint(self) -> None:
        ejection = _pool(5)
        for _ in range(20):
            for name in '1234':
                _record(ejection, name, 0)
            _record(ejection, '0', 0, latency_s=1)
        assert ejection.ejected(0) == ('0',)

    def test_failure_or_slowness_of_the_pool_ejects_nobody_more(self) -> None:
        for succeeded, latency_s in ((False, 0.1), (True, 1.0)):
            ejection = _pool(10)
            for turn in range(400):
                name = str(turn % 10)
                _record(ejection, name, 0)
            for turn in range(400):
                _record(
                    ejection,
                    str(turn % 10),
                    0,
                    succeeded=succeeded,
                    latency_s=latency_s,
                )
            assert len(ejection.ejected(0)) <= ejection.cap

    def test_more_failing_endpoints_than_the_cap_stay_in_use(self) -> None:
        ejection = _pool(10)
        for _ in range(20):
            for name in map(str, range(10)):
                _record(ejection, name, 0, succeeded=name > '3')
        assert ejection.cap == 3
        assert len(ejection.ejected(0)) == 3

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        size=st.integers(0, 12),
        steps=st.lists(
            st.tuples(
                st.integers(0, 11),
                st.booleans(),
                st.floats(0, 9),
                st.floats(0, 0.5),
            ),
            max_size=300,
        ),
    )
    def test_never_beyond_the_cap(
        self,
        size: int,
        steps: list[tuple[int, bool, float, float]],
    ) -> None:
        ejection = _pool(size)
        now = 0.0
        for number, succeeded, latency_s, pause_s in steps:
            now += pause_s
            _record(
                ejection,
                str(number),
                now,
                succeeded=succeeded,
                latency_s=latency_s,
            )
            ejected = len(ejection.ejected(now))
            assert ejected <= ejection.cap
            assert ejected < max(size, 1)
            assert 0 <= ejection.verdict(str(number), now).weight <= 1


class TestPoolBreaker:
    def _admitted(
        self, breaker: retries.PoolBreaker, start: float, *, works: bool
    ) -> int:
        rng = random.Random(1)
        admitted = 0
        for step in range(1000):
            now = start + step / 100
            if isinstance(breaker.admit(now, rng), retries.Admitted):
                admitted += 1
                breaker.record(succeeded=works, now=now)
        return admitted

    def test_admits_all_of_a_working_pool(self) -> None:
        breaker = retries.PoolBreaker()
        assert self._admitted(breaker, 0, works=True) == 1000

    def test_probes_a_failed_pool_and_opens_again(self) -> None:
        breaker = retries.PoolBreaker()
        assert self._admitted(breaker, 0, works=False) < 250
        assert self._admitted(breaker, 10, works=True) > 900

    def test_refusal_says_when_to_come_back(self) -> None:
        breaker = retries.PoolBreaker()
        self._admitted(breaker, 0, works=False)
        rng = random.Random(1)
        answers = [breaker.admit(10, rng) for _ in range(100)]
        refused = [
            seen for seen in answers if isinstance(seen, retries.Refused)
        ]
        assert refused
        assert all(seen.retry_after_s >= 1 for seen in refused)
