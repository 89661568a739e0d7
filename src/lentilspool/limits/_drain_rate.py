"""Recent rate at which calls have left a queue."""

import math
from typing import Final

_WINDOW_S: Final = 10.0
_MIN_WAIT_S: Final = 0.1
_MAX_WAIT_S: Final = 60.0


class DrainRate:
    """Cost per second that left a queue, averaged over ten seconds.

    The average decays exponentially. Pass the cost of each started call to
    ``add``; ``wait_s`` returns how long a given cost takes at that rate.
    """

    def __init__(self) -> None:
        self._drained_cost = 0.0
        self._updated = 0.0

    def add(self, cost: float, now: float) -> None:
        """Record the cost of a started call, in seconds of one slot."""
        self._drained_cost = self._decayed_cost(now) + cost
        self._updated = now

    def wait_s(self, cost: float, now: float) -> float:
        """Return the expected time to serve ``cost``, from 0.1 to 60 s."""
        rate = self._decayed_cost(now) / _WINDOW_S
        if not rate:
            return _MIN_WAIT_S if not cost else _MAX_WAIT_S
        return min(max(cost / rate, _MIN_WAIT_S), _MAX_WAIT_S)

    def _decayed_cost(self, now: float) -> float:
        return self._drained_cost * math.exp((self._updated - now) / _WINDOW_S)
