"""Configurations of a history, and what they allow at a moment."""

import dataclasses
import math

from soak import _history


@dataclasses.dataclass(slots=True)
class Configuration:
    """One version that the operator sent."""

    version: int
    """Its number."""

    sent_at: float
    """Moment at which the operator sent it."""

    services: dict[str, str]
    """Service by route."""

    teams: tuple[str, ...]
    """Teams that have keys."""

    taken_at: float = math.inf
    """Moment at which the store acknowledged it."""


class Configurations:
    """All versions, in the order in which they were sent."""

    def __init__(self, history: _history.History) -> None:
        self._by_version: dict[int, Configuration] = {}
        for seen in history.observations:
            if isinstance(seen, _history.Configured):
                self._add(seen)

    @property
    def all(self) -> list[Configuration]:
        """All versions."""
        return list(self._by_version.values())

    def since(self, version: int, at: float) -> list[Configuration]:
        """Return the versions from one on that were sent by a moment."""
        return [
            one
            for one in self.all
            if one.version >= version and one.sent_at <= at
        ]

    def in_force(self, at: float, apply_s: float) -> int:
        """Return the newest version that must be in force; 0 for none."""
        return max(
            (one.version for one in self.all if one.taken_at + apply_s < at),
            default=0,
        )

    def _add(self, seen: _history.Configured) -> None:
        if seen.taken and seen.version in self._by_version:
            known = self._by_version[seen.version]
            known.taken_at = min(known.taken_at, seen.at)
        elif not seen.taken:
            added = Configuration(
                seen.version, seen.at, seen.services, seen.teams
            )
            self._by_version.setdefault(seen.version, added)


def services_of(configurations: list[Configuration], route: str) -> set[str]:
    """Return the services to which versions let a route go."""
    return {
        one.services[route] for one in configurations if route in one.services
    }
