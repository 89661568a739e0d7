"""Heartbeat traffic of many connections stays within the byte budget."""

import pytest

from lentilspool import membership

_LIMITS = membership.HeartbeatLimits(min_interval_s=0.5)
_SECONDS = 60
_TICKS_PER_S = 20


def _sidecar(name: str) -> membership.HeartbeatScheduler:
    beat = membership.HeartbeatScheduler(
        membership.Heartbeat(name, 1, 0), _LIMITS
    )
    beat.add_peer('entry')
    return beat


def _bytes_per_s(beats: list[membership.HeartbeatScheduler]) -> float:
    """Return the heartbeat bytes a second that one entry receives."""
    sent = 0
    for tick in range(_SECONDS * _TICKS_PER_S):
        now = tick / _TICKS_PER_S
        for beat in beats:
            if beat.due(now):
                beat.next_heartbeat(
                    'entry',
                    now,
                    membership.ReportedLoad(),
                    membership.ActiveConfig(1),
                )
                sent += 1
    return sent * _LIMITS.heartbeat_bytes / _SECONDS


class TestBudget:
    @pytest.mark.parametrize('connections', [3, 24, 60, 100, 160])
    def test_requested_intervals_limit_received_bytes(
        self, connections: int
    ) -> None:
        beats = [_sidecar(f's{index}') for index in range(connections)]
        requested_s = membership.interval_s(connections, _LIMITS)
        for beat in beats:
            beat.add_peer('entry', requested_s)
        first_heartbeats = connections * _LIMITS.heartbeat_bytes / _SECONDS
        assert (
            _bytes_per_s(beats) - first_heartbeats <= _LIMITS.budget_bytes_per_s
        )

    def test_few_connections_use_shortest_interval(self) -> None:
        interval_s = membership.interval_s(4, _LIMITS)
        assert interval_s == _LIMITS.min_interval_s


class TestAnswers:
    def test_postpone_heartbeats_for_two_intervals_at_most(self) -> None:
        beat = _sidecar('s')
        sent_count = 0
        for tick in range(10 * _TICKS_PER_S):
            now = tick / _TICKS_PER_S
            if beat.due(now):
                beat.next_heartbeat(
                    'entry',
                    now,
                    membership.ReportedLoad(),
                    membership.ActiveConfig(1),
                )
                sent_count += 1
            beat.record_answer('entry', now)
        assert sent_count == 10
