"""State of one pool in the admission policy of one entry."""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from lentilspool.limits import _booked_work, _offered, _types

_CUTOFFS_REFRESH_S: Final = 0.25
_MIN_SLOTS: Final = 1e-3
# The fractional parts of its multiples are spread evenly from 0 to 1.
_GOLDEN_RATIO_FRACTION: Final = 0.618034
_MEAN_SLACK_GAIN: Final = 0.02
_MAX_TARGET_FACTOR: Final = 1.5
_MIN_TARGET_FACTOR: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionParameters:
    """Numeric parameters of the default admission policy."""

    window_s: float = 4.0
    """Window over which offered work is measured, in seconds."""

    headroom: float = 1.0
    """Share of a pool's slots that admitted work may fill."""

    depth: float = 0.3
    """Target backlog under overload, as a share of the mean slack."""

    lend_s: float = 0.3
    """Backlog up to which teams may exceed their share, in seconds."""

    safety_s: float = 0.05
    """Margin between predicted end and deadline, in seconds."""

    settle_s: float = 4.0
    """Time in which the backlog is to reach its target, in seconds."""

    @classmethod
    def read(cls, parameters: Mapping[str, float]) -> 'AdmissionParameters':
        """Read each field from the parameter ``admission_<field>``."""
        given = {
            field.name: parameters[f'admission_{field.name}']
            for field in dataclasses.fields(cls)
            if f'admission_{field.name}' in parameters
        }
        return cls(**given)


class PoolState:
    """Booked and offered work of one entry at one pool.

    The entry plans with its part of the pool's slots. It uses the longer
    of two waits: the one that the sidecars report, which includes the work
    of other entries, and the one that follows from its own bookings.
    """

    def __init__(
        self,
        shares: Mapping[str, float],
        parameters: AdmissionParameters,
        now: float,
    ) -> None:
        self._shares = shares
        self._parameters = parameters
        self._booked_work = _booked_work.BookedWork()
        self._offered = _offered.OfferedWork(parameters.window_s, now)
        self._cutoffs = _offered.Cutoffs({})
        self._cutoffs_updated = now
        self._slots = 1.0
        self._reported_wait_s = 0.0
        self._mean_slack_s = 0.0
        self._offer_count = 0

    @property
    def booked_work(self) -> _booked_work.BookedWork:
        """Work that this entry has admitted to the pool."""
        return self._booked_work

    @property
    def slots(self) -> float:
        """This entry's part of the pool's slots."""
        return self._slots

    @property
    def backlog_s(self) -> float:
        """Wait of a call that is due after all other work, in seconds."""
        booked_wait_s = self._booked_work.wait_s(math.inf, self._slots)
        return max(booked_wait_s, self._reported_wait_s)

    def update_load(self, load: _types.PoolLoad) -> None:
        """Update slots and wait from the latest load of the pool.

        The wait is reduced by the age of the report, because the pool has
        served calls since.
        """
        part = load.slots * self._parameters.headroom / max(1, load.entries)
        self._slots = max(part, _MIN_SLOTS)
        self._reported_wait_s = max(0, load.wait_s - load.age_s)

    def record_offer(
        self, team: str, work_s: float, due: float, lead_s: float, now: float
    ) -> bool:
        """Record offered work; return whether it is eligible for admission.

        It is eligible if it is within its team's share of an overloaded
        pool, or if the backlog is low. ``lead_s`` is the time in seconds
        until the work reaches the pool. Requests of equal size are spread
        over the width of a histogram bucket, so that a cutoff can admit a
        part of them.
        """
        self._offer_count += 1
        fraction, _whole = math.modf(self._offer_count * _GOLDEN_RATIO_FRACTION)
        size_s = work_s * _offered.BUCKET_RATIO**fraction
        self._offered.add(team, size_s, now)
        self._mean_slack_s += (
            due - now - self._mean_slack_s
        ) * _MEAN_SLACK_GAIN
        if now - self._cutoffs_updated >= _CUTOFFS_REFRESH_S:
            self._cutoffs_updated = now
            target_slots = self._target_slots()
            self._cutoffs = self._offered.cutoffs(
                target_slots, self._shares, now
            )
        if self._cutoffs.allows(team, size_s):
            return True
        return self.backlog_s <= self._parameters.lend_s + lead_s

    def prioritizes(self, team: str) -> bool:
        """Return whether the team is within its share of an overloaded pool.

        Sidecars serve its calls before those of teams above their share.
        """
        by_team = self._cutoffs.by_team
        return bool(by_team) and team not in by_team

    def wait_s(self, team: str, due: float, lead_s: float) -> float:
        """Return the wait in seconds of work that arrives after ``lead_s``."""
        if self.prioritizes(team):
            return 0
        booked_wait_s = self._booked_work.wait_s(due, self._slots)
        return max(0, max(booked_wait_s, self._reported_wait_s) - lead_s)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'slots': round(self._slots, 3),
            'booked_s': round(self._booked_work.total_s, 3),
            'backlog_s': round(self.backlog_s, 3),
            'reported_wait_s': round(self._reported_wait_s, 3),
            'offered_slots': {
                team: round(rate, 3)
                for team, rate in sorted(self._offered.rates(now).items())
            },
            'cutoff_s': self._cutoffs.dump(),
        }

    def _target_slots(self) -> float:
        """Return the slots to admit work for.

        It exceeds the slots of the pool while the backlog is below its
        target, and is less than them while the backlog is above.
        """
        target_backlog_s = self._mean_slack_s * self._parameters.depth
        adjustment = (
            target_backlog_s - self.backlog_s
        ) / self._parameters.settle_s
        return self._slots * max(
            _MIN_TARGET_FACTOR, min(_MAX_TARGET_FACTOR, adjustment + 1)
        )
