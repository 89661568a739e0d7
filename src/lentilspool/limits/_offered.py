"""Work offered to one pool, by team and size, in a fading window."""

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

_BUCKET_RATIO: Final = 1.1
_LOG_RATIO: Final = math.log(_BUCKET_RATIO)
_MAX_EXPONENT: Final = 30.0
_LEAST_WORK_S: Final = 1e-6
_LEAST_AGE_S: Final = 0.05
_DEFAULT_SHARE: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cutoffs:
    """Which work is favoured while a pool is offered too much."""

    by_team: Mapping[str, int]
    """First size bucket that is not favoured, for teams above a share."""

    overloaded: bool = False
    """Whether more work is offered than the pool can do."""

    def favours(self, team: str, work_s: float) -> bool:
        """Tell whether the work is inside its team's share."""
        cutoff = self.by_team.get(team)
        return cutoff is None or bucket_of(work_s) < cutoff

    def dump(self) -> dict[str, float]:
        """Return the size in seconds from which work is not favoured."""
        return {
            team: round(_BUCKET_RATIO**cutoff, 3)
            for team, cutoff in sorted(self.by_team.items())
        }


class OfferedWork:
    """Fading histogram of the work that teams offer to a pool.

    ``cutoffs`` splits the pool's capacity by max-min fairness over the
    teams. A team that offers more than its part has its smallest requests
    favoured, as many as its part can do, since that completes most of them.
    """

    def __init__(self, window_s: float, started: float) -> None:
        self._window_s = window_s
        self._epoch = started
        self._started = started
        self._teams: dict[str, dict[int, float]] = {}

    def add(self, team: str, work_s: float, now: float) -> None:
        """Record that a team offers work, in seconds of one slot."""
        exponent = (now - self._epoch) / self._window_s
        if exponent > _MAX_EXPONENT:
            self._rebase(now)
            exponent = 0
        sizes = self._teams.setdefault(team, {})
        bucket = bucket_of(work_s)
        gain = work_s * math.exp(exponent)
        sizes[bucket] = sizes.get(bucket, 0) + gain

    def rates(self, now: float) -> dict[str, float]:
        """Return the slots that each team's offered work would fill."""
        fade = self._fade(now)
        return {
            team: sum(sizes.values()) * fade
            for team, sizes in self._teams.items()
        }

    def cutoffs(
        self, slots: float, shares: Mapping[str, float], now: float
    ) -> Cutoffs:
        """Return the favoured work for a pool of ``slots``."""
        rates = self.rates(now)
        if sum(rates.values()) <= slots:
            return Cutoffs({})
        level = fair_level(rates, shares, slots)
        fade = self._fade(now)
        by_team: dict[str, int] = {}
        for team, rate in rates.items():
            part = level * shares.get(team, _DEFAULT_SHARE)
            if rate > part:
                by_team[team] = _cutoff(self._teams[team], part / fade)
        return Cutoffs(by_team, overloaded=True)

    def _fade(self, now: float) -> float:
        age_s = now - self._started
        seen = 1 - math.exp(-max(age_s, _LEAST_AGE_S) / self._window_s)
        faded = math.exp((self._epoch - now) / self._window_s)
        return faded / (self._window_s * seen)

    def _rebase(self, now: float) -> None:
        fade = math.exp((self._epoch - now) / self._window_s)
        rebased: dict[str, dict[int, float]] = {}
        for team, sizes in self._teams.items():
            kept = {
                bucket: weight * fade
                for bucket, weight in sizes.items()
                if weight * fade > _LEAST_WORK_S
            }
            if kept:
                rebased[team] = kept
        self._teams = rebased
        self._epoch = now


def fair_level(
    rates: Mapping[str, float], shares: Mapping[str, float], slots: float
) -> float:
    """Return the level of max-min fairness, in slots for a share of one.

    Each team gets the lesser of its rate and level times share; together
    they fill ``slots`` if the rates exceed it.
    """
    weights = {team: shares.get(team, _DEFAULT_SHARE) for team in rates}
    left = slots
    weight = sum(weights.values())
    ordered = sorted((rates[team] / weights[team], team) for team in rates)
    for _claim, team in ordered:
        level = left / weight
        if rates[team] > level * weights[team]:
            return level
        left -= rates[team]
        weight -= weights[team]
    return math.inf


def bucket_of(work_s: float) -> int:
    """Return the size bucket of work in seconds."""
    return math.floor(math.log(max(work_s, _LEAST_WORK_S)) / _LOG_RATIO)


def _cutoff(sizes: Mapping[int, float], part: float) -> int:
    left = part
    for bucket in sorted(sizes):
        left -= sizes[bucket]
        if left < 0:
            return bucket
    return max(sizes) + 1
