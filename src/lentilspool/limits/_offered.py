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
_ALLOWED_REQUESTS: Final = 4.5
_LEAST_ALLOWED: Final = 1.0
_ALLOWANCE_SLOPE: Final = 0.25
_MEAN_GAIN: Final = 0.02
_SURGE_SHARE: Final = 0.25
_SURGE_FACTOR: Final = 1.3
_SURGE_REQUESTS: Final = 10.0


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
    teams. All work of a team that offers no more than its part, or a few
    requests more, is favoured. Of the others the smallest requests are
    favoured, since that completes most of them: by one common size that
    fills the parts together, unless a team would get a quarter more than
    its part; then by its own size.
    """

    def __init__(self, window_s: float, started: float) -> None:
        self._window_s = window_s
        self._epoch = started
        self._started = started
        self._teams: dict[str, _TeamWork] = {}
        self._mean_s = 0.0

    def add(self, team: str, work_s: float, now: float) -> None:
        """Record that a team offers work, in seconds of one slot."""
        self._mean_s += (work_s - self._mean_s) * _MEAN_GAIN
        exponent = (now - self._epoch) / self._window_s
        if exponent > _MAX_EXPONENT:
            self._rebase(now)
            exponent = 0
        held = self._teams.get(team)
        if held is None:
            held = _TeamWork(self._window_s * _SURGE_SHARE, now)
            self._teams[team] = held
        held.add(work_s, math.exp(exponent), now)

    def rates(self, now: float) -> dict[str, float]:
        """Return the slots that each team's offered work would fill."""
        fade = self._fade(now)
        least_s = self._mean_s * _SURGE_REQUESTS
        return {
            team: held.total * fade * held.surge(fade, least_s, now)
            for team, held in self._teams.items()
        }

    def cutoffs(
        self, slots: float, shares: Mapping[str, float], now: float
    ) -> Cutoffs:
        """Return the favoured work for a pool of ``slots``."""
        rates = self.rates(now)
        if sum(rates.values()) <= slots:
            return Cutoffs({})
        parts = self._exceeded(rates, shares, slots)
        if not parts:
            return Cutoffs({})
        sizes = {team: self._sizes(team, rates[team]) for team in parts}
        common = _cutoff(_merged(sizes.values()), sum(parts.values()))
        by_team: dict[str, float] = {}
        for team, part in parts.items():
            own = _cutoff(sizes[team], part * _TOLERANCE)
            by_team[team] = BUCKET_RATIO ** min(common, own)
        return Cutoffs(by_team)

    def _exceeded(
        self,
        rates: Mapping[str, float],
        shares: Mapping[str, float],
        slots: float,
    ) -> dict[str, float]:
        """Return the parts, in slots, of the teams that offer more."""
        level = fair_level(rates, shares, slots)
        parts = {
            team: level * shares.get(team, _DEFAULT_SHARE) for team in rates
        }
        return {
            team: part
            for team, part in parts.items()
            if rates[team] > part + self._allowance(part)
        }

    def _allowance(self, part: float) -> float:
        """Return the slots that a team may offer above its part.

        A part that holds few requests in the window needs most: there a
        few arrivals by chance look like a high rate.
        """
        one_request = max(self._mean_s, _LEAST_WORK_S) / self._window_s
        requests = _ALLOWED_REQUESTS - _ALLOWANCE_SLOPE * part / one_request
        return one_request * max(_LEAST_ALLOWED, requests)

    def _sizes(self, team: str, rate: float) -> dict[int, float]:
        """Return the slots that a team's work of each size would fill."""
        held = self._teams[team]
        factor = rate / held.total
        return {
            bucket: weight * factor for bucket, weight in held.sizes.items()
        }

    def _fade(self, now: float) -> float:
        """Return the factor from a weight to the slots that it fills."""
        age_s = now - self._started
        seen = 1 - math.exp(-max(age_s, _LEAST_AGE_S) / self._window_s)
        faded = math.exp((self._epoch - now) / self._window_s)
        return faded / (self._window_s * seen)

    def _rebase(self, now: float) -> None:
        fade = math.exp((self._epoch - now) / self._window_s)
        self._epoch = now
        for team, held in list(self._teams.items()):
            held.scale(fade)
            if held.total <= _LEAST_WORK_S:
                self._teams.pop(team)


class _TeamWork:
    """Work of one team: a histogram of sizes, and a short window's rate."""

    def __init__(self, short_s: float, now: float) -> None:
        self.sizes: dict[int, float] = {}
        self.total = 0.0
        self._short_s = short_s
        self._short = 0.0
        self._at = now

    def add(self, work_s: float, gain: float, now: float) -> None:
        """Add work, multiplied by ``gain`` in the histogram."""
        bucket = math.floor(math.log(max(work_s, _LEAST_WORK_S)) / _LOG_RATIO)
        self.sizes[bucket] = self.sizes.get(bucket, 0) + work_s * gain
        self.total += work_s * gain
        self._short = self._faded(now) + work_s
        self._at = now

    def surge(self, fade: float, least_s: float, now: float) -> float:
        """Return the factor by which the short window is ahead, or one."""
        short = self._faded(now)
        factor = short / self._short_s / max(self.total * fade, _LEAST_WORK_S)
        return factor if short > least_s and factor > _SURGE_FACTOR else 1

    def scale(self, factor: float) -> None:
        """Multiply the histogram, and drop what has faded."""
        self.sizes = {
            bucket: weight * factor
            for bucket, weight in self.sizes.items()
            if weight * factor > _LEAST_WORK_S
        }
        self.total = sum(self.sizes.values())

    def _faded(self, now: float) -> float:
        return self._short * math.exp((self._at - now) / self._short_s)


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


def _merged(parts: Iterable[dict[int, float]]) -> dict[int, float]:
    merged: dict[int, float] = {}
    for sizes in parts:
        for bucket, rate in sizes.items():
            merged[bucket] = merged.get(bucket, 0) + rate
    return merged


def _cutoff(sizes: Mapping[int, float], part: float) -> float:
    """Return the position among the buckets below which ``part`` lies."""
    left = part
    for bucket in sorted(sizes):
        if sizes[bucket] > left:
            return bucket + left / sizes[bucket]
        left -= sizes[bucket]
    return max(sizes) + 1
