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
        ('requests', 'ends_at'),
        [
            ((), 11),
            ((9.9,), 11),
            ((10.4,), 11),
            # Callers that connect late are served, not turned away.
            ((10.9,), 11.4),
            ((10.9, 11.3, 11.7), 12.2),
            # Callers that never notice do not hold up the stop.
            (tuple(10 + 0.4 * step for step in range(20)), 15),
        ],
    )
    def test_ends_when_callers_have_noticed(
        self, requests: tuple[float, ...], ends_at: float
    ) -> None:
        notice = membership.ReadinessNotice()
        notice.begin(10)
        for at in requests:
            notice.on_request(at)
        assert notice.ends_at() == pytest.approx(ends_at)
