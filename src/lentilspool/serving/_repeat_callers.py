"""Detects requests that callers repeat after a refusal.

Under overload many requests are refused and sent again. They are then
certainly late and must not displace requests that can still be on time. A
request does not say that it is a repetition, but its remaining waiting time
is shorter than is usual on its route.
"""

import collections
from typing import Final

# Number of recent requests of a route from which waits are learned.
_SAMPLES_PER_ROUTE: Final = 50
# Quantile of their waiting times that stands for a new request.
_NEW_REQUEST_QUANTILE: Final = 0.8
# Relative difference of waiting times between callers of one route.
_WAIT_SPREAD: Final = 0.16


class RepeatCallerDetector:
    """Learns for each route how long callers wait for a new request."""

    def __init__(self) -> None:
        self._waits: dict[str, collections.deque[float]] = {}

    def earlier_wait_s(self, route: str, waits_s: float) -> float:
        """Return the seconds that a caller has at least waited before.

        ``waits_s`` is how long it will still wait. It is also recorded as a
        sample of the route.
        """
        waits = self._waits.setdefault(
            route, collections.deque(maxlen=_SAMPLES_PER_ROUTE)
        )
        waits.append(waits_s)
        usual_s = sorted(waits)[int(len(waits) * _NEW_REQUEST_QUANTILE)]
        return max(usual_s * (1 - _WAIT_SPREAD) - waits_s, 0)

    def retain(self, routes: set[str]) -> None:
        """Forget routes that are no longer configured."""
        for gone in self._waits.keys() - routes:
            self._waits.pop(gone)
