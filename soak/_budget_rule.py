"""The allowance for repeats at a service, in windows that slide."""

import bisect
import dataclasses
from collections.abc import Iterable
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """How many repeats a service may get in a window."""

    ratio: float = 0.2
    """Repeats for each request."""

    window_s: float = 10
    """Length of a window in seconds."""

    slack: float = 50
    """Repeats besides."""


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A window of a service, counted."""

    service: str
    """Service at which the repeats arrived."""

    end: float
    """Time of its last repeat."""

    repeats: int
    """Arrivals that were not the first."""

    allowed: float
    """Repeats that it may hold."""

    @property
    def excess(self) -> float:
        """Repeats over what is allowed; negative if there are fewer."""
        return self.repeats - self.allowed


class BudgetRule:
    """Counts arrivals at endpoints, and the requests that callers sent."""

    def __init__(self, allowance: Allowance) -> None:
        self._allowance: Final = allowance
        self._requests: dict[str, list[float]] = {}
        self._repeats: dict[str, list[float]] = {}
        self._arrived: set[tuple[str, str]] = set()

    def sent(self, at: float, services: Iterable[str]) -> None:
        """Count a caller's request whose route leads to these services."""
        for service in set(services):
            bisect.insort(self._requests.setdefault(service, []), at)

    def arrived(
        self, at: float, service: str, unit: str, *, by_repeat: bool = False
    ) -> None:
        """Count an arrival, also of a request that is then rejected.

        ``unit`` names a request or a piece of it; ``by_repeat`` is whether a
        run that was a repeat itself has sent it.
        """
        if by_repeat or (service, unit) in self._arrived:
            bisect.insort(self._repeats.setdefault(service, []), at)
        self._arrived.add((service, unit))

    def worst(self) -> list[Window]:
        """Return the window with the largest excess of each service."""
        return [
            max(
                (self._window(service, end) for end in repeats),
                key=lambda window: window.excess,
            )
            for service, repeats in sorted(self._repeats.items())
        ]

    def _window(self, service: str, end: float) -> Window:
        length_s = self._allowance.window_s
        requests = max(
            self._count(self._requests, service, end - earlier_s)
            for earlier_s in (0, length_s / 2, length_s)
        )
        allowed = self._allowance.ratio * requests + self._allowance.slack
        repeats = self._count(self._repeats, service, end)
        return Window(service, end, repeats, allowed)

    def _count(
        self, times: dict[str, list[float]], service: str, end: float
    ) -> int:
        found = times.get(service, [])
        first = bisect.bisect_right(found, end - self._allowance.window_s)
        return bisect.bisect_right(found, end) - first
