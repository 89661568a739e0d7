"""Selects the gateway that plans, without a consensus protocol.

Many gateways share a few stage endpoints. One gateway plans for all, so that
calls hold pieces of requests from several gateways and gateways do not all
choose the same endpoint at once. Every gateway computes the same order from
gossip. If two of them plan at the same time, plans are worse but no guarantee
is broken, because only the gateway of a caller sends the caller's request.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Final

import xxhash

# Strengths are compared in steps of 1 / 10 core.
_STRENGTH_STEPS_PER_CORE: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """State of a gateway that others learn by gossip."""

    name: str
    """Name of the host."""

    host: str
    """IP address."""

    port: int
    """Port for other gateways."""

    zone: str
    """Availability zone."""

    strength: float
    """Processor capacity in cores; may be a fraction."""

    incarnation: int
    """Start of the process, Unix milliseconds."""

    leaving_at: int = 0
    """Start of its planned shutdown, Unix milliseconds; 0 if there is none."""

    able: bool = True
    """Whether it has a configuration and a listing of endpoints."""

    planning_since: int = 0
    """When it began to plan for all, Unix milliseconds; 0 if it does not."""

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'{self.host}:{self.port}'


class Roster:
    """Gateways with a recent heartbeat, in the order in which they plan.

    ``record_heartbeat`` records the state of a gateway, received from itself
    or from another gateway; ``age_s`` is how long ago it was sent.
    """

    def __init__(self, own: Member, forget_s: float) -> None:
        self._own = own
        self._forget_s = forget_s
        self._members: dict[str, tuple[Member, float]] = {}
        self._suspended_until: dict[str, float] = {}

    @property
    def own(self) -> Member:
        """State of this process."""
        return self._own

    def announce_leaving(self, wall_ms: int) -> None:
        """Mark this process as shutting down.

        It then only plans if every other gateway shuts down too.
        """
        self._own = dataclasses.replace(self._own, leaving_at=wall_ms)

    def set_ready(self, able: bool) -> None:
        """Set whether this process has all it needs to plan."""
        if able != self._own.able:
            self._own = dataclasses.replace(self._own, able=able)

    def claim_planning(self, wall_ms: int) -> None:
        """Claim planning until ``release_planning``; the earliest claim wins."""
        if not self._own.planning_since:
            self._own = dataclasses.replace(self._own, planning_since=wall_ms)

    def release_planning(self) -> None:
        """Release the claim, for instance after the process was suspended."""
        if self._own.planning_since:
            self._own = dataclasses.replace(self._own, planning_since=0)

    def record_heartbeat(
        self, member: Member, age_s: float, now: float
    ) -> None:
        """Record a heartbeat, unless a newer one of the gateway is known."""
        if member.name == self._own.name:
            return
        held = self._members.get(member.name)
        sent_at = now - age_s
        if held is None or (held[0].incarnation, held[1]) <= (
            member.incarnation,
            sent_at,
        ):
            self._members[member.name] = (member, sent_at)

    def mark_unresponsive(self, name: str, seconds: float, now: float) -> None:
        """Do not select a gateway for a time because it does not answer."""
        self._suspended_until[name] = now + seconds

    def members(self, now: float) -> list[tuple[Member, float]]:
        """Return the other gateways with the age of their heartbeat in s."""
        self._members = {
            member.name: (member, sent_at)
            for member, sent_at in self._members.values()
            if now - sent_at <= self._forget_s
        }
        return [
            (member, now - sent_at)
            for member, sent_at in self._members.values()
        ]

    def planners(self, fresh_s: float, now: float) -> list[Member]:
        """Return the gateways that may plan, the first choice first.

        Gateways without a heartbeat for ``fresh_s`` seconds and those that
        do not answer are left out. Gateways that shut down come last, the
        latest first, so that one planner remains when all are restarted.
        Among equally strong gateways the current planner stays first, then
        the youngest: in a rolling restart, it is the least likely to be
        restarted next. This process is always in the list.
        """
        eligible = [
            member
            for member, age_s in self.members(now)
            if age_s <= fresh_s
            and self._suspended_until.get(member.name, 0) <= now
        ]
        return sorted([*eligible, self._own], key=_preference)


def spread_over_zones(members: Iterable[Member]) -> list[Member]:
    """Return the first member of each zone, then the second, and so on."""
    counts: collections.Counter[str] = collections.Counter()
    places: list[tuple[int, Member]] = []
    for member in members:
        places.append((counts[member.zone], member))
        counts[member.zone] += 1
    ordered = sorted(places, key=lambda one: one[0])
    return [one for _, one in ordered]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Preference:
    """Sort key of a gateway in the order of planners; the least goes first."""

    leaving: bool
    """Whether it shuts down."""

    negated_leaving_at: int
    """Negated start of the shutdown: the latest goes first."""

    lacks_state: bool
    """Whether it lacks a configuration or a listing of endpoints."""

    negated_strength: float
    """Negated, rounded strength: the strongest goes first."""

    not_planning: bool
    """False for gateways that plan already, which go first."""

    claimed_at: int
    """Start of planning: the earliest claim goes first."""

    negated_incarnation: int
    """Negated start of the process: the youngest goes first."""

    digest: int
    """Hash of the name, so that all gateways order equals the same way."""


def _preference(member: Member) -> _Preference:
    digest = xxhash.xxh3_64_intdigest(member.name.encode())
    strength = (
        round(member.strength * _STRENGTH_STEPS_PER_CORE)
        / _STRENGTH_STEPS_PER_CORE
    )
    leaving_at = member.leaving_at
    claimed_at = member.planning_since
    return _Preference(
        leaving=leaving_at > 0,
        negated_leaving_at=-leaving_at,
        lacks_state=not member.able,
        negated_strength=-strength,
        not_planning=not claimed_at,
        claimed_at=claimed_at,
        negated_incarnation=-member.incarnation,
        digest=digest,
    )
