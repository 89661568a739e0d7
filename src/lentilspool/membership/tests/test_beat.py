import pytest

from lentilspool import membership

_TEMPLATE = membership.Heartbeat(
    's', 1, 0, zone='z1', pool='p', address='127.0.0.1', port=1
)
_LIMITS = membership.HeartbeatLimits()


def _heartbeats_to_a() -> membership.HeartbeatScheduler:
    beat = membership.HeartbeatScheduler(_TEMPLATE, _LIMITS)
    beat.add_peer('a')
    return beat


def _make(
    beat: membership.HeartbeatScheduler, now: float
) -> membership.Heartbeat:
    return beat.next_heartbeat(
        'a', now, membership.ReportedLoad(), membership.ActiveConfig(3)
    )


class TestInterval:
    @pytest.mark.parametrize(
        ('connections', 'expected_s'), [(3, 1), (100, 6), (10000, 10)]
    )
    def test_grows_with_connections_between_its_bounds(
        self, connections: int, expected_s: float
    ) -> None:
        assert membership.interval_s(connections, _LIMITS) == expected_s

    def test_peer_can_request_longer_interval(self) -> None:
        beat = _heartbeats_to_a()
        beat.add_peer('a', requested_interval_s=4)
        assert beat.interval_s('a') == 4
        assert _make(beat, 0).lease_ms == 12000
        assert beat.lease_s == 12


class TestBeat:
    def test_first_and_every_fourth_carry_all_fields(self) -> None:
        beat = _heartbeats_to_a()
        compact = [_make(beat, now).compact for now in range(6)]
        assert compact == [False, True, True, True, False, True]

    def test_answer_postpones_heartbeat_for_limited_time(self) -> None:
        beat = _heartbeats_to_a()
        assert beat.due(0) == ('a',)
        _make(beat, 0)
        assert not beat.due(0.75)
        beat.record_answer('a', 0.75)
        assert not beat.due(1.5)
        assert beat.due(1.75) == ('a',)

    def test_answer_does_not_postpone_first_heartbeat(self) -> None:
        beat = _heartbeats_to_a()
        beat.record_answer('a', 0)
        assert beat.due(0.1) == ('a',)

    def test_removed_peer_is_not_due(self) -> None:
        beat = _heartbeats_to_a()
        beat.remove('a')
        assert not beat.due(0)
        assert not beat.peers
