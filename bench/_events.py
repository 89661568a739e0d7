"""Virtual time for experiments: one queue of timed callbacks."""

import heapq
import itertools
import math
from collections.abc import Callable


class EventQueue:
    """Runs callbacks in the order of their times, ties as scheduled.

    Schedule the first callbacks with ``at`` or ``after``, then call
    ``run``; callbacks read ``now`` and schedule further ones.
    """

    def __init__(self, now: float = 0) -> None:
        self._now = now
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._now

    def at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Call back at a time; a time in the past means now."""
        due = max(time_s, self._now)
        heapq.heappush(self._heap, (due, next(self._order), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a delay in seconds."""
        self.at(self._now + delay_s, callback)

    def every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Call back periodically; ends with the time limit of ``run``."""

        def tick() -> None:
            callback()
            self.after(period_s, tick)

        self.after(period_s, tick)

    def run(self, until_s: float = math.inf) -> None:
        """Run callbacks until none is left or the time is reached."""
        while self._heap and self._heap[0][0] <= until_s:
            due, _, callback = heapq.heappop(self._heap)
            self._now = due
            callback()
