"""Clocks; ``now`` keeps counting while the host is suspended."""

import time


def now() -> float:
    """Return seconds since the host booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return Unix time in milliseconds."""
    return int(time.time() * 1000)
