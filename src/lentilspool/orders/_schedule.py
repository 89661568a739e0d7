"""Time slots for weight loads within the weight store's rate limit."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """Rate limit of the weight store."""

    loads_per_s: float = 1.0
    """Loads a second that the store allows, over all engines."""

    planned_share: float = 0.8
    """Share of the limit assigned to slots; the rest covers late orders."""


class LoadSchedule:
    """Assigns every sidecar its own time slots for loads.

    Time is divided into slots, which the sidecars own in turn, in the order
    of their names. All loads together thus stay within the store's limit
    without any message. Each slot allows one load, like a token bucket of
    size one that is refilled when the sidecar's slot begins. Slots follow
    the wall clock. Clocks that differ by a slot or more only shift loads,
    and the unassigned share of the limit covers loads that then coincide.
    """

    def __init__(self, own: str, limits: StoreLimits) -> None:
        self._own = own
        self._limits = limits
        self._rank = 0
        self._count = 1
        self._last_used_slot = -1

    @property
    def slot_s(self) -> float:
        """Length of a slot, in seconds."""
        return 1 / (self._limits.loads_per_s * self._limits.planned_share)

    def set_limit(self, loads_per_s: float) -> None:
        """Set the rate limit of the store."""
        self._limits = dataclasses.replace(
            self._limits, loads_per_s=loads_per_s
        )

    def set_sidecars(self, names: tuple[str, ...]) -> None:
        """Set the sidecars whose engines load from the store."""
        ordered = sorted({*names, self._own})
        self._rank = ordered.index(self._own)
        self._count = len(ordered)

    def claim_slot(self, wall: float) -> bool:
        """Claim the current slot; return whether it is own and unused."""
        slot = math.floor(wall / self.slot_s)
        if slot % self._count != self._rank or slot == self._last_used_slot:
            return False
        self._last_used_slot = slot
        return True

    def next_slot_at(self, wall: float) -> float:
        """Return the wall-clock time at which the next own slot begins."""
        slot = math.floor(wall / self.slot_s) + 1
        ahead = (self._rank - slot) % self._count
        return (slot + ahead) * self.slot_s
