"""Clocks, and detection of a process that was paused."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for shells; decision code takes ``now`` instead."""

    def monotonic_s(self) -> float:
        """Return seconds that never step back."""
        ...

    def wall_s(self) -> float:
        """Return seconds since the epoch; may step."""
        ...


class MonotonicClock:
    """The clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Return ``time.monotonic``."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return ``time.time``."""
        return time.time()


class PauseDetector:
    """Reports a gap in a loop that should beat more often than a lease.

    Call ``beat`` from a periodic task and before acting on a lease. The
    return value is the length of the pause in seconds, or zero.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self._limit_s = limit_s
        self._last = now
        self._pauses = 0

    @property
    def pauses(self) -> int:
        """Number of pauses seen since the start."""
        return self._pauses

    def beat(self, now: float) -> float:
        """Record that the loop runs; return the pause since the last beat."""
        gap_s = now - self._last
        self._last = now
        if gap_s <= self._limit_s:
            return 0
        self._pauses += 1
        return gap_s
