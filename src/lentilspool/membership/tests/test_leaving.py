import random

import hypothesis
import pytest
from hypothesis import strategies

from lentilspool import membership

_LIMITS = membership.NoticeLimits(repeat_s=0.2, lease_s=3)


class TestLeavingNotice:
    def test_repeats_until_acknowledged(self) -> None:
        notice = membership.LeavingNotice(('a', 'b'), 0, _LIMITS)
        assert notice.due(0) == ('a', 'b')
        assert not notice.due(0.1)
        notice.acknowledge('a')
        assert notice.due(0.2) == ('b',)
        assert not notice.can_exit(0, 0.3)
        notice.acknowledge('b')
        assert notice.can_exit(0, 0.3)
        assert not notice.can_exit(1, 0.3)

    def test_done_when_longest_lease_has_ended(self) -> None:
        notice = membership.LeavingNotice(('a',), 0, _LIMITS)
        assert not notice.done(2.9)
        assert notice.done(3)
        assert not notice.due(3)
        assert notice.unacknowledged == ('a',)

    def test_holder_added_later_is_notified(self) -> None:
        notice = membership.LeavingNotice((), 0, _LIMITS)
        notice.add('c', 1)
        assert notice.due(1) == ('c',)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        loss=strategies.floats(0, 0.5), seed=strategies.integers(0, 1000)
    )
    def test_no_holder_considers_member_usable_after_done(
        self, loss: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        template = membership.Heartbeat(
            's', 1, 0, pool='p', address='127.0.0.1', port=1
        )
        beat = membership.HeartbeatScheduler(
            template, membership.HeartbeatLimits()
        )
        tables = {}
        for name in ('a', 'b', 'c'):
            beat.add_peer(name)
            tables[name] = membership.LeaseTable(membership.LeaseLimits())
            first = beat.next_heartbeat(
                name, 0, membership.ReportedLoad(), membership.ActiveConfig()
            )
            tables[name].renew(first, 0)
        notice = membership.LeavingNotice(
            beat.peers, 0, membership.NoticeLimits(lease_s=beat.lease_s)
        )
        now = 0.0
        while not notice.done(now):
            for name in notice.due(now):
                leaving_heartbeat = beat.next_heartbeat(
                    name,
                    now,
                    membership.ReportedLoad(),
                    membership.ActiveConfig(),
                    leaving=True,
                )
                received = rng.random() >= loss
                if received:
                    tables[name].renew(leaving_heartbeat, now)
                if received and rng.random() >= loss:
                    notice.acknowledge(name)
            now += 0.1
        for table in tables.values():
            member = table.live_member('s', now)
            assert member is None or member.leaving


class TestReadinessNotice:
    @pytest.mark.parametrize(
        ('requests', 'pause_s', 'ends_at'),
        [
            ((), 0, 1),
            ((0.4,), 0, 1),
            # Callers that connect late are served, not turned away.
            ((0.9,), 0, 1.4),
            ((0.9, 1.3, 1.7), 0, 2.2),
            # Callers that never notice do not hold up the stop.
            (tuple(0.4 * step for step in range(20)), 0, 5),
            # A process that stood still has taken no requests meanwhile.
            ((), 3, 4),
            ((3.2,), 3, 4),
            ((3.9,), 3, 4.4),
        ],
    )
    def test_ends_when_callers_have_noticed(
        self, requests: tuple[float, ...], pause_s: float, ends_at: float
    ) -> None:
        now = 10.0
        notice = membership.ReadinessNotice()
        notice.begin(now)
        due = [now + at for at in requests]
        wait_s = notice.wait_s(now) + pause_s
        while wait_s:
            now += wait_s
            while due and due[0] <= now:
                due.pop(0)
                notice.on_request()
            wait_s = notice.wait_s(now)
        assert now - 10 == pytest.approx(ends_at, abs=0.1)
