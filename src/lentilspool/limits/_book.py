"""Work of admitted requests at one pool, by the time at which it is due."""

import bisect
import math
from typing import Final

_WIDTHS_S: Final = ((8.0, 0.125), (32.0, 1.0), (math.inf, 8.0))


class WorkBook:
    """Admitted work that has not ended, in seconds of one slot.

    Work is held in buckets by due time: eighths of a second up to 8 s from
    now, then seconds up to 32 s, then 8 s. ``add`` returns the bucket, to
    be passed to ``release``. ``fits`` tells whether a request can be served
    in the order of due times without making an admitted one late.
    """

    def __init__(self) -> None:
        self._times: list[float] = []
        self._work_s: dict[float, float] = {}
        self._calls: dict[float, int] = {}
        self._total_s = 0.0
        self._total_calls = 0

    @property
    def total_s(self) -> float:
        """All booked work."""
        return self._total_s

    def add(self, work_s: float, due: float, now: float) -> float:
        """Book the work of one call; return its bucket."""
        bucket = _bucket(due, now)
        if bucket not in self._calls:
            bisect.insort(self._times, bucket)
            self._work_s[bucket] = 0
            self._calls[bucket] = 0
        self._work_s[bucket] += work_s
        self._calls[bucket] += 1
        self._total_s += work_s
        self._total_calls += 1
        return bucket

    def release(self, work_s: float, bucket: float) -> None:
        """Take back the work of one call."""
        self._work_s[bucket] -= work_s
        self._calls[bucket] -= 1
        self._total_s -= work_s
        self._total_calls -= 1
        if not self._calls[bucket]:
            self._times.remove(bucket)
            self._work_s.pop(bucket)
            self._calls.pop(bucket)
        if not self._total_calls:
            self._total_s = 0

    def wait_s(self, due: float, slots: float) -> float:
        """Return how long a call waits for the work that is due before it.

        Calls of their mean size fill the slots; the rest are in its way.
        """
        if not self._total_calls or self._total_calls + 1 <= slots:
            return 0
        ahead = self._times[: bisect.bisect_right(self._times, due)]
        calls = sum(self._calls[bucket] for bucket in ahead)
        if not calls or calls + 1 <= slots:
            return 0
        work_s = sum(self._work_s[bucket] for bucket in ahead)
        return work_s / calls * (calls + 1 - slots) / slots

    def fits(self, work_s: float, due: float, slots: float, now: float) -> bool:
        """Tell whether work can be added without making other work late."""
        if work_s + self._total_s <= slots * (due - now):
            return True
        place = bisect.bisect_right(self._times, due)
        ahead_s = sum(self._work_s[time] for time in self._times[:place])
        needed_s = work_s + ahead_s
        if needed_s > slots * (due - now):
            return False
        for bucket in self._times[place:]:
            needed_s += self._work_s[bucket]
            if needed_s > slots * (bucket - now):
                return False
        return True


def _bucket(due: float, now: float) -> float:
    width_s = next(width for limit, width in _WIDTHS_S if due - now <= limit)
    return math.floor(due / width_s) * width_s
