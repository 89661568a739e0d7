import hypothesis
from hypothesis import strategies as st

from lentilspool import retries


def _health_of_one_connection() -> retries.ConnectionHealth:
    health = retries.ConnectionHealth()
    health.opened(1, 0)
    return health


class TestConnectionHealth:
    def test_without_a_connection_one_is_opened(self) -> None:
        health = retries.ConnectionHealth()
        assert health.choose(0) == retries.OpenConnection()

    def test_recently_active_connection_is_used_and_an_idle_one_probed(
        self,
    ) -> None:
        health = _health_of_one_connection()
        assert health.choose(0.5) == retries.UseConnection(1)
        assert health.choose(10) == retries.Probe(1)
        health.probed(1, 10)
        assert health.choose(10) == retries.OpenConnection()
        health.progressed(1, 10.01)
        assert health.choose(10.1) == retries.UseConnection(1)

    def test_first_silent_connection_does_not_fail_the_endpoint(self) -> None:
        health = _health_of_one_connection()
        health.sent(1, 0.1)
        assert health.connections_to_probe(0.5) == (1,)
        health.probed(1, 0.5)
        assert health.check(0.7) == retries.RetiredConnections((), False)
        assert health.check(0.9) == retries.RetiredConnections((1,), False)
        assert health.choose(0.9) == retries.OpenConnection()

    def test_long_call_is_not_retired_while_probes_are_answered(self) -> None:
        health = _health_of_one_connection()
        health.sent(1, 0)
        for tick in range(1, 100):
            now = tick / 10
            assert not health.check(now).connections
            for number in health.connections_to_probe(now):
                health.probed(number, now)
                health.progressed(number, now + 0.001)
        health.answered(1, 10)
        assert not health.connections_to_probe(100)

    def test_pause_of_this_process_does_not_count_as_silence(self) -> None:
        health = _health_of_one_connection()
        health.sent(1, 0)
        health.probed(1, 0.3)
        health.restart_waits(9)
        assert health.check(9.5) == retries.RetiredConnections((), False)
        assert health.check(9.9) == retries.RetiredConnections((1,), False)

    def test_second_silent_connection_fails_the_endpoint_if_opened_later(
        self,
    ) -> None:
        health = _health_of_one_connection()
        health.opened(2, 0)
        for number in (1, 2):
            health.sent(number, 0)
            health.probed(number, 0)
        assert not health.check(1).endpoint_silent
        health.opened(3, 1.1)
        health.sent(3, 1.1)
        health.probed(3, 1.2)
        assert health.check(2).endpoint_silent

    def test_silent_connection_opened_earlier_does_not_fail_the_endpoint(
        self,
    ) -> None:
        health = _health_of_one_connection()
        health.opened(2, 0)
        health.sent(1, 0)
        health.probed(1, 0)
        assert health.check(1).connections == (1,)
        health.sent(2, 1)
        health.probed(2, 1)
        assert health.check(2) == retries.RetiredConnections((2,), False)

    def test_answer_on_a_new_connection_clears_the_suspicion(self) -> None:
        health = _health_of_one_connection()
        health.sent(1, 0)
        health.probed(1, 0)
        health.check(1)
        health.opened(2, 1.1)
        health.sent(2, 1.1)
        health.answered(2, 1.2)
        health.sent(2, 5)
        health.probed(2, 5)
        assert health.check(6) == retries.RetiredConnections((2,), False)

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
    def test_chosen_connection_always_made_recent_progress(
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
            for retired in health.check(now).connections:
                assert now - progress[retired] > 1 / 2
            chosen = health.choose(now)
            if isinstance(chosen, retries.UseConnection):
                assert chosen.connection in health.connections
                assert now - progress[chosen.connection] <= 1
