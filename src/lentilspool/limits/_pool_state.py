"""What the admission policy of one entry knows of one pool."""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from lentilspool.limits import _book, _offered, _types

_REFRESH_S: Final = 0.25
_LEAST_SLOTS: Final = 1e-3
_GOLDEN: Final = 0.618034
_SLACK_GAIN: Final = 0.02
_MOST_ROOM: Final = 1.5
_LEAST_ROOM: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Numeric parameters of the default admission policy."""

    window_s: float = 4.0
    """Window over which offered work is measured, in seconds."""

    headroom: float = 1.0
    """Share of a pool's slots that admitted work may fill."""

    depth: float = 0.3
    """Backlog to keep under overload, as a share of the mean slack."""

    lend_s: float = 0.3
    """Backlog up to which work beyond a share is admitted, in seconds."""

    safety_s: float = 0.05
    """Margin before the deadline, in seconds."""

    settle_s: float = 4.0
    """Time in which the backlog is brought to its depth, in seconds."""

    @classmethod
    def read(cls, parameters: Mapping[str, float]) -> 'Tuning':
        """Read the names that begin with ``admission_``."""
        known = {
            field.name: parameters[f'admission_{field.name}']
            for field in dataclasses.fields(cls)
            if f'admission_{field.name}' in parameters
        }
        return cls(**known)


class PoolState:
    """Booked and offered work at one pool, seen from one entry.

    An entry counts on its part of the pool's slots. The reported wait
    counts where it is longer than the entry's own bookings explain.
    """

    def __init__(
        self, shares: Mapping[str, float], tuning: Tuning, now: float
    ) -> None:
        self._shares = shares
        self._tuning = tuning
        self._book = _book.WorkBook()
        self._offered = _offered.OfferedWork(tuning.window_s, now)
        self._cutoffs = _offered.Cutoffs({})
        self._refreshed = now
        self._slots = 1.0
        self._reported_s = 0.0
        self._slack_s = 0.0
        self._offers = 0

    @property
    def book(self) -> _book.WorkBook:
        """Work that this entry has admitted."""
        return self._book

    @property
    def slots(self) -> float:
        """This entry's part of the pool's slots."""
        return self._slots

    @property
    def backlog_s(self) -> float:
        """Wait of a call that is due after all known work, in seconds."""
        booked_s = self._book.wait_s(math.inf, self._slots)
        return max(booked_s, self._reported_s)

    def report(self, load: _types.PoolLoad) -> None:
        """Take the pool's latest load."""
        part = load.slots * self._tuning.headroom / max(1, load.entries)
        self._slots = max(part, _LEAST_SLOTS)
        self._reported_s = max(0, load.wait_s - load.age_s)

    def offer(
        self, team: str, work_s: float, due: float, lead_s: float, now: float
    ) -> bool:
        """Record offered work; tell whether it may be admitted.

        It may be if it is inside its team's share of an overloaded pool,
        or if the backlog is low. ``lead_s`` is the time until the work
        reaches the pool. Work of one size is spread over a bucket, so that
        a cutoff can fall between two requests of the same size.
        """
        self._offers += 1
        spread, _whole = math.modf(self._offers * _GOLDEN)
        size_s = work_s * _offered.BUCKET_RATIO**spread
        self._offered.add(team, size_s, now)
        self._slack_s += (due - now - self._slack_s) * _SLACK_GAIN
        if now - self._refreshed >= _REFRESH_S:
            self._refreshed = now
            room = self._room()
            self._cutoffs = self._offered.cutoffs(room, self._shares, now)
        if self._cutoffs.favours(team, size_s):
            return True
        return self.backlog_s <= self._tuning.lend_s + lead_s

    def protects(self, team: str) -> bool:
        """Tell whether the team is below its share of an overloaded pool.

        Sidecars serve its calls before those of the teams that are above.
        """
        by_team = self._cutoffs.by_team
        return bool(by_team) and team not in by_team

    def wait_s(self, team: str, due: float, lead_s: float) -> float:
        """Return the wait of work that arrives after ``lead_s``."""
        if self.protects(team):
            return 0
        booked_s = self._book.wait_s(due, self._slots)
        return max(0, max(booked_s, self._reported_s) - lead_s)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'slots': round(self._slots, 3),
            'booked_s': round(self._book.total_s, 3),
            'backlog_s': round(self.backlog_s, 3),
            'reported_wait_s': round(self._reported_s, 3),
            'offered_slots': {
                team: round(rate, 3)
                for team, rate in sorted(self._offered.rates(now).items())
            },
            'cutoff_s': self._cutoffs.dump(),
        }

    def _room(self) -> float:
        """Return the slots to fill, more while the backlog is shallow."""
        depth_s = self._slack_s * self._tuning.depth
        lacking = (depth_s - self.backlog_s) / self._tuning.settle_s
        return self._slots * max(_LEAST_ROOM, min(_MOST_ROOM, lacking + 1))
