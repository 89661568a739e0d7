"""Time that goes on while the host is suspended."""

import time


def now() -> float:
    """Return seconds since the host started, with suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return Unix milliseconds."""
    return int(time.time() * 1000)
