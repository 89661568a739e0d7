"""Table of members in soft state: each row expires with its lease."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from lentilspool.membership import _answers, _member

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLimits:
    """Bounds on leases, in seconds of the lease holder's own clock."""

    max_lease_s: float = 30.0
    """Longest lease granted, even if a heartbeat requests a longer one."""

    retention_s: float = 10.0
    """Time that a row is kept after its lease ended.

    Until then heartbeats of older incarnations are recognized.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Row of the lease table."""

    member: _member.Member
    """Member as last recorded."""

    ends_at: float
    """Time at which the lease ends; the row is removed later."""


class LeaseTable:
    """Members by name; heartbeats renew their leases, time ends them.

    Call ``renew`` with each heartbeat and ``sweep`` from a periodic task.
    Nothing in a row is trusted for longer than ``max_lease_s`` plus
    ``retention_s``: ``sweep`` shortens longer leases, so the table is
    self-stabilizing and recovers from any corrupted content. A refused
    heartbeat limits the row's lease to the length that it requested, so
    a corrupted row cannot refuse a live member for longer.
    """

    def __init__(self, limits: LeaseLimits) -> None:
        self._limits = limits
        self._rows: dict[str, Lease] = {}
        self._generation = 0
        self._ended_names: set[str] = set()
        self._names_by_pool: dict[str, tuple[str, ...]] = {}
        self._names_generation = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Lease]:
        return iter(tuple(self._rows.values()))

    @property
    def generation(self) -> int:
        """Counter that grows when the set of usable members may change."""
        return self._generation

    def renew(
        self, heartbeat: _member.Heartbeat, now: float
    ) -> _answers.Answer:
        """Grant or renew the sender's lease unless the heartbeat is refused."""
        row = self._rows.get(heartbeat.process)
        reason = _refusal_reason(heartbeat, row)
        lease_s = min(heartbeat.lease_ms / _MS_PER_S, self._limits.max_lease_s)
        if reason is not None:
            self._shorten_lease(heartbeat.process, now + lease_s)
            return _answers.Refused(heartbeat.process, reason)
        member = _merge(heartbeat, row, now)
        joined = row is None or _is_new_member(row, member, now)
        began_leaving = member.leaving and (
            row is None or not row.member.leaving
        )
        lease_s = min(heartbeat.lease_ms / _MS_PER_S, self._limits.max_lease_s)
        self._rows[member.name] = Lease(member, now + lease_s)
        self._ended_names.discard(member.name)
        changed = row is not None and row.member.leaving != member.leaving
        self._generation += joined or changed
        return _answers.Renewed(
            member, joined=joined, began_leaving=began_leaving
        )

    def extend(self, name: str, incarnation: int, now: float) -> bool:
        """Renew a live lease on an answer of the member.

        Return whether the lease was live and of this incarnation.
        """
        row = self._rows.get(name)
        if row is None or row.member.incarnation != incarnation:
            return False
        if row.ends_at <= now:
            return False
        lease_s = row.ends_at - row.member.renewed_at
        member = dataclasses.replace(row.member, renewed_at=now)
        self._rows[name] = Lease(
            member, now + min(lease_s, self._limits.max_lease_s)
        )
        return True

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Mark a draining member as leaving; return whether that is new."""
        row = self._rows.get(name)
        if row is None or row.member.incarnation != incarnation:
            return False
        if row.member.leaving:
            return False
        member = dataclasses.replace(row.member, leaving=True)
        self._rows[name] = dataclasses.replace(row, member=member)
        self._generation += 1
        return True

    def live_member(self, name: str, now: float) -> _member.Member | None:
        """Return the member if its lease is live."""
        row = self._rows.get(name)
        if row is None or row.ends_at <= now:
            return None
        return row.member

    def live_members(self, pool: str, now: float) -> tuple[_member.Member, ...]:
        """Return the members of the pool whose leases are live."""
        if self._names_generation != self._generation:
            self._names_by_pool = self._group_by_pool()
            self._names_generation = self._generation
        members = (
            self.live_member(name, now)
            for name in self._names_by_pool.get(pool, ())
        )
        return tuple(member for member in members if member is not None)

    def end(self, name: str, now: float) -> None:
        """End the lease now, for example after the connection broke."""
        row = self._rows.get(name)
        if row is not None and row.ends_at > now:
            self._rows[name] = dataclasses.replace(row, ends_at=now)
            self._ended_names.add(name)
            self._generation += 1

    def end_all(self, now: float) -> None:
        """End every lease, for example after a pause, but keep the rows."""
        for name in tuple(self._rows):
            self.end(name, now)

    def sweep(self, now: float) -> tuple[_member.Member, ...]:
        """Repair and remove rows; return the members that expired.

        Each expiry is returned once. Leases ended by ``end`` are not.
        """
        expired = []
        for name, lease in tuple(self._rows.items()):
            if lease.ends_at > now:
                self._repair_row(name, lease, now)
            elif name not in self._ended_names:
                expired.append(lease.member)
                self._ended_names.add(name)
            if lease.ends_at + self._limits.retention_s <= now:
                self._rows.pop(name)
                self._ended_names.discard(name)
        self._generation += bool(expired)
        return tuple(expired)

    def increment_generation(self) -> None:
        """Increment ``generation`` for a change made outside the table."""
        self._generation += 1

    def replace_rows(self, rows: dict[str, Lease]) -> None:
        """Replace all rows without any check, for fault injection."""
        self._rows = dict(rows)
        self._generation += 1

    def _repair_row(self, name: str, lease: Lease, now: float) -> None:
        """Correct a row whose lease is too long or whose name is wrong."""
        latest = now + self._limits.max_lease_s
        if lease.ends_at > latest or lease.member.name != name:
            member = dataclasses.replace(
                lease.member,
                name=name,
                renewed_at=min(lease.member.renewed_at, now),
            )
            self._rows[name] = Lease(member, min(lease.ends_at, latest))
            self._generation += 1

    def _shorten_lease(self, name: str, latest: float) -> None:
        """Let the row's lease end at ``latest`` at the latest.

        Called for a refused heartbeat, because the row may be wrong
        instead of the heartbeat. An accepted heartbeat renews it as usual.
        """
        row = self._rows.get(name)
        if row is not None and row.ends_at > latest:
            self._rows[name] = dataclasses.replace(row, ends_at=latest)

    def _group_by_pool(self) -> dict[str, tuple[str, ...]]:
        pools: dict[str, tuple[str, ...]] = {}
        for name, lease in self._rows.items():
            pool = lease.member.pool
            pools[pool] = (*pools.get(pool, ()), name)
        return pools


def _refusal_reason(
    heartbeat: _member.Heartbeat, row: Lease | None
) -> _answers.RefusalReason | None:
    if row is None:
        incomplete = _answers.RefusalReason.incomplete
        return incomplete if heartbeat.compact else None
    if heartbeat.incarnation < row.member.incarnation:
        return _answers.RefusalReason.old_incarnation
    if heartbeat.incarnation > row.member.incarnation:
        incomplete = _answers.RefusalReason.incomplete
        return incomplete if heartbeat.compact else None
    if heartbeat.sequence <= row.member.sequence:
        return _answers.RefusalReason.old_sequence
    return None


def _is_new_member(row: Lease, member: _member.Member, now: float) -> bool:
    return (
        row.ends_at <= now
        or row.member.incarnation != member.incarnation
        or row.member.pool != member.pool
    )


def _merge(
    heartbeat: _member.Heartbeat, row: Lease | None, now: float
) -> _member.Member:
    """Return the member with the heartbeat's fields.

    A compact heartbeat leaves the constant fields as recorded.
    """
    if row is not None and heartbeat.compact:
        return dataclasses.replace(
            row.member,
            sequence=heartbeat.sequence,
            leaving=heartbeat.leaving,
            config=heartbeat.config,
            in_flight=heartbeat.in_flight,
            queued=heartbeat.queued,
            limit=heartbeat.limit,
            renewed_at=now,
            suspects=heartbeat.suspects,
        )
    role = _member.Role.sidecar if heartbeat.pool else _member.Role.entry
    return _member.Member(
        name=heartbeat.process,
        address=heartbeat.address,
        port=heartbeat.port,
        zone=heartbeat.zone,
        pool=heartbeat.pool,
        role=role,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        leaving=heartbeat.leaving,
        config=heartbeat.config,
        in_flight=heartbeat.in_flight,
        queued=heartbeat.queued,
        limit=heartbeat.limit,
        renewed_at=now,
        suspects=heartbeat.suspects,
    )
