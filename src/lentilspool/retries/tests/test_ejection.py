import random

import hypothesis
from hypothesis import strategies as st

from lentilspool import retries


def _ejection_of_pool(size: int) -> retries.OutlierEjection:
    ejection = retries.OutlierEjection()
    ejection.set_endpoints(str(number) for number in range(size))
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
    def test_failing_endpoint_is_ejected_and_then_slowly_restored(self) -> None:
        ejection = _ejection_of_pool(5)
        for _ in range(20):
            for name in '1234':
                _record(ejection, name, 0)
            _record(ejection, '0', 0, succeeded=False)
        assert ejection.ejected(1 / 2) == ('0',)
        assert ejection.ejection_status('0', 1 / 2).ejected
        weights = [
            ejection.ejection_status('0', now).weight for now in (1.01, 2, 4)
        ]
        assert weights == sorted(weights)
        assert weights[0] * 3 < 1
        assert weights[-1] == 1

    def test_changes_include_an_endpoint_until_its_full_weight_was_returned(
        self,
    ) -> None:
        ejection = _ejection_of_pool(5)
        assert not ejection.status_changes(0)
        for _ in range(5):
            _record(ejection, '0', 0, succeeded=False)
        for now, ejected in ((0, True), (1, False), (9, False)):
            returned = ejection.status_changes(now)
            assert returned == {'0': ejection.ejection_status('0', now)}
            assert returned['0'].ejected == ejected
        assert returned['0'].weight == 1
        assert not ejection.status_changes(10)

    def test_second_ejection_lasts_longer(self) -> None:
        ejection = _ejection_of_pool(5)
        for _ in range(10):
            _record(ejection, '0', 0, succeeded=False)
        _record(ejection, '0', 1.1, succeeded=False)
        assert _record(ejection, '0', 1.1, succeeded=False)
        assert ejection.ejected(1.1 + 1.4) == ('0',)

    def test_slow_endpoint_is_ejected(self) -> None:
        ejection = _ejection_of_pool(5)
        for _ in range(20):
            for name in '1234':
                _record(ejection, name, 0)
            _record(ejection, '0', 0, latency_s=1)
        assert ejection.ejected(0) == ('0',)

    def test_failing_or_slow_pool_ejects_no_more_than_the_maximum(self) -> None:
        for succeeded, latency_s in ((False, 0.1), (True, 1.0)):
            ejection = _ejection_of_pool(10)
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
            assert len(ejection.ejected(0)) <= ejection.max_ejected

    def test_failing_endpoints_beyond_the_maximum_stay_in_use(self) -> None:
        ejection = _ejection_of_pool(10)
        for _ in range(20):
            for name in map(str, range(10)):
                _record(ejection, name, 0, succeeded=name > '3')
        assert ejection.max_ejected == 3
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
    def test_never_ejects_more_than_the_maximum(
        self,
        size: int,
        steps: list[tuple[int, bool, float, float]],
    ) -> None:
        ejection = _ejection_of_pool(size)
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
            assert ejected <= ejection.max_ejected
            assert ejected < max(size, 1)
            assert 0 <= ejection.ejection_status(str(number), now).weight <= 1


class TestPoolBreaker:
    def _admitted(
        self, breaker: retries.PoolBreaker, start: float, *, pool_works: bool
    ) -> int:
        rng = random.Random(1)
        admitted = 0
        for step in range(1000):
            now = start + step / 100
            if isinstance(breaker.admit(now, rng), retries.Admitted):
                admitted += 1
                breaker.record(succeeded=pool_works, now=now)
        return admitted

    def test_working_pool_gets_all_attempts(self) -> None:
        breaker = retries.PoolBreaker()
        assert self._admitted(breaker, 0, pool_works=True) == 1000

    def test_failed_pool_gets_probes_until_it_recovers(self) -> None:
        breaker = retries.PoolBreaker()
        assert self._admitted(breaker, 0, pool_works=False) < 250
        assert self._admitted(breaker, 10, pool_works=True) > 900

    def test_refusal_has_a_retry_after_time(self) -> None:
        breaker = retries.PoolBreaker()
        self._admitted(breaker, 0, pool_works=False)
        rng = random.Random(1)
        answers = [breaker.admit(10, rng) for _ in range(100)]
        refused = [
            refusal
            for refusal in answers
            if isinstance(refusal, retries.Refused)
        ]
        assert refused
        assert all(refusal.retry_after_s >= 1 for refusal in refused)
