import dataclasses
from typing import Any

import hypothesis
from hypothesis import strategies

from lentilspool import membership

_LIMITS = membership.LeaseLimits(max_lease_s=10, retention_s=5)
_FULL = membership.Heartbeat(
    process='a',
    incarnation=2,
    sequence=5,
    lease_ms=3000,
    zone='z1',
    pool='p',
    address='127.0.0.1',
    port=1,
)


def _heartbeat(**fields: Any) -> membership.Heartbeat:
    return dataclasses.replace(_FULL, **fields)


def _compact(**fields: Any) -> membership.Heartbeat:
    return _heartbeat(zone='', pool='', address='', port=0, **fields)


def _table() -> membership.LeaseTable:
    table = membership.LeaseTable(_LIMITS)
    table.renew(_FULL, 0)
    return table


class TestRenew:
    def test_outdated_or_incomplete_heartbeat_is_refused(self) -> None:
        cases = (
            (_heartbeat(incarnation=1, sequence=9), 'old_incarnation'),
            (_heartbeat(sequence=5), 'old_sequence'),
            (_heartbeat(sequence=4), 'old_sequence'),
            (_compact(incarnation=3), 'incomplete'),
            (_compact(process='b'), 'incomplete'),
        )
        for heartbeat, reason in cases:
            answer = _table().renew(heartbeat, 1)
            assert isinstance(answer, membership.Refused)
            assert answer.reason.value == reason

    def test_compact_heartbeat_keeps_constant_fields(self) -> None:
        answer = _table().renew(_compact(sequence=6, queued=4), 1)
        assert isinstance(answer, membership.Renewed)
        assert answer.member.address == '127.0.0.1'
        assert answer.member.queued == 4
        assert not answer.joined

    def test_new_incarnation_joins_and_old_one_is_refused(self) -> None:
        table = _table()
        answer = table.renew(_heartbeat(incarnation=3, sequence=1), 1)
        assert isinstance(answer, membership.Renewed)
        assert answer.joined
        late = table.renew(_heartbeat(sequence=99), 2)
        assert isinstance(late, membership.Refused)

    def test_old_incarnation_is_refused_after_lease_end(self) -> None:
        late = _table().renew(_heartbeat(incarnation=1), 4)
        assert isinstance(late, membership.Refused)

    def test_older_heartbeat_does_not_undo_leaving(self) -> None:
        table = _table()
        table.renew(_heartbeat(sequence=7, leaving=True), 1)
        late = table.renew(_heartbeat(sequence=6), 1)
        assert isinstance(late, membership.Refused)
        member = table.live_member('a', 1)
        assert member is not None
        assert member.leaving
        fresh = table.renew(_heartbeat(incarnation=3, sequence=1), 1)
        assert isinstance(fresh, membership.Renewed)
        assert not fresh.member.leaving

    def test_row_that_refuses_live_sender_expires(self) -> None:
        table = membership.LeaseTable(_LIMITS)
        table.renew(_heartbeat(incarnation=9, lease_ms=10000), 0)
        for now in (1, 2, 3, 4):
            table.renew(_heartbeat(sequence=10 + now), now)
        assert table.live_member('a', 3.5)
        assert table.live_member('a', 4) is None

    def test_lease_length_is_bounded(self) -> None:
        table = membership.LeaseTable(_LIMITS)
        table.renew(_heartbeat(lease_ms=10**9), 0)
        assert table.live_member('a', 9.9)
        assert table.live_member('a', 10) is None


class TestEnd:
    def test_answer_extends_only_live_lease_of_same_incarnation(self) -> None:
        table = _table()
        assert table.extend('a', 2, 2.5)
        assert table.live_member('a', 5)
        assert not table.extend('a', 1, 5)
        assert not table.extend('a', 2, 6)
        assert table.live_member('a', 6) is None

    def test_same_incarnation_rejoins_after_lease_end(self) -> None:
        table = _table()
        table.end('a', 1)
        assert not table.live_members('p', 1)
        answer = table.renew(_compact(sequence=6), 2)
        assert isinstance(answer, membership.Renewed)
        assert answer.joined
        assert table.live_members('p', 2)

    def test_sweep_reports_expiry_once_and_removes_row_later(self) -> None:
        table = _table()
        generation = table.generation
        assert not table.sweep(2.9)
        assert table.generation == generation
        assert [member.name for member in table.sweep(3)] == ['a']
        assert table.generation > generation
        assert not table.sweep(7.9)
        assert len(table) == 1
        assert not table.sweep(8)
        assert not len(table)


class TestSelfStabilization:
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        ends_at=strategies.floats(-1e9, 1e12, allow_nan=False),
        incarnation=strategies.sampled_from((0, 2, 2**62)),
        sequence=strategies.sampled_from((0, 6, 2**62)),
        name=strategies.sampled_from(('a', 'other')),
        leaving=strategies.booleans(),
        beat_s=strategies.floats(0.2, 2.5),
    )
    def test_corrupted_row_is_corrected_in_bounded_time(
        self,
        ends_at: float,
        incarnation: int,
        sequence: int,
        name: str,
        leaving: bool,
        beat_s: float,
    ) -> None:
        table = _table()
        row = next(iter(table))
        corrupted = dataclasses.replace(
            row.member,
            name=name,
            incarnation=incarnation,
            sequence=sequence,
            leaving=leaving,
            pool='foreign',
            renewed_at=ends_at,
        )
        table.replace_rows({'a': membership.Lease(corrupted, ends_at)})
        now = 0.0
        number = 5
        bound_s = _LIMITS.max_lease_s + _LIMITS.retention_s + 2 * beat_s
        while now <= bound_s:
            now += beat_s
            number += 1
            table.sweep(now)
            table.renew(_heartbeat(sequence=number), now)
        row = next(iter(table))
        assert row.member.name == 'a'
        assert row.member.incarnation == 2
        assert row.member.pool == 'p'
        assert not row.member.leaving
        assert table.live_members('p', now)
