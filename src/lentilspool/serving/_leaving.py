"""Endpoints that state that they leave.

Load pattern: an endpoint is about to end while the store lists it as ready, or
cannot be read, so that its answers are the only sign.
"""

from collections.abc import Container, Iterable
from typing import Final

# Seconds for which the statement of an endpoint that is not listed is kept.
_KEEP_S: Final = 600.0
# Seconds for which a statement is told at once; afterwards from time to time.
_RECENT_S: Final = 2.0
# Statements in one message between gateways.
_MAX_TOLD: Final = 100
# Share of the time that an endpoint goes on serving for which it may get work if
# there is no other.
_LAST_RESORT_SHARE: Final = 0.5


class LeavingEndpoints:
    """Incarnations of endpoints that leave, and when that was learnt."""

    def __init__(self, serves_s: float) -> None:
        self._last_resort_s = serves_s * _LAST_RESORT_SHARE
        self._learnt_at: dict[str, float] = {}

    @property
    def incarnations(self) -> frozenset[str]:
        """Endpoints that leave."""
        return frozenset(self._learnt_at)

    def last_resorts(self, now: float) -> frozenset[str]:
        """Return those that may get work if there is no other endpoint."""
        return frozenset(
            name
            for name, learnt_at in self._learnt_at.items()
            if now - learnt_at < self._last_resort_s
        )

    def merge(self, incarnations: Iterable[str], now: float) -> list[str]:
        """Record endpoints that leave; return those that are new."""
        new = [name for name in incarnations if name not in self._learnt_at]
        self._learnt_at.update(dict.fromkeys(new, now))
        return new

    def told(self, now: float, *, everything: bool) -> tuple[str, ...]:
        """Return the latest, or all, that other processes are told."""
        told = [
            name
            for name, learnt_at in self._learnt_at.items()
            if everything or now - learnt_at < _RECENT_S
        ]
        return tuple(told[-_MAX_TOLD:])

    def forget_unlisted(self, listed: Container[str], now: float) -> None:
        """Forget endpoints that have been gone for long."""
        self._learnt_at = {
            name: learnt_at
            for name, learnt_at in self._learnt_at.items()
            if name in listed or now - learnt_at < _KEEP_S
        }
