"""Rests that endpoints ask of single gateways.

Load pattern: endpoints shed load. One that rejects everything has nothing to do,
so it looks like the best choice for the next request.
"""

from collections.abc import Iterable
from typing import Final

# An endpoint that wants a longer rest is asked again after this time.
_MAX_REST_S: Final = 3600.0
# Rests in one message between gateways.
_MAX_TOLD: Final = 100


class Rests:
    """Which gateway must leave which endpoint alone, and until when.

    Gateways tell their rests to those that may plan for them.
    """

    def __init__(self) -> None:
        # When rests end, by gateway and incarnation.
        self._until: dict[str, dict[str, float]] = {}

    @property
    def known(self) -> bool:
        """Whether any gateway must leave any endpoint alone."""
        return bool(self._until)

    def until(self, gateway: str, incarnation: str) -> float:
        """Return when a rest ends, or ended; 0 if there was none."""
        rests = self._until.get(gateway)
        return rests.get(incarnation, 0) if rests else 0

    def incarnations(self, gateway: str, now: float) -> set[str]:
        """Return the endpoints that a gateway must leave alone."""
        rests = self._until.get(gateway, {})
        return {name for name, until in rests.items() if until > now}

    def record(
        self, gateway: str, incarnation: str, rest_s: float, now: float
    ) -> None:
        """Record a rest that an endpoint asks for."""
        rests = self._until.setdefault(gateway, {})
        until = now + min(rest_s, _MAX_REST_S)
        rests[incarnation] = max(until, rests.get(incarnation, 0))

    def told(self, gateway: str, now: float) -> tuple[tuple[str, float], ...]:
        """Return the rests of a gateway with the seconds left, longest first."""
        left = [
            (name, until - now)
            for name, until in self._until.get(gateway, {}).items()
            if until > now
        ]
        return tuple(sorted(left, key=lambda one: -one[1])[:_MAX_TOLD])

    def merge(
        self, gateway: str, rests: Iterable[tuple[str, float]], now: float
    ) -> None:
        """Replace the rests of another gateway by those that it tells."""
        told = {name: now + min(rest_s, _MAX_REST_S) for name, rest_s in rests}
        if told:
            self._until[gateway] = told
        else:
            self._until.pop(gateway, None)

    def forget_ended(self, now: float) -> None:
        """Forget rests that have ended."""
        left = {
            gateway: {
                name: until for name, until in rests.items() if until > now
            }
            for gateway, rests in self._until.items()
        }
        self._until = {
            gateway: rests for gateway, rests in left.items() if rests
        }
