"""Backoffs that endpoints ask of single gateways.

Load pattern: endpoints shed load. One that rejects everything has nothing to do,
so it looks like the best choice for the next request.
"""

from collections.abc import Iterable
from typing import Final

# An endpoint that wants a longer backoff is asked again after this time.
_MAX_BACKOFF_S: Final = 3600.0
# Backoffs in one message between gateways.
_MAX_TOLD: Final = 100


class Backoffs:
    """Which gateway must leave which endpoint alone, and until when.

    Gateways tell their backoffs to those that may plan for them.
    """

    def __init__(self) -> None:
        # When backoffs end, by gateway and incarnation.
        self._until: dict[str, dict[str, float]] = {}

    @property
    def known(self) -> bool:
        """Whether any gateway must leave any endpoint alone."""
        return bool(self._until)

    def until(self, gateway: str, incarnation: str) -> float:
        """Return when a backoff ends, or ended; 0 if there was none."""
        backoffs = self._until.get(gateway)
        return backoffs.get(incarnation, 0) if backoffs else 0

    def incarnations(self, gateway: str, now: float) -> set[str]:
        """Return the endpoints that a gateway must leave alone."""
        backoffs = self._until.get(gateway, {})
        return {name for name, until in backoffs.items() if until > now}

    def record(
        self, gateway: str, incarnation: str, backoff_s: float, now: float
    ) -> None:
        """Record a backoff that an endpoint asks for."""
        backoffs = self._until.setdefault(gateway, {})
        until = now + min(backoff_s, _MAX_BACKOFF_S)
        backoffs[incarnation] = max(until, backoffs.get(incarnation, 0))

    def told(self, gateway: str, now: float) -> tuple[tuple[str, float], ...]:
        """Return the backoffs of a gateway with the seconds left, longest first."""
        left = [
            (name, until - now)
            for name, until in self._until.get(gateway, {}).items()
            if until > now
        ]
        return tuple(sorted(left, key=lambda one: -one[1])[:_MAX_TOLD])

    def merge(
        self, gateway: str, backoffs: Iterable[tuple[str, float]], now: float
    ) -> None:
        """Replace the backoffs of another gateway by those that it tells."""
        told = {
            name: now + min(backoff_s, _MAX_BACKOFF_S)
            for name, backoff_s in backoffs
        }
        if told:
            self._until[gateway] = told
        else:
            self._until.pop(gateway, None)

    def forget_ended(self, now: float) -> None:
        """Forget backoffs that have ended."""
        left = {
            gateway: {
                name: until for name, until in backoffs.items() if until > now
            }
            for gateway, backoffs in self._until.items()
        }
        self._until = {
            gateway: backoffs for gateway, backoffs in left.items() if backoffs
        }
