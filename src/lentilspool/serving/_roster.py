"""Which process plans: the same choice everywhere, without agreement.

Answers many gateways that share a few stage endpoints: one of them plans for
all, so that calls are filled across gateways and nobody herds. Two planners
at once cost quality, never a promise: each caller's own gateway alone sends
its request.
"""

import dataclasses
from typing import Final

import xxhash

_STRENGTH_STEPS: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A gateway as others know it."""

    name: str
    """Name of the host."""

    host: str
    """IP address."""

    port: int
    """Port for other gateways."""

    zone: str
    """Availability zone."""

    strength: float
    """Share of a processor core that it has."""

    incarnation: int
    """Start of the process, Unix milliseconds."""

    leaving_at: int = 0
    """Begin of its planned stop, Unix milliseconds; 0 if there is none."""

    able: bool = True
    """Whether it has a configuration and a listing."""

    planning_since: int = 0
    """When it began to plan for all, Unix milliseconds; 0 if it does not."""

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'{self.host}:{self.port}'


class Roster:
    """Gateways heard of lately, and the order in which they plan.

    ``heard`` takes what a gateway says of itself, directly or through
    another; ``age_s`` is how long ago it said so.
    """

    def __init__(self, own: Member, forget_s: float) -> None:
        self._own = own
        self._forget_s = forget_s
        self._members: dict[str, tuple[Member, float]] = {}
        self._suspended_until: dict[str, float] = {}

    @property
    def own(self) -> Member:
        """This process."""
        return self._own

    def leave(self, wall_ms: int) -> None:
        """Plan only if every other gateway leaves too."""
        self._own = dataclasses.replace(self._own, leaving_at=wall_ms)

    def able(self, able: bool) -> None:
        """Tell whether this process could plan."""
        if able != self._own.able:
            self._own = dataclasses.replace(self._own, able=able)

    def claim(self, wall_ms: int) -> None:
        """Plan for all, until ``yield_claim``; the earliest claim counts."""
        if not self._own.planning_since:
            self._own = dataclasses.replace(self._own, planning_since=wall_ms)

    def yield_claim(self) -> None:
        """Plan for all no longer, as after a suspension."""
        if self._own.planning_since:
            self._own = dataclasses.replace(self._own, planning_since=0)

    def heard(self, member: Member, age_s: float, now: float) -> None:
        """Take in a sign of life."""
        if member.name == self._own.name:
            return
        held = self._members.get(member.name)
        said_at = now - age_s
        if held is None or (held[0].incarnation, held[1]) <= (
            member.incarnation,
            said_at,
        ):
            self._members[member.name] = (member, said_at)

    def silent(self, name: str, seconds: float, now: float) -> None:
        """Send a gateway no plans for a time, since it does not answer."""
        self._suspended_until[name] = now + seconds

    def members(self, now: float) -> list[tuple[Member, float]]:
        """Return the other gateways and the age of their last sign."""
        self._members = {
            member.name: (member, said_at)
            for member, said_at in self._members.values()
            if now - said_at <= self._forget_s
        }
        return [
            (member, now - said_at)
            for member, said_at in self._members.values()
        ]

    def planners(self, fresh_s: float, now: float) -> list[Member]:
        """Return the gateways that plan, the first choice first.

        Gateways that were not heard for ``fresh_s`` seconds or do not answer
        are left out. Those that leave come last, the latest first, so that
        a restart of all of them leaves one plan. Among strong ones the one
        that plans already goes on, and the youngest follows it: when all
        are restarted in turn, it is the least likely to be next. This
        process is always in the list.
        """
        eligible = [
            member
            for member, age_s in self.members(now)
            if age_s <= fresh_s
            and self._suspended_until.get(member.name, 0) <= now
        ]
        return sorted([*eligible, self._own], key=_preference)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Preference:
    """Place of a gateway among those that plan; the least goes first."""

    leaving: bool
    """Whether it is in a planned stop."""

    left_before: int
    """Those that leave: the latest first."""

    unable: bool
    """Whether it lacks a configuration or a listing."""

    weakness: float
    """The strong ones first."""

    unclaimed: bool
    """The one that plans already first."""

    claimed_at: int
    """The earliest claim first."""

    age: int
    """The youngest first."""

    digest: int
    """The same order of equals everywhere."""


def _preference(member: Member) -> _Preference:
    digest = xxhash.xxh3_64_intdigest(member.name.encode())
    strength = round(member.strength * _STRENGTH_STEPS) / _STRENGTH_STEPS
    leaving_at = member.leaving_at
    claimed_at = member.planning_since
    return _Preference(
        leaving=leaving_at > 0,
        left_before=-leaving_at,
        unable=not member.able,
        weakness=-strength,
        unclaimed=not claimed_at,
        claimed_at=claimed_at,
        age=-member.incarnation,
        digest=digest,
    )
