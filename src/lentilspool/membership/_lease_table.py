"""Soft table of members, each kept for as long as its lease."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from lentilspool.membership import _answers, _member

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLimits:
    """Bounds on leases, all in seconds of the holder's own clock."""

    max_lease_s: float = 30.0
    """Longest lease granted, whatever a heartbeat asks for."""

    memory_s: float = 10.0
    """Time after a lease's end until the incarnation is forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """One row of the table."""

    member: _member.Member
    """The member as last heard."""

    ends_at: float
    """Time at which the lease ends; the row is kept for longer."""


class LeaseTable:
    """Members by name, renewed by heartbeats and ended by time.

    Call ``renew`` with each heartbeat and ``sweep`` from a periodic task.
    Nothing in a row is trusted for longer than ``max_lease_s`` plus
    ``memory_s``: ``sweep`` shortens every end that lies further ahead, so
    the table recovers by itself from any content. A row that refuses its
    sender's heartbeats ends after one lease of theirs.
    """

    def __init__(self, limits: LeaseLimits) -> None:
        self._limits = limits
        self._rows: dict[str, Lease] = {}
        self._generation = 0
        self._ended: set[str] = set()
        self._pools: dict[str, tuple[str, ...]] = {}
        self._pools_generation = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Lease]:
        return iter(tuple(self._rows.values()))

    @property
    def generation(self) -> int:
        """Counter of changes to who may get new work."""
        return self._generation

    def renew(
        self, heartbeat: _member.Heartbeat, now: float
    ) -> _answers.Answer:
        """Grant or renew the lease of the heartbeat's sender."""
        held = self._rows.get(heartbeat.process)
        reason = _refusal(heartbeat, held)
        lease_s = min(heartbeat.lease_ms / _MS_PER_S, self._limits.max_lease_s)
        if reason is not None:
            self._shorten(heartbeat.process, now + lease_s)
            return _answers.Refused(heartbeat.process, reason)
        member = _merge(heartbeat, held, now)
        joined = held is None or _joins(held, member, now)
        left = member.leaving and (held is None or not held.member.leaving)
        lease_s = min(heartbeat.lease_ms / _MS_PER_S, self._limits.max_lease_s)
        self._rows[member.name] = Lease(member, now + lease_s)
        self._ended.discard(member.name)
        changed = held is not None and held.member.leaving != member.leaving
        self._generation += joined or changed
        return _answers.Renewed(member, joined=joined, left=left)

    def extend(self, name: str, incarnation: int, now: float) -> bool:
        """Renew a live lease by an answer of the member; tell if it was."""
        held = self._rows.get(name)
        if held is None or held.member.incarnation != incarnation:
            return False
        if held.ends_at <= now:
            return False
        lease_s = held.ends_at - held.member.heard_at
        member = dataclasses.replace(held.member, heard_at=now)
        self._rows[name] = Lease(
            member, now + min(lease_s, self._limits.max_lease_s)
        )
        return True

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Record a refusal by a draining member; tell if it was news."""
        held = self._rows.get(name)
        if held is None or held.member.incarnation != incarnation:
            return False
        if held.member.leaving:
            return False
        member = dataclasses.replace(held.member, leaving=True)
        self._rows[name] = dataclasses.replace(held, member=member)
        self._generation += 1
        return True

    def live(self, name: str, now: float) -> _member.Member | None:
        """Return the member if its lease has not ended."""
        held = self._rows.get(name)
        if held is None or held.ends_at <= now:
            return None
        return held.member

    def live_in(self, pool: str, now: float) -> tuple[_member.Member, ...]:
        """Return the members of the pool whose leases have not ended."""
        if self._pools_generation != self._generation:
            self._pools = self._by_pool()
            self._pools_generation = self._generation
        members = (self.live(name, now) for name in self._pools.get(pool, ()))
        return tuple(member for member in members if member is not None)

    def end(self, name: str, now: float) -> None:
        """End the lease now, as when the connection broke."""
        held = self._rows.get(name)
        if held is not None and held.ends_at > now:
            self._rows[name] = dataclasses.replace(held, ends_at=now)
            self._ended.add(name)
            self._generation += 1

    def end_all(self, now: float) -> None:
        """End every lease, as after a pause; incarnations are kept."""
        for name in tuple(self._rows):
            self.end(name, now)

    def sweep(self, now: float) -> tuple[_member.Member, ...]:
        """Bound and forget rows; return whose leases ran out since last."""
        ran_out = []
        for name, lease in tuple(self._rows.items()):
            if lease.ends_at > now:
                self._bound(name, lease, now)
            elif name not in self._ended:
                ran_out.append(lease.member)
                self._ended.add(name)
            if lease.ends_at + self._limits.memory_s <= now:
                self._rows.pop(name)
                self._ended.discard(name)
        self._generation += bool(ran_out)
        return tuple(ran_out)

    def touch(self) -> None:
        """Count a change to who may get new work that came from elsewhere."""
        self._generation += 1

    def overwrite(self, rows: dict[str, Lease]) -> None:
        """Replace every row, whatever it holds; for fault injection."""
        self._rows = dict(rows)
        self._generation += 1

    def _bound(self, name: str, lease: Lease, now: float) -> None:
        """Make a row that holds garbage expire in time, under its name."""
        latest = now + self._limits.max_lease_s
        if lease.ends_at > latest or lease.member.name != name:
            member = dataclasses.replace(
                lease.member,
                name=name,
                heard_at=min(lease.member.heard_at, now),
            )
            self._rows[name] = Lease(member, min(lease.ends_at, latest))
            self._generation += 1

    def _shorten(self, name: str, latest: float) -> None:
        """End a row's lease in time unless its own sender renews it.

        A row that refuses a heartbeat may be the wrong one of the two.
        """
        held = self._rows.get(name)
        if held is not None and held.ends_at > latest:
            self._rows[name] = dataclasses.replace(held, ends_at=latest)

    def _by_pool(self) -> dict[str, tuple[str, ...]]:
        pools: dict[str, tuple[str, ...]] = {}
        for name, lease in self._rows.items():
            pool = lease.member.pool
            pools[pool] = (*pools.get(pool, ()), name)
        return pools


def _refusal(
    heartbeat: _member.Heartbeat, held: Lease | None
) -> _answers.RefusalReason | None:
    if held is None:
        incomplete = _answers.RefusalReason.incomplete
        return incomplete if heartbeat.compact else None
    if heartbeat.incarnation < held.member.incarnation:
        return _answers.RefusalReason.old_incarnation
    if heartbeat.incarnation > held.member.incarnation:
        incomplete = _answers.RefusalReason.incomplete
        return incomplete if heartbeat.compact else None
    if heartbeat.sequence <= held.member.sequence:
        return _answers.RefusalReason.old_sequence
    return None


def _joins(held: Lease, member: _member.Member, now: float) -> bool:
    return (
        held.ends_at <= now
        or held.member.incarnation != member.incarnation
        or held.member.pool != member.pool
    )


def _merge(
    heartbeat: _member.Heartbeat, held: Lease | None, now: float
) -> _member.Member:
    """Return the member that the heartbeat describes."""
    if held is not None and heartbeat.compact:
        return dataclasses.replace(
            held.member,
            sequence=heartbeat.sequence,
            leaving=heartbeat.leaving,
            config=heartbeat.config,
            in_flight=heartbeat.in_flight,
            queued=heartbeat.queued,
            limit=heartbeat.limit,
            heard_at=now,
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
        heard_at=now,
        suspects=heartbeat.suspects,
    )
