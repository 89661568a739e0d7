"""Entries that charge requests to providers, for the spend experiment."""

import collections
import dataclasses
from typing import Final

from lentilspool import limits

_SOON_S: Final = 7200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Provider:
    """A provider and its credits."""

    name: str
    """Name of the provider."""

    price: float
    """Credits for one unit of work."""

    fast: bool
    """Whether its endpoints serve requests that need a fast one."""

    part: float
    """Work that its credits pay for, as a part of the expected demand."""

    days: int
    """Days until its credits expire."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request."""

    arrival: float
    """Time of arrival, in seconds."""

    work: float
    """Units of work."""

    needs_fast: bool
    """Whether only a fast endpoint is in time."""

    due: float
    """Time until which it may be started, in seconds."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """What is left at the providers."""

    """What is true of the providers, which entries cannot see."""

    left: dict[str, float]
    """Credits that are left."""

    own_room: float = 0
    """Work that own endpoints can still take in this period."""

    met: int = 0
    """Requests served in time."""

    emptied: dict[str, float] = dataclasses.field(default_factory=dict)
    """Time at which a provider had no credits left, in seconds."""


class Entry:
    """One entry: its pacer, and the requests that wait at it."""

    def __init__(
        self,
        pacer: limits.SpendPolicy,
        fleet: Fleet,
        order: tuple[Provider, ...],
    ) -> None:
        self.pacer = pacer
        self.waiting: collections.deque[Request] = collections.deque()
        self._fleet = fleet
        self._order = order

    def arrive(self, request: Request, now: float) -> None:
        """Serve a request, let it wait, or refuse it."""
        if request.due > now and not self._wanted(now):
            self.waiting.append(request)
        else:
            self._serve(request, now)

    def work_off(self, now: float) -> None:
        """Serve waiting requests that are wanted or soon due."""
        kept: collections.deque[Request] = collections.deque()
        while self.waiting:
            request = self.waiting.popleft()
            soon = request.due - now < _SOON_S
            served = (soon or self._wanted(now)) and self._serve(request, now)
            if not served and request.due > now:
                kept.append(request)
        self.waiting = kept

    def _wanted(self, now: float) -> bool:
        return any(
            self.pacer.pressure(provider.name, now) > 1
            for provider in self._order
        )

    def _serve(self, request: Request, now: float) -> bool:
        """Try the provider under most pressure first, then own endpoints."""
        ranked = sorted(
            self._order,
            key=lambda one: -self.pacer.pressure(one.name, now),
        )
        behind = [
            one for one in ranked if self.pacer.pressure(one.name, now) >= 1
        ]
        ahead = [one for one in ranked if one not in behind]
        for provider in behind:
            if self._charge(provider, request, now):
                return True
        if self._fleet.own_room >= request.work:
            self._fleet.own_room -= request.work
            self._fleet.met += 1
            return True
        return any(self._charge(one, request, now) for one in ahead)

    def _charge(self, provider: Provider, request: Request, now: float) -> bool:
        cost = request.work * provider.price
        if request.needs_fast and not provider.fast:
            return False
        if not self.pacer.allow(provider.name, cost, now):
            return False
        if self._fleet.left[provider.name] < cost:
            self._fleet.emptied.setdefault(provider.name, now)
            return False
        self._fleet.left[provider.name] -= cost
        self._fleet.met += 1
        self.pacer.record(provider.name, cost, now)
        return True
