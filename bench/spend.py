"""Use of credits that expire, for two providers and own endpoints.

The fast provider is dear and expires first, the slow one is cheap; own
endpoints cost no credits but are few. Demand follows the hour of the day
and a level that nobody knows beforehand. Some requests need a fast
endpoint, others any; some may wait for a day. Entries split the credits
evenly, know only their own spend, and are replaced now and then.
"""

import collections
import dataclasses
import math
import random
import statistics
from collections.abc import Iterator
from typing import Final

from lentilspool import limits

_HOUR_S: Final = 3600.0
_DAY_S: Final = 24 * _HOUR_S
_TICK_S: Final = 600.0
_DAYS: Final = 30
_SOON_S: Final = 2 * _HOUR_S
_WAITING_SHARE: Final = 0.4
_FAST_SHARE: Final = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class _Provider:
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


_PROVIDERS: Final = (
    _Provider('fast', 2, fast=True, part=0.3, days=12),
    _Provider('cheap', 1, fast=False, part=0.4, days=_DAYS),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    arrival: float
    """Time of arrival, in seconds."""

    work: float
    """Units of work."""

    needs_fast: bool
    """Whether only a fast endpoint is in time."""

    due: float
    """Time until which it may be started, in seconds."""


@dataclasses.dataclass(slots=True)
class _Fleet:
    """What is true of the providers, which entries cannot see."""

    left: dict[str, float]
    """Credits that are left."""

    own_room: float = 0
    """Work that own endpoints can still take in this period."""

    met: int = 0
    """Requests served in time."""

    emptied: dict[str, float] = dataclasses.field(default_factory=dict)
    """Time at which a provider had no credits left, in seconds."""


class _Entry:
    """One entry: its pacer, and the requests that wait at it."""

    def __init__(
        self,
        pacer: limits.SpendPolicy,
        fleet: _Fleet,
        order: tuple[_Provider, ...],
    ) -> None:
        self.pacer = pacer
        self.waiting: collections.deque[_Request] = collections.deque()
        self._fleet = fleet
        self._order = order

    def arrive(self, request: _Request, now: float) -> None:
        """Serve a request, let it wait, or refuse it."""
        if request.due > now and not self._wanted(now):
            self.waiting.append(request)
        else:
            self._serve(request, now)

    def work_off(self, now: float) -> None:
        """Serve waiting requests that are wanted or soon due."""
        kept: collections.deque[_Request] = collections.deque()
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

    def _serve(self, request: _Request, now: float) -> bool:
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

    def _charge(
        self, provider: _Provider, request: _Request, now: float
    ) -> bool:
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


def run(
    *,
    seed: int = 1,
    entries: int = 3,
    rate: float = 40,
    spread: float = 0.15,
    restarts: float = 1,
    **parameters: float,
) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm.

    ``rate`` is the expected number of requests an hour, ``spread`` the
    range of the unknown level around it, and ``restarts`` how often an
    entry is replaced in a day.
    """
    rng = random.Random(seed)
    level = rng.uniform(1 - spread, 1 + spread)
    requests = _demand(rate * level, rng)
    expected = rate * 24 * _DAYS
    amounts = {
        one.name: one.part * one.price * expected * one.days / _DAYS
        for one in _PROVIDERS
    }
    by_price = tuple(sorted(_PROVIDERS, key=lambda one: one.price))
    arms: tuple[tuple[str, bool, tuple[_Provider, ...]], ...] = (
        ('unpaced', False, _PROVIDERS),
        ('cheapest_first', False, by_price),
        ('lentilspool', True, _PROVIDERS),
    )
    for name, paced, order in arms:
        fleet = _Fleet(dict(amounts))
        trial = _Trial(fleet, amounts, entries, order, paced, parameters)
        trial.run(requests, rate / 3, restarts, random.Random(seed))
        yield {
            'arm': name,
            'seed': seed,
            'requests': len(requests),
            'demand_level': round(level, 4),
            **_figures(fleet, amounts, len(requests)),
        }


def _demand(rate: float, rng: random.Random) -> list[_Request]:
    """Return arrivals with a daily cycle around ``rate`` an hour."""
    requests: list[_Request] = []
    now = 0.0
    while now < _DAYS * _DAY_S:
        hour = math.sin(2 * math.pi * now / _DAY_S)
        now += rng.expovariate(rate * (1 + hour / 2) / _HOUR_S)
        waits = rng.random() < _WAITING_SHARE
        needs_fast = not waits and rng.random() < _FAST_SHARE
        work = rng.lognormvariate(-0.125, 0.5)
        due = now + _DAY_S if waits else now
        requests.append(_Request(now, work, needs_fast, due))
    return requests


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    fleet: _Fleet
    """What is true of the providers."""

    amounts: dict[str, float]
    """Credits by provider."""

    entries: int
    """Entries that split the credits."""

    order: tuple[_Provider, ...]
    """Providers, the preferred first."""

    paced: bool
    """Whether spend is paced."""

    parameters: dict[str, float]
    """Policy parameters."""

    def run(
        self,
        requests: list[_Request],
        own_rate: float,
        restarts: float,
        rng: random.Random,
    ) -> None:
        """Serve the requests; ``own_rate`` is own work for an hour."""
        entries = [
            _Entry(self._pacer(0), self.fleet, self.order)
            for _ in range(self.entries)
        ]
        tick = 0.0
        chance = restarts * _TICK_S / _DAY_S
        for request in requests:
            while tick <= request.arrival:
                self.fleet.own_room = own_rate * _TICK_S / _HOUR_S
                self._tick(entries, tick, chance, rng)
                tick += _TICK_S
            rng.choice(entries).arrive(request, request.arrival)

    def _tick(
        self,
        entries: list[_Entry],
        now: float,
        chance: float,
        rng: random.Random,
    ) -> None:
        """Work off what waits, and replace entries by chance."""
        for entry in entries:
            entry.work_off(now)
            if rng.random() < chance:
                fresh = self._pacer(now)
                if isinstance(fresh, limits.SpendPacer):
                    fresh.adopt(_mean_progress(entries, entry))
                entry.pacer = fresh

    def _pacer(self, now: float) -> limits.SpendPolicy:
        held = {
            one.name: limits.Credits(
                self.amounts[one.name] / self.entries, 0, one.days * _DAY_S
            )
            for one in _PROVIDERS
        }
        kind = limits.SpendPacer if self.paced else limits.SpendUnpaced
        return kind(held, self.parameters, now)


def _mean_progress(entries: list[_Entry], leaving: _Entry) -> dict[str, float]:
    """Return the mean progress of all entries but one; none if alone."""
    known = [
        entry.pacer.progress()
        for entry in entries
        if entry is not leaving and isinstance(entry.pacer, limits.SpendPacer)
    ]
    return {
        one.name: statistics.fmean(peer[one.name] for peer in known)
        for one in _PROVIDERS
        if known
    }


def _figures(
    fleet: _Fleet, amounts: dict[str, float], requests: int
) -> dict[str, object]:
    figures: dict[str, object] = {}
    unused: list[float] = []
    short_days: list[float] = []
    for one in _PROVIDERS:
        share = fleet.left[one.name] / amounts[one.name]
        end = one.days * _DAY_S
        short_s = end - fleet.emptied.get(one.name, end)
        unused.append(share)
        short_days.append(short_s / _DAY_S)
        figures[f'unused_{one.name}'] = round(share, 4)
        figures[f'short_days_{one.name}'] = round(short_s / _DAY_S, 3)
    return {
        'attainment': round(fleet.met / requests, 4),
        'unused_credits': round(max(unused), 4),
        'short_days': round(max(short_days), 3),
        **figures,
    }
