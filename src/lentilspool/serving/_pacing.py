"""Paces the requests to endpoints that state how many a second they take.

Load pattern: a few overloaded endpoints get the full load of all gateways, which
each know only what they sent themselves.
"""

from typing import Final

# Seconds by which requests may come before their turn, so that the requests of
# a high limit need not be spaced evenly.
_BURST_S: Final = 0.25
# An endpoint that gets nothing cannot state that its limit has ended.
_MIN_RATE_PER_S: Final = 0.2
# Requests that were counted late delay others for at most so long.
_MAX_DEBT_S: Final = 5.0
# Longest time after which a refused caller is told to come back.
_MAX_RETURN_S: Final = 10.0


def rate_per_s(limit_per_s: float) -> float:
    """Return the rate at which requests are sent to an endpoint."""
    return max(limit_per_s, _MIN_RATE_PER_S)


class RequestPacer:
    """Spaces requests to endpoints, named by incarnation, by their limits.

    ``totals`` counts the requests that this process has sent or granted. Other
    processes tell theirs, which ``merge_totals`` counts as well, so that two
    processes that grant at the same time keep the limit together.
    """

    def __init__(self) -> None:
        self.totals: dict[str, int] = {}
        # When the next request is due if all so far were spaced evenly.
        self._due_at: dict[str, float] = {}
        # Totals by process and incarnation, as last told.
        self._told: dict[tuple[str, str], int] = {}

    def next_at(self, name: str, now: float) -> float:
        """Return when another request may be sent, which may have passed."""
        return self._due_at.get(name, now) - _BURST_S

    def record_sent(self, name: str, limit_per_s: float, now: float) -> None:
        """Count a request that this process has sent or granted."""
        self.totals[name] = self.totals.get(name, 0) + 1
        self._advance(name, 1 / rate_per_s(limit_per_s), now)

    def merge_total(
        self,
        process: str,
        name: str,
        total: int,
        limit_per_s: float,
        now: float,
    ) -> None:
        """Count the requests that another process has sent or granted."""
        # Earlier requests of a process that was not known are not counted.
        known = self._told.get((process, name), total - 1)
        self._told[process, name] = max(total, known)
        if total > known:
            spaced_s = (total - known) / rate_per_s(limit_per_s)
            self._advance(name, spaced_s, now)

    def change_limit(
        self, name: str, old_per_s: float, new_per_s: float, now: float
    ) -> None:
        """Space the requests that were counted before by a changed limit."""
        owed_s = self._due_at.get(name, now) - now
        if owed_s > 0:
            scaled_s = owed_s * rate_per_s(old_per_s) / rate_per_s(new_per_s)
            self._due_at[name] = now + min(scaled_s, _MAX_DEBT_S)

    def end_limit(self, name: str) -> None:
        """Space the requests to an endpoint no longer."""
        self._due_at.pop(name, None)

    def forget(self, name: str) -> None:
        """Forget an endpoint."""
        self.end_limit(name)
        self.totals.pop(name, None)
        self._told = {
            key: total for key, total in self._told.items() if key[1] != name
        }

    def _advance(self, name: str, seconds: float, now: float) -> None:
        due_at = max(self._due_at.get(name, now), now) + seconds
        self._due_at[name] = min(due_at, now + _MAX_DEBT_S)


class ReturnTimes:
    """Spreads the times at which refused callers of a service come back.

    Callers that are all told the same time would be refused again, but for one.
    """

    def __init__(self) -> None:
        self._next_at: dict[str, float] = {}

    def next_s(
        self, service: str, free_s: float, rate: float, now: float
    ) -> float:
        """Return the seconds after which the next refused caller comes back.

        ``free_s`` is when the first place is free, ``rate`` how many are free
        in a second after that.
        """
        return_at = max(self._next_at.get(service, now), now + free_s)
        return_s = min(return_at - now, _MAX_RETURN_S)
        self._next_at[service] = now + return_s + 1 / rate
        return return_s
