"""Order of a pool's endpoints in a rollout, without a coordinator."""

import dataclasses
import math
from collections.abc import Iterable

import xxhash

from lentilspool.orders import _types


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits of a rollout; times in seconds."""

    min_capacity_share: float = 0.75
    """Minimum share of the pool's members that stay in service."""

    settle_s: float = 11.0
    """Time from a new target until the first order for it."""

    max_progress_age_s: float = 5.0
    """Age above which a member's last progress is no longer trusted."""


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Progress of a member, as it reports it to its peers."""

    name: str
    """Name of the member."""

    version: int
    """Version of the configuration active at the member."""

    target: int
    """Digest of its target state; see ``target_digest``."""

    done: bool
    """Whether its engine has reached that state."""

    busy: bool
    """Whether the engine is out of service because of an order."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartDecision:
    """Decision whether this member may start its order now."""

    allowed: bool
    """Whether the member may start."""

    waits_for: tuple[str, ...] = ()
    """Members that must finish, or report their progress, first."""


def target_digest(target: _types.EngineState) -> int:
    """Return a digest by which members compare their targets.

    It is a signed 64-bit integer, as in the messages. The text of the
    state is hashed, so renaming the class or a field changes the digest.
    """
    digest = xxhash.xxh3_64_digest(repr(target).encode())
    return int.from_bytes(digest, 'big', signed=True)


class Rollout:
    """Decides when one member of a pool may take its engine out of service.

    Members are ordered by a hash of their names. A member may start if
    fewer than ``max_out_of_service`` other members block it: those before
    it in this order that have not finished, and those that may be out of
    service. A finished member stays finished for the same target, so an
    outdated view can only make a member wait, and all members together never
    exceed the limit. A member that fails or stops reporting blocks the rollout, so a
    bad version reaches only the first few engines.

    Pass the pool's members to ``set_pool``, the target to
    ``update_target`` and the progress of each peer to ``record_progress``;
    call ``start_decision`` before each order.
    """

    def __init__(self, own: str, limits: RolloutLimits) -> None:
        self._own = own
        self._limits = limits
        self._ranked_names: tuple[str, ...] = (own,)
        self._target = (0, 0)
        self._changed_at = -math.inf
        self._peer_progress: dict[str, tuple[RolloutProgress, float]] = {}

    @property
    def max_out_of_service(self) -> int:
        """Number of members that may be out of service at once, at least one."""
        count = len(self._ranked_names)
        in_service = math.ceil(self._limits.min_capacity_share * count)
        return max(count - in_service, 1)

    def set_pool(self, names: Iterable[str]) -> None:
        """Set the members of the pool; this one is added if missing."""
        self._ranked_names = tuple(sorted({*names, self._own}, key=_rank_key))
        for name in self._peer_progress.keys() - set(self._ranked_names):
            self._peer_progress.pop(name)

    def set_min_capacity_share(self, min_capacity_share: float) -> None:
        """Set the minimum share of the pool that stays in service."""
        self._limits = dataclasses.replace(
            self._limits, min_capacity_share=min_capacity_share
        )

    def set_settle_time(self, settle_s: float) -> None:
        """Set the time from a new target until the first order for it."""
        self._limits = dataclasses.replace(self._limits, settle_s=settle_s)

    def update_target(self, version: int, target: int, now: float) -> None:
        """Set the target of a newly active configuration.

        ``target`` is a digest. An unchanged one keeps its first version.
        """
        if target != self._target[1]:
            self._target = (version, target)
            self._changed_at = now

    def record_progress(self, progress: RolloutProgress, now: float) -> None:
        """Record the progress that a peer reported."""
        if progress.name in self._ranked_names:
            self._peer_progress[progress.name] = (progress, now)

    def start_decision(self, now: float) -> StartDecision:
        """Return whether this member may start its order now."""
        if now - self._changed_at < self._limits.settle_s:
            return StartDecision(allowed=False)
        own_rank = self._ranked_names.index(self._own)
        before = self._ranked_names[:own_rank]
        unfinished = tuple(
            name for name in before if not self._has_finished(name)
        )
        others = (name for name in self._ranked_names if name != self._own)
        unavailable = tuple(
            name for name in others if self._may_be_out_of_service(name, now)
        )
        waits_for = tuple(dict.fromkeys((*unfinished, *unavailable)))
        return StartDecision(
            len(waits_for) < self.max_out_of_service, waits_for
        )

    def _has_finished(self, name: str) -> bool:
        progress, _ = self._peer_progress.get(name, (None, 0))
        return (
            progress is not None
            and progress.done
            and progress.target == self._target[1]
            and progress.version >= self._target[0]
        )

    def _may_be_out_of_service(self, name: str, now: float) -> bool:
        """Tell whether the member is busy or has no recent progress."""
        progress, reported_at = self._peer_progress.get(name, (None, -math.inf))
        if (
            progress is None
            or now - reported_at > self._limits.max_progress_age_s
        ):
            return True
        return progress.busy


def _rank_key(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
