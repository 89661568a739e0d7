"""A process's view of the fleet, from the host list and the leases."""

import dataclasses
import logging
from collections.abc import Iterable
from typing import Final

from lentilspool import kernel
from lentilspool.membership import (
    _answers,
    _events,
    _host_list,
    _lease_table,
    _member,
    _spares,
    _subset,
)

_log: Final = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Limits of the view, in seconds of the process's own clock."""

    leases: _lease_table.LeaseLimits = _lease_table.LeaseLimits()
    """Bounds on leases."""

    subsets: _subset.SubsetLimits = _subset.SubsetLimits()
    """Size and balance of subsets."""

    pause_limit_s: float = 1.5
    """Time between two calls of ``run_checks`` that counts as a pause."""

    spare_after_s: float = 2.0
    """Time without a lease after which a member gets a spare."""

    min_reachable_share: float = 0.5
    """Share of subset members with live leases that rules out a partition.

    With a lower share the process considers itself cut off.
    """


class Membership:
    """An entry's view of the endpoints that may get new work.

    Pass the host list to ``update_hosts`` and heartbeats to ``receive``.
    Call ``run_checks`` from a task that runs several times a second, and after
    any wait before new work is started. Keep connections to the hosts that
    ``candidates`` returns. Route only to the members that ``usable``
    returns; they may change when ``leases.generation`` does.
    """

    def __init__(
        self, own: _subset.ProcessLocation, now: float, limits: MembershipLimits
    ) -> None:
        self._own = own
        self._limits = limits
        self._leases = _lease_table.LeaseTable(limits.leases)
        self._pauses = kernel.PauseDetector(limits.pause_limit_s, now)
        self._host_list = _host_list.HostList(own)
        self._subsets: dict[str, tuple[str, ...]] = {}
        self._outdated_pools: dict[str, None] = {}
        self._spares = _spares.SpareSelector(limits.spare_after_s)
        self._cut_off = False

    @property
    def leases(self) -> _lease_table.LeaseTable:
        """Leases of the members.

        Call ``leases.extend`` for each answer to a call, and
        ``leases.end`` when the connection to a member breaks.
        """
        return self._leases

    @property
    def pauses(self) -> int:
        """Number of pauses of this process since its start."""
        return self._pauses.pause_count

    @property
    def pools(self) -> tuple[str, ...]:
        """Names of the pools of the listed hosts."""
        return self._host_list.pools

    @property
    def cut_off(self) -> bool:
        """Whether too few subset members have a live lease."""
        return self._cut_off

    def update_hosts(self, hosts: Iterable[_member.ListedHost]) -> None:
        """Replace the host list.

        Ends no lease, because the list may lag behind the fleet.
        """
        changed = sorted(self._host_list.replace(hosts))
        if changed:
            self._outdated_pools.update(dict.fromkeys(changed))
            self._leases.increment_generation()
            self._spares.forget(
                lambda name: self._host_list.hint(name) is not None
            )

    def receive(
        self, heartbeat: _member.Heartbeat, now: float
    ) -> _answers.Answer:
        """Apply a heartbeat to the leases and return the answer.

        The caller must send a leaving heartbeat back to its sender, which
        acknowledges it.
        """
        answer = self._leases.renew(heartbeat, now)
        if isinstance(answer, _answers.Refused):
            _events.OLD_HEARTBEAT.log(
                _log, name=answer.name, reason=answer.reason.value
            )
        elif answer.began_leaving:
            _events.MEMBER_LEAVING.log(_log, name=answer.member.name)
        return answer

    def record_draining_refusal(self, name: str, incarnation: int) -> None:
        """Record that a sidecar refused work because it is leaving."""
        if self._leases.mark_leaving(name, incarnation):
            _events.MEMBER_LEAVING.log(_log, name=name)

    def run_checks(self, now: float) -> float:
        """Run the periodic checks; return the length of a pause in seconds.

        Returns zero without a pause. A pause ends all leases, so each
        member is unusable until it sends its next heartbeat. Also expires
        leases, recomputes one outdated subset and checks reachability.
        """
        pause_s = self._pauses.measure_pause(now)
        if pause_s:
            _events.PAUSED.log(_log, seconds=pause_s)
            self._leases.end_all(now)
        for member in self._leases.sweep(now):
            if not member.leaving:
                _events.LEASE_ENDED.log(_log, name=member.name)
        if self._outdated_pools:
            self._compute_subset(next(iter(self._outdated_pools)))
        self._check_reachability(now)
        return pause_s

    def subset(self, pool: str) -> tuple[str, ...]:
        """Return the endpoints of the pool with which to keep leases.

        After a change of the host list, each call of ``run_checks`` recomputes
        the subset of one pool; until then the previous subset is returned.
        """
        if pool not in self._subsets:
            self._compute_subset(pool)
        return self._subsets[pool]

    def usable_members(
        self, pool: str, now: float
    ) -> tuple[_member.Member, ...]:
        """Return the members of the pool that may get new work."""
        return tuple(
            member
            for member in self._leases.live_members(pool, now)
            if self._host_list.accepts_work(member)
        )

    def connection_targets(
        self, pool: str, now: float
    ) -> tuple[_member.ListedHost, ...]:
        """Return the hosts to keep connections with.

        These are the subset and, for each member that has had no lease for
        ``spare_after_s``, the next endpoint in order of preference.
        """
        names = self._spares.choose(
            self.subset(pool),
            lambda: self._ranked(pool),
            lambda name: self._leases.live_member(name, now) is not None,
            now,
        )
        hints = (self._host_list.hint(name) for name in names)
        return tuple(
            hint
            for hint in hints
            if hint is not None and hint.state is _member.HostState.live
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the view as JSON-compatible types."""
        return {
            'cut_off': self._cut_off,
            'pauses': self.pauses,
            'hosts_listed': len(self._host_list),
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
        return _subset.preference_order(
            self._own,
            self._host_list.endpoints(pool, self._leases),
            self._limits.subsets.remote_penalty,
        )

    def _compute_subset(self, pool: str) -> None:
        """Compute the subset of a pool from the current view."""
        self._outdated_pools.pop(pool, None)
        subsets = _subset.even_subsets(
            self._host_list.entries(),
            self._host_list.endpoints(pool, self._leases),
            self._limits.subsets,
        )
        self._subsets[pool] = subsets[self._own.name]

    def _check_reachability(self, now: float) -> None:
        names = [name for subset in self._subsets.values() for name in subset]
        live = sum(
            self._leases.live_member(name, now) is not None for name in names
        )
        cut_off = live < self._limits.min_reachable_share * len(names)
        if cut_off != self._cut_off:
            event = _events.CUT_OFF if cut_off else _events.HEALED
            event.log(_log, live=live, expected=len(names))
        self._cut_off = cut_off
