"""Clocks, and detection of pauses of the process."""

import time
from typing import Protocol


class Clock(Protocol):
    """Time source for code with I/O; decision code receives ``now`` instead."""

    def monotonic_s(self) -> float:
        """Return seconds of a clock that never goes backwards."""
        ...

    def wall_s(self) -> float:
        """Return Unix seconds; the clock may be set forward or back."""
        ...


class SystemClock:
    """``Clock`` that reads the clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Return ``time.monotonic``."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return ``time.time``."""
        return time.time()


class PauseDetector:
    """Detects that the process was paused for longer than ``limit_s``.

    Call ``measure_pause`` from a periodic task that runs several times within
    ``limit_s``, usually the length of a lease, and before acting on the
    lease: a longer gap between two calls means that it may have ended
    unnoticed.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self._limit_s = limit_s
        self._last_beat_at = now
        self._pauses = 0

    @property
    def pause_count(self) -> int:
        """Number of pauses detected so far."""
        return self._pauses

    def measure_pause(self, now: float) -> float:
        """Record a call; return the seconds of a pause since the last, or 0."""
        gap_s = now - self._last_beat_at
        self._last_beat_at = now
        if gap_s <= self._limit_s:
            return 0
        self._pauses += 1
        return gap_s
