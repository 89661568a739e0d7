"""Turns of a pool's endpoints in a rollout, without a coordinator."""

import dataclasses
import math
from collections.abc import Iterable

import xxhash

from lentilspool.orders import _types


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Bounds of a rollout; times in seconds."""

    min_capacity_share: float = 0.75
    """Share of the pool that stays in service."""

    settle_s: float = 11.0
    """Time from a new target until the first order for it."""

    fresh_s: float = 5.0
    """Age above which a member's progress is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What a member of the pool tells its peers."""

    name: str
    """Name of the member."""

    version: int
    """Configuration in force at the member."""

    target: int
    """Digest of the state that it wants; see ``target_digest``."""

    done: bool
    """Whether its engine was seen in that state."""

    busy: bool
    """Whether an order is under way, so the engine is out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """Whether this member may give its order now."""

    allowed: bool
    """Whether it may."""

    waits_for: tuple[str, ...] = ()
    """Members that must finish, or be heard from, first."""


def target_digest(target: _types.EngineState) -> int:
    """Return a digest by which members compare their targets.

    It is a signed number of 64 bits, as messages carry it.
    """
    digest = xxhash.xxh3_64_digest(repr(target).encode())
    return int.from_bytes(digest, 'big', signed=True)


class Rollout:
    """Decides when one member of a pool may take its engine out of service.

    Members are ordered by a hash of their names. A member may go while
    fewer than the allowed number of members before it have not finished.
    To have finished is a fact that stays true for a target, so an old view
    errs towards waiting, and no two views let too many go. A member that
    fails, or falls silent, holds the rollout up: a bad version stops after
    the first few engines.

    Give it the pool's members by ``set_pool``, the target by ``want`` and
    each peer's progress by ``heard``; ask ``turn`` before each order.
    """

    def __init__(self, own: str, limits: RolloutLimits) -> None:
        self._own = own
        self._limits = limits
        self._order: tuple[str, ...] = (own,)
        self._since = (0, 0)
        self._changed_at = -math.inf
        self._heard: dict[str, tuple[Progress, float]] = {}

    @property
    def budget(self) -> int:
        """Members that may be out of service at a time; at least one."""
        count = len(self._order)
        kept = math.ceil(self._limits.min_capacity_share * count)
        return max(count - kept, 1)

    def set_pool(self, names: Iterable[str]) -> None:
        """Take the members of the pool, this one included."""
        self._order = tuple(sorted({*names, self._own}, key=_rank))
        for name in self._heard.keys() - set(self._order):
            self._heard.pop(name)

    def keep(self, min_capacity_share: float) -> None:
        """Change the share of the pool that stays in service."""
        self._limits = dataclasses.replace(
            self._limits, min_capacity_share=min_capacity_share
        )

    def settle(self, settle_s: float) -> None:
        """Change the time from a new target until the first order."""
        self._limits = dataclasses.replace(self._limits, settle_s=settle_s)

    def want(self, version: int, target: int, now: float) -> None:
        """Take the target of a configuration that came into force."""
        if target != self._since[1]:
            self._since = (version, target)
            self._changed_at = now

    def heard(self, progress: Progress, now: float) -> None:
        """Take what a peer tells."""
        if progress.name in self._order:
            self._heard[progress.name] = (progress, now)

    def turn(self, now: float) -> Turn:
        """Tell whether this member may start its order now."""
        if now - self._changed_at < self._limits.settle_s:
            return Turn(allowed=False)
        own_rank = self._order.index(self._own)
        before = self._order[:own_rank]
        unfinished = tuple(name for name in before if not self._done(name))
        others = (name for name in self._order if name != self._own)
        out = tuple(name for name in others if self._out(name, now))
        waits_for = tuple(dict.fromkeys((*unfinished, *out)))
        return Turn(len(waits_for) < self.budget, waits_for)

    def _done(self, name: str) -> bool:
        progress, _ = self._heard.get(name, (None, 0))
        return (
            progress is not None
            and progress.done
            and progress.target == self._since[1]
            and progress.version >= self._since[0]
        )

    def _out(self, name: str, now: float) -> bool:
        """Tell whether the member is, or may be, out of service."""
        progress, heard_at = self._heard.get(name, (None, -math.inf))
        if progress is None or now - heard_at > self._limits.fresh_s:
            return True
        return progress.busy


def _rank(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
