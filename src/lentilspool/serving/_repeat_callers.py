"""Tells callers that come back after a refusal from those that ask anew.

Answers overload under which many requests are turned away and return: by
then they are late for certain, and must not take the place of requests that
can still be on time. Nothing in a request says that it came back, but its
caller goes on waiting for less time than callers usually do.
"""

import collections
from typing import Final

# Requests of a route that tell how long its callers wait.
_SAMPLES_PER_ROUTE: Final = 50
# Place among them, from the shortest, that stands for a new request.
_NEW_REQUEST_QUANTILE: Final = 0.8
# Callers of one route differ by this part in how long they wait.
_WAIT_SPREAD: Final = 0.16


class CallerPatience:
    """Learns by route how long callers wait for a new request."""

    def __init__(self) -> None:
        self._waits: dict[str, collections.deque[float]] = {}

    def spent_s(self, route: str, waits_s: float) -> float:
        """Return the time that a caller has surely spent before.

        ``waits_s`` is how long it goes on waiting; it is learned from too.
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
