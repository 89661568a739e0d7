"""Work offered to one pool, by team and size, in a fading window."""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Final

BUCKET_RATIO: Final = 1.1
_LOG_RATIO: Final = math.log(BUCKET_RATIO)
_MAX_EXPONENT: Final = 30.0
_LEAST_WORK_S: Final = 1e-6
_LEAST_AGE_S: Final = 0.05
_DEFAULT_SHARE: Final = 1.0
_TOLERANCE: Final = 1.25
_SURGE_SHARE: Final = 0.25
_SURGE_FACTOR: Final = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Cutoffs:
    """Which work is favoured while a pool is offered too much."""

    by_team: Mapping[str, float]
    """Size in seconds from which work of a team above its share is not."""

    def favours(self, team: str, work_s: float) -> bool:
        """Tell whether the work is inside its team's share."""
        cutoff_s = self.by_team.get(team)
        return cutoff_s is None or work_s < cutoff_s

    def dump(self) -> dict[str, float]:
        """Return the cutoffs as plain JSON types."""
        return {
            team: round(cutoff_s, 3)
            for team, cutoff_s in sorted(self.by_team.items())
        }


class OfferedWork:
    """Fading histogram of the work that teams offer to a pool.

    ``cutoffs`` splits the pool's capacity by max-min fairness over the
    teams. All work of a team that offers no more than its part is favoured.
    Of the others the smallest requests are favoured, since that completes
    most of them: by one common size that fills the parts together, unless
    a team would get a quarter more than its part; then by its own size.
    """

    def __init__(self, window_s: float, started: float) -> None:
        self._window_s = window_s
        self._epoch = started
        self._started = started
        self._teams: dict[str, dict[int, float]] = {}
        self._surge = _Surge(window_s * _SURGE_SHARE, started)

    def add(self, team: str, work_s: float, now: float) -> None:
        """Record that a team offers work, in seconds of one slot."""
        self._surge.add(work_s, now)
        exponent = (now - self._epoch) / self._window_s
        if exponent > _MAX_EXPONENT:
            self._rebase(now)
            exponent = 0
        sizes = self._teams.setdefault(team, {})
        bucket = math.floor(math.log(max(work_s, _LEAST_WORK_S)) / _LOG_RATIO)
        gain = work_s * math.exp(exponent)
        sizes[bucket] = sizes.get(bucket, 0) + gain

    def rates(self, now: float) -> dict[str, float]:
        """Return the slots that each team's offered work would fill.

        All are scaled up while a shorter window shows a sudden increase.
        """
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
        parts = {
            team: level * shares.get(team, _DEFAULT_SHARE) / fade
            for team, rate in rates.items()
            if rate > level * shares.get(team, _DEFAULT_SHARE)
        }
        common = _cutoff(self._merged(parts), sum(parts.values()))
        by_team: dict[str, float] = {}
        for team, part in parts.items():
            own = _cutoff(self._teams[team], part * _TOLERANCE)
            by_team[team] = BUCKET_RATIO ** min(common, own)
        return Cutoffs(by_team)

    def _merged(self, teams: Iterable[str]) -> dict[int, float]:
        merged: dict[int, float] = {}
        for team in teams:
            for bucket, weight in self._teams[team].items():
                merged[bucket] = merged.get(bucket, 0) + weight
        return merged

    def _fade(self, now: float) -> float:
        """Return the factor from a weight to the slots that it fills."""
        age_s = now - self._started
        seen = 1 - math.exp(-max(age_s, _LEAST_AGE_S) / self._window_s)
        faded = math.exp((self._epoch - now) / self._window_s)
        fade = faded / (self._window_s * seen)
        total = sum(sum(sizes.values()) for sizes in self._teams.values())
        surge = self._surge.rate(now) / max(total * fade, _LEAST_WORK_S)
        return fade * (surge if surge > _SURGE_FACTOR else 1)

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


class _Surge:
    """Rate of work over a short fading window."""

    def __init__(self, window_s: float, started: float) -> None:
        self._window_s = window_s
        self._weight = 0.0
        self._at = started

    def add(self, work_s: float, now: float) -> None:
        self._weight = self.rate(now) * self._window_s + work_s
        self._at = now

    def rate(self, now: float) -> float:
        """Return the slots that the work of the window would fill."""
        fade = math.exp((self._at - now) / self._window_s)
        return self._weight * fade / self._window_s


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


def _cutoff(sizes: Mapping[int, float], part: float) -> float:
    """Return the position among the buckets below which ``part`` lies."""
    left = part
    for bucket in sorted(sizes):
        if sizes[bucket] > left:
            return bucket + left / sizes[bucket]
        left -= sizes[bucket]
    return max(sizes) + 1
