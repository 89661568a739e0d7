"""Work of admitted requests at one pool, by due time."""

import bisect
import math
from typing import Final

_BUCKET_WIDTHS_S: Final = ((8.0, 0.125), (32.0, 1.0), (math.inf, 8.0))


class BookedWork:
    """Admitted work that has not ended, in seconds of one slot.

    Work is grouped into buckets by due time. Buckets are an eighth of a
    second wide for work due within 8 s, one second wide up to 32 s, and
    8 s wide beyond. ``add`` returns the bucket to pass to ``release``.
    """

    def __init__(self) -> None:
        self._buckets: list[float] = []
        self._work_s: dict[float, float] = {}
        self._calls: dict[float, int] = {}
        self._total_s = 0.0
        self._total_calls = 0

    @property
    def total_s(self) -> float:
        """All booked work, in seconds of one slot."""
        return self._total_s

    def add(self, work_s: float, due: float, now: float) -> float:
        """Book the work of one call; return its bucket for ``release``."""
        bucket = _bucket(due, now)
        if bucket not in self._calls:
            bisect.insort(self._buckets, bucket)
            self._work_s[bucket] = 0
            self._calls[bucket] = 0
        self._work_s[bucket] += work_s
        self._calls[bucket] += 1
        self._total_s += work_s
        self._total_calls += 1
        return bucket

    def release(self, work_s: float, bucket: float) -> None:
        """Remove the work of one call from its bucket."""
        self._work_s[bucket] -= work_s
        self._calls[bucket] -= 1
        self._total_s -= work_s
        self._total_calls -= 1
        if not self._calls[bucket]:
            self._buckets.remove(bucket)
            self._work_s.pop(bucket)
            self._calls.pop(bucket)
        if not self._total_calls:
            self._total_s = 0

    def wait_s(self, due: float, slots: float) -> float:
        """Return how long a call waits for work that is due before it.

        Assumes that all calls ahead are of their mean size. As many of
        them as there are slots run at once, and the others delay the call.
        """
        if not self._total_calls or self._total_calls + 1 <= slots:
            return 0
        ahead = self._buckets[: bisect.bisect_right(self._buckets, due)]
        calls = sum(self._calls[bucket] for bucket in ahead)
        if not calls or calls + 1 <= slots:
            return 0
        work_s = sum(self._work_s[bucket] for bucket in ahead)
        return work_s / calls * (calls + 1 - slots) / slots

    def fits(self, work_s: float, due: float, slots: float, now: float) -> bool:
        """Return whether work can be added without any work being late.

        Assumes that the slots serve all work in the order of due times.
        """
        if work_s + self._total_s <= slots * (due - now):
            return True
        position = bisect.bisect_right(self._buckets, due)
        earlier_s = sum(
            self._work_s[earlier] for earlier in self._buckets[:position]
        )
        needed_s = work_s + earlier_s
        if needed_s > slots * (due - now):
            return False
        for bucket in self._buckets[position:]:
            needed_s += self._work_s[bucket]
            if needed_s > slots * (bucket - now):
                return False
        return True


def _bucket(due: float, now: float) -> float:
    width_s = next(
        width for limit, width in _BUCKET_WIDTHS_S if due - now <= limit
    )
    return math.floor(due / width_s) * width_s
