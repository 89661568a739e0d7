"""Rate at which a queue has been served lately."""

import math
from typing import Final

_WINDOW_S: Final = 10.0
_SHORTEST_S: Final = 0.1
_LONGEST_S: Final = 60.0


class DrainRate:
    """Cost that left a queue in a fading window of ten seconds.

    Feed ``add`` with the cost of each started call; ``wait_s`` tells how
    long the given cost will take at that rate.
    """

    def __init__(self) -> None:
        self._left = 0.0
        self._at = 0.0

    def add(self, cost: float, now: float) -> None:
        """Record a started call."""
        self._left = self._faded(now) + cost
        self._at = now

    def wait_s(self, cost: float, now: float) -> float:
        """Return the time to serve a cost, from 0.1 to 60 seconds."""
        rate = self._faded(now) / _WINDOW_S
        if not rate:
            return _SHORTEST_S if not cost else _LONGEST_S
        return min(max(cost / rate, _SHORTEST_S), _LONGEST_S)

    def _faded(self, now: float) -> float:
        return self._left * math.exp((self._at - now) / _WINDOW_S)
