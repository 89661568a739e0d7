"""One process's view of the fleet, from the host list and from leases."""

import dataclasses
import logging
from collections.abc import Iterable
from typing import Final

from lentilspool import kernel
from lentilspool.membership import (
    _answers,
    _contacts,
    _events,
    _hosts,
    _lease_table,
    _member,
    _subset,
)

_log: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Bounds of the view; times in seconds of the process's own clock."""

    leases: _lease_table.LeaseLimits = _lease_table.LeaseLimits()
    """Bounds on leases."""

    subsets: _subset.SubsetLimits = _subset.SubsetLimits()
    """Size and evenness of subsets."""

    pause_limit_s: float = 1.5
    """Gap between two calls of ``beat`` that counts as a pause."""

    spare_after_s: float = 2.0
    """Time without a lease after which a spare stands in for a member."""

    reach_share: float = 0.5
    """Share of the subsets' members with live leases; less is a partition."""


class Membership:
    """What an entry knows of the endpoints that may get new work.

    Feed it the host list by ``update_hosts`` and heartbeats by
    ``receive``; call ``beat`` from a task that runs several times a
    second and before work after a wait. Keep connections with what
    ``candidates`` returns; route to what ``usable`` returns, which may
    change when ``leases.generation`` does.
    """

    def __init__(
        self, own: _subset.Place, now: float, limits: MembershipLimits
    ) -> None:
        self._own = own
        self._limits = limits
        self._leases = _lease_table.LeaseTable(limits.leases)
        self._pauses = kernel.PauseDetector(limits.pause_limit_s, now)
        self._hosts = _hosts.HostView(own)
        self._subsets: dict[str, tuple[str, ...]] = {}
        self._stale: dict[str, None] = {}
        self._contacts = _contacts.Contacts(limits.spare_after_s)
        self._cut_off = False

    @property
    def leases(self) -> _lease_table.LeaseTable:
        """Leases held.

        Call ``leases.extend`` for each answer to a call, and
        ``leases.end`` when the connection to a member breaks.
        """
        return self._leases

    @property
    def pauses(self) -> int:
        """Pauses of this process since its start."""
        return self._pauses.pauses

    @property
    def pools(self) -> tuple[str, ...]:
        """Pools of the hosts listed."""
        return self._hosts.pools

    @property
    def cut_off(self) -> bool:
        """Whether most members of the subsets are out of reach."""
        return self._cut_off

    def update_hosts(self, hosts: Iterable[_member.HostHint]) -> None:
        """Take a new host list, which may be old; ends no lease."""
        changed = sorted(self._hosts.replace(hosts))
        if changed:
            self._stale.update(dict.fromkeys(changed))
            self._leases.touch()
            self._contacts.forget(
                lambda name: self._hosts.hint(name) is not None
            )

    def receive(
        self, heartbeat: _member.Heartbeat, now: float
    ) -> _answers.Answer:
        """Renew a lease; send a leaving heartbeat back to its sender."""
        answer = self._leases.renew(heartbeat, now)
        if isinstance(answer, _answers.Refused):
            _events.OLD_HEARTBEAT.log(
                _log, name=answer.name, reason=answer.reason.value
            )
        elif answer.left:
            _events.MEMBER_LEAVING.log(_log, name=answer.member.name)
        return answer

    def refused_draining(self, name: str, incarnation: int) -> None:
        """Record that a sidecar refused work because it leaves."""
        if self._leases.mark_leaving(name, incarnation):
            _events.MEMBER_LEAVING.log(_log, name=name)

    def beat(self, now: float) -> float:
        """Detect a pause and bound all leases; return the pause's length.

        After a pause no member is usable until it has been heard again.
        """
        pause_s = self._pauses.beat(now)
        if pause_s:
            _events.PAUSED.log(_log, seconds=pause_s)
            self._leases.end_all(now)
        for member in self._leases.sweep(now):
            if not member.leaving:
                _events.LEASE_ENDED.log(_log, name=member.name)
        if self._stale:
            self._refresh(next(iter(self._stale)))
        self._judge_reach(now)
        return pause_s

    def subset(self, pool: str) -> tuple[str, ...]:
        """Return the endpoints of the pool with which to keep leases.

        After a change of the host list, ``beat`` computes the subset of
        one pool at a time; until then the former subset stands.
        """
        if pool not in self._subsets:
            self._refresh(pool)
        return self._subsets[pool]

    def usable(self, pool: str, now: float) -> tuple[_member.Member, ...]:
        """Return the members of the pool that may get new work."""
        return tuple(
            member
            for member in self._leases.live_in(pool, now)
            if self._hosts.takes_work(member)
        )

    def candidates(self, pool: str, now: float) -> tuple[_member.HostHint, ...]:
        """Return the hosts to keep connections with.

        These are the subset and, for each member of it that stays without
        a lease, the next endpoint in this entry's order of preference.
        """
        names = self._contacts.choose(
            self.subset(pool),
            lambda: self._ranked(pool),
            lambda name: self._leases.live(name, now) is not None,
            now,
        )
        hints = (self._hosts.hint(name) for name in names)
        return tuple(
            hint
            for hint in hints
            if hint is not None and hint.state is _member.HostState.live
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the view as plain JSON types."""
        return {
            'cut_off': self._cut_off,
            'pauses': self.pauses,
            'hosts_listed': len(self._hosts),
            'leases': {
                lease.member.name: {
                    'pool': lease.member.pool,
                    'incarnation': lease.member.incarnation,
                    'leaving': lease.member.leaving,
                    'version': lease.member.config.version,
                    'left_s': round(lease.ends_at - now, 3),
                }
                for lease in self._leases
            },
            'subsets': {
                pool: list(names) for pool, names in self._subsets.items()
            },
        }

    def _ranked(self, pool: str) -> tuple[str, ...]:
        return _subset.preference(
            self._own,
            self._hosts.endpoints(pool, self._leases),
            self._limits.subsets.remote_penalty,
        )

    def _refresh(self, pool: str) -> None:
        """Compute the subset of a pool from the view as it is now."""
        self._stale.pop(pool, None)
        subsets = _subset.even_subsets(
            self._hosts.entries(),
            self._hosts.endpoints(pool, self._leases),
            self._limits.subsets,
        )
        self._subsets[pool] = subsets[self._own.name]

    def _judge_reach(self, now: float) -> None:
        names = [name for held in self._subsets.values() for name in held]
        live = sum(self._leases.live(name, now) is not None for name in names)
        cut_off = live < self._limits.reach_share * len(names)
        if cut_off != self._cut_off:
            event = _events.CUT_OFF if cut_off else _events.HEALED
            event.log(_log, live=live, expected=len(names))
        self._cut_off = cut_off
