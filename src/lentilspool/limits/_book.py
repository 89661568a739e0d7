"""Work of admitted requests at one pool, by the time at which it is due."""

import collections
import math
from collections.abc import Iterator
from typing import Final

_BUCKET_S: Final = 0.125
_HORIZON_BUCKETS: Final = 160


class WorkBook:
    """Admitted work that has not ended, in seconds of one slot.

    Work is held by due time in buckets of an eighth of a second; all that
    is due later than 20 s from now counts as due then. ``fits`` tells
    whether a request can be served in the order of due times without
    making a request that was admitted before it late.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, float] = {}
        self._counts: collections.Counter[int] = collections.Counter()

    @property
    def total_s(self) -> float:
        """All booked work."""
        return sum(self._buckets.values())

    def add(self, work_s: float, due: float) -> None:
        """Book the work of one call."""
        bucket = math.floor(due / _BUCKET_S)
        self._buckets[bucket] = self._buckets.get(bucket, 0) + work_s
        self._counts[bucket] += 1

    def release(self, work_s: float, due: float) -> None:
        """Take back work that was booked with the same arguments."""
        bucket = math.floor(due / _BUCKET_S)
        self._buckets[bucket] -= work_s
        self._counts[bucket] -= 1
        if not self._counts[bucket]:
            self._buckets.pop(bucket)
            self._counts.pop(bucket)

    def ahead_s(self, due: float) -> float:
        """Return the work that is due at the given time or before."""
        return sum(
            work_s
            for bucket, work_s in self._buckets.items()
            if bucket * _BUCKET_S <= due
        )

    def wait_s(self, due: float, slots: float) -> float:
        """Return how long a call waits for the work that is due before it.

        Calls of their mean size fill the slots; the rest are in its way.
        """
        calls = sum(
            count
            for bucket, count in self._counts.items()
            if bucket * _BUCKET_S <= due
        )
        if not calls or calls + 1 <= slots:
            return 0
        return self.ahead_s(due) / calls * (calls + 1 - slots) / slots

    def fits(self, work_s: float, due: float, slots: float, now: float) -> bool:
        """Tell whether work can be added without making other work late."""
        needed_s = work_s + self.ahead_s(due)
        if needed_s > slots * (due - now):
            return False
        for bucket, booked_s in self._after(due, now):
            needed_s += booked_s
            if needed_s > slots * (bucket * _BUCKET_S - now):
                return False
        return True

    def _after(self, due: float, now: float) -> Iterator[tuple[int, float]]:
        first = math.floor(due / _BUCKET_S)
        horizon = math.floor(now / _BUCKET_S) + _HORIZON_BUCKETS
        beyond_s = 0.0
        for bucket in sorted(self._buckets):
            if bucket > max(first, horizon):
                beyond_s += self._buckets[bucket]
            elif bucket > first:
                yield bucket, self._buckets[bucket]
        if beyond_s:
            yield max(first, horizon), beyond_s
