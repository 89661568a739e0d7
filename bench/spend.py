"""Use of credits that expire, for two providers and own endpoints.

The fast provider is dear and expires first, the slow one is cheap; own
endpoints cost no credits but are few. Demand follows the hour of the day
and a level that nobody knows beforehand. Some requests need a fast
endpoint, others any; some may wait for a day. Entries split the credits
evenly, know only their own spend, and are replaced now and then.
"""

import dataclasses
import math
import random
import statistics
from collections.abc import Iterator
from typing import Final

from bench import _providers
from lentilspool import limits

_HOUR_S: Final = 3600.0
_DAY_S: Final = 24 * _HOUR_S
_TICK_S: Final = 600.0
_DAYS: Final = 30
_WAITING_SHARE: Final = 0.4
_FAST_SHARE: Final = 0.15


_PROVIDERS: Final = (
    _providers.Provider('fast', 2, fast=True, part=0.3, days=12),
    _providers.Provider('cheap', 1, fast=False, part=0.4, days=_DAYS),
)


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
    arms: tuple[tuple[str, bool, tuple[_providers.Provider, ...]], ...] = (
        ('unpaced', False, _PROVIDERS),
        ('cheapest_first', False, by_price),
        ('lentilspool', True, _PROVIDERS),
    )
    for name, paced, order in arms:
        fleet = _providers.Fleet(dict(amounts))
        trial = _Trial(fleet, amounts, entries, order, paced, parameters)
        trial.run(requests, rate / 3, restarts, random.Random(seed))
        yield {
            'arm': name,
            'seed': seed,
            'requests': len(requests),
            'demand_level': round(level, 4),
            **_figures(fleet, amounts, len(requests)),
        }


def _demand(rate: float, rng: random.Random) -> list[_providers.Request]:
    """Return arrivals with a daily cycle around ``rate`` an hour."""
    requests: list[_providers.Request] = []
    now = 0.0
    while now < _DAYS * _DAY_S:
        hour = math.sin(2 * math.pi * now / _DAY_S)
        now += rng.expovariate(rate * (1 + hour / 2) / _HOUR_S)
        waits = rng.random() < _WAITING_SHARE
        needs_fast = not waits and rng.random() < _FAST_SHARE
        work = rng.lognormvariate(-0.125, 0.5)
        due = now + _DAY_S if waits else now
        requests.append(_providers.Request(now, work, needs_fast, due))
    return requests


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    fleet: _providers.Fleet
    """What is true of the providers."""

    amounts: dict[str, float]
    """Credits by provider."""

    entries: int
    """Entries that split the credits."""

    order: tuple[_providers.Provider, ...]
    """Providers, the preferred first."""

    paced: bool
    """Whether spend is paced."""

    parameters: dict[str, float]
    """Policy parameters."""

    def run(
        self,
        requests: list[_providers.Request],
        own_rate: float,
        restarts: float,
        rng: random.Random,
    ) -> None:
        """Serve the requests; ``own_rate`` is own work for an hour."""
        entries = [
            _providers.Entry(self._pacer(0), self.fleet, self.order)
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
        entries: list[_providers.Entry],
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
        kind = limits.SpendPacer if self.paced else limits.UnpacedSpend
        return kind(held, self.parameters, now)


def _mean_progress(
    entries: list[_providers.Entry], leaving: _providers.Entry
) -> dict[str, float]:
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
    fleet: _providers.Fleet, amounts: dict[str, float], requests: int
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
