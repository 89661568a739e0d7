"""Turns at the weight store, so that all loads together keep its limit."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limit of the weight store."""

    loads_per_s: float = 1.0
    """Loads a second that the store allows to all engines together."""

    used_share: float = 0.8
    """Share of the limit that is planned; the rest covers late orders."""


class LoadSchedule:
    """Gives every sidecar its own time slots for loads.

    Time is cut into slots, one after another for each sidecar in the order
    of their names, so the sum of all loads keeps the store's limit without
    any message. Each slot allows one load, like a token bucket of size one
    that is filled at the sidecar's slot. Slots follow the wall clock:
    clocks that differ by a slot or more only shift loads, and the unused
    share of the limit covers those that meet.
    """

    def __init__(self, own: str, limits: StoreLimits) -> None:
        self._own = own
        self._limits = limits
        self._rank = 0
        self._count = 1
        self._used_slot = -1

    @property
    def slot_s(self) -> float:
        """Length of a slot in seconds."""
        return 1 / (self._limits.loads_per_s * self._limits.used_share)

    def set_limit(self, loads_per_s: float) -> None:
        """Change the limit of the store."""
        self._limits = dataclasses.replace(
            self._limits, loads_per_s=loads_per_s
        )

    def set_fleet(self, names: tuple[str, ...]) -> None:
        """Take all sidecars whose engines load from the store."""
        ordered = sorted({*names, self._own})
        self._rank = ordered.index(self._own)
        self._count = len(ordered)

    def take(self, wall: float) -> bool:
        """Use this sidecar's slot, if it is now and still unused."""
        slot = math.floor(wall / self.slot_s)
        if slot % self._count != self._rank or slot == self._used_slot:
            return False
        self._used_slot = slot
        return True

    def next_at(self, wall: float) -> float:
        """Return the wall time at which the next own slot begins."""
        slot = math.floor(wall / self.slot_s) + 1
        ahead = (self._rank - slot) % self._count
        return (slot + ahead) * self.slot_s
