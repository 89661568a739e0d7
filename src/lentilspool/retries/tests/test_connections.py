import hypothesis
from hypothesis import strategies as st

from lentilspool import retries


def _health() -> retries.ConnectionHealth:
    health = retries.ConnectionHealth()
    health.opened(1, 0)
    return health


class TestConnectionHealth:
    def test_no_connection_opens_one(self) -> None:
        health = retries.ConnectionHealth()
        assert health.choose(0) == retries.OpenNew()

    def test_fresh_connection_is_used_and_an_idle_one_probed(self) -> None:
        health = _health()
        assert health.choose(0.5) == retries.Use(1)
        assert health.choose(10) == retries.Probe(1)
        health.probed(1, 10)
        assert health.choose(10) == retries.OpenNew()
        health.progressed(1, 10.01)
        assert health.choose(10.1) == retries.Use(1)

    def test_silent_connection_is_retired_but_not_the_endpoint(self) -> None:
        health = _health()
        health.sent(1, 0.1)
        assert health.to_probe(0.5) == (1,)
        health.probed(1, 0.5)
        assert health.check(0.7) == retries.Retired((), False)
        assert health.check(0.9) == retries.Retired((1,), False)
        assert health.choose(0.9) == retries.OpenNew()

    def test_long_call_survives_while_probes_are_answered(self) -> None:
        health = _health()
        health.sent(1, 0)
        for tick in range(1, 100):
            now = tick / 10
            assert not health.check(now).connections
            for number in health.to_probe(now):
                health.probed(number, now)
                health.progressed(number, now + 0.001)
        health.answered(1, 10)
        assert not health.to_probe(100)

    def test_a_pause_of_this_process_retires_nothing(self) -> None:
        health = _health()
        health.sent(1, 0)
        health.probed(1, 0.3)
        health.resumed(9)
        assert health.check(9.5) == retries.Retired((), False)
        assert health.check(9.9) == retries.Retired((1,), False)

    def test_only_a_connection_opened_later_judges_the_endpoint(self) -> None:
        health = _health()
        health.opened(2, 0)
        for number in (1, 2):
            health.sent(number, 0)
            health.probed(number, 0)
        assert not health.check(1).endpoint_silent
        health.opened(3, 1.1)
        health.sent(3, 1.1)
        health.probed(3, 1.2)
        assert health.check(2).endpoint_silent

    def test_an_older_connection_found_later_judges_nothing(self) -> None:
        health = _health()
        health.opened(2, 0)
        health.sent(1, 0)
        health.probed(1, 0)
        assert health.check(1).connections == (1,)
        health.sent(2, 1)
        health.probed(2, 1)
        assert health.check(2) == retries.Retired((2,), False)

    def test_a_fresh_answer_clears_the_endpoint(self) -> None:
        health = _health()
        health.sent(1, 0)
        health.probed(1, 0)
        health.check(1)
        health.opened(2, 1.1)
        health.sent(2, 1.1)
        health.answered(2, 1.2)
        health.sent(2, 5)
        health.probed(2, 5)
        assert health.check(6) == retries.Retired((2,), False)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(('sent', 'probed', 'answered', 'progressed')),
                st.integers(1, 3),
                st.floats(0, 1),
            ),
            max_size=60,
        )
    )
    def test_never_uses_one_without_recent_progress(
        self, steps: list[tuple[str, int, float]]
    ) -> None:
        health = retries.ConnectionHealth()
        progress = {}
        now = 0.0
        for number in (1, 2, 3):
            health.opened(number, now)
            progress[number] = now
        for step, number, pause_s in steps:
            now += pause_s
            getattr(health, step)(number, now)
            if step in {'answered', 'progressed'}:
                progress[number] = now
            for gone in health.check(now).connections:
                assert now - progress[gone] > 1 / 2
            chosen = health.choose(now)
            if isinstance(chosen, retries.Use):
                assert chosen.connection in health.connections
                assert now - progress[chosen.connection] <= 1
