"""Recent work offered to one pool, by team and size."""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Final

BUCKET_RATIO: Final = 1.1
_LOG_RATIO: Final = math.log(BUCKET_RATIO)
_MAX_EXPONENT: Final = 30.0
_MIN_WORK_S: Final = 1e-6
_MIN_AGE_S: Final = 0.05
_DEFAULT_SHARE: Final = 1.0
_OWN_CUTOFF_TOLERANCE: Final = 1.25
_MAX_EXCESS_REQUESTS: Final = 4.5
_MIN_EXCESS_REQUESTS: Final = 1.0
_EXCESS_DECREASE_PER_REQUEST: Final = 0.25
_MEAN_WORK_GAIN: Final = 0.02
_SURGE_WINDOW_SHARE: Final = 0.25
_MIN_SURGE_FACTOR: Final = 1.3
_MIN_SURGE_REQUESTS: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cutoffs:
    """Limits on the size of the calls that an overloaded pool admits."""

    by_team: Mapping[str, float]
    """Limit in seconds on the work of one call, for teams above their share."""

    def allows(self, team: str, work_s: float) -> bool:
        """Return whether the work is within its team's share."""
        cutoff_s = self.by_team.get(team)
        return cutoff_s is None or work_s < cutoff_s

    def dump(self) -> dict[str, float]:
        """Return the cutoffs as plain JSON types."""
        return {
            team: round(cutoff_s, 3)
            for team, cutoff_s in sorted(self.by_team.items())
        }


class OfferedWork:
    """Exponentially decaying histogram of the work offered to a pool.

    ``cutoffs`` allocates the slots of the pool to the teams by max-min
    fairness. All work of a team is within its share if the team offers no
    more than its allocation, or only a few requests more. Of the other
    teams, only requests below a cutoff size are, because the allocation
    completes most requests if it is spent on the smallest ones. The cutoff
    is the size that fills the allocations of these teams together. A team
    that would get more than 1.25 times its allocation that way has a lower
    cutoff of its own.
    """

    def __init__(self, window_s: float, started: float) -> None:
        self._window_s = window_s
        self._epoch = started
        self._started = started
        self._teams: dict[str, _TeamWork] = {}
        self._mean_work_s = 0.0

    def add(self, team: str, work_s: float, now: float) -> None:
        """Record work offered by a team, in seconds of one slot."""
        self._mean_work_s += (work_s - self._mean_work_s) * _MEAN_WORK_GAIN
        exponent = (now - self._epoch) / self._window_s
        if exponent > _MAX_EXPONENT:
            self._rebase(now)
            exponent = 0
        team_work = self._teams.get(team)
        if team_work is None:
            team_work = _TeamWork(self._window_s * _SURGE_WINDOW_SHARE, now)
            self._teams[team] = team_work
        team_work.add(work_s, math.exp(exponent), now)

    def rates(self, now: float) -> dict[str, float]:
        """Return the slots that each team's offered work would fill."""
        slots_per_weight = self._slots_per_weight(now)
        min_work_s = self._mean_work_s * _MIN_SURGE_REQUESTS
        return {
            team: team_work.total
            * slots_per_weight
            * team_work.surge_factor(slots_per_weight, min_work_s, now)
            for team, team_work in self._teams.items()
        }

    def cutoffs(
        self, slots: float, shares: Mapping[str, float], now: float
    ) -> Cutoffs:
        """Return the cutoffs that limit the work to ``slots``."""
        rates = self.rates(now)
        if sum(rates.values()) <= slots:
            return Cutoffs({})
        allocations = self._exceeded_allocations(rates, shares, slots)
        if not allocations:
            return Cutoffs({})
        histograms = {
            team: self._slots_by_size(team, rates[team]) for team in allocations
        }
        common = _cutoff(
            _merged(histograms.values()), sum(allocations.values())
        )
        by_team: dict[str, float] = {}
        for team, allocation in allocations.items():
            own = _cutoff(histograms[team], allocation * _OWN_CUTOFF_TOLERANCE)
            by_team[team] = BUCKET_RATIO ** min(common, own)
        return Cutoffs(by_team)

    def _exceeded_allocations(
        self,
        rates: Mapping[str, float],
        shares: Mapping[str, float],
        slots: float,
    ) -> dict[str, float]:
        """Return the allocations, in slots, of the teams that exceed them."""
        level = fair_level(rates, shares, slots)
        allocations = {
            team: level * shares.get(team, _DEFAULT_SHARE) for team in rates
        }
        return {
            team: allocation
            for team, allocation in allocations.items()
            if rates[team] > allocation + self._allowed_excess(allocation)
        }

    def _allowed_excess(self, allocation: float) -> float:
        """Return the slots that a team may offer above its allocation.

        The allowance is largest for an allocation of few requests per
        window, where a few chance arrivals look like a high rate.
        """
        one_request = max(self._mean_work_s, _MIN_WORK_S) / self._window_s
        requests = (
            _MAX_EXCESS_REQUESTS
            - _EXCESS_DECREASE_PER_REQUEST * allocation / one_request
        )
        return one_request * max(_MIN_EXCESS_REQUESTS, requests)

    def _slots_by_size(self, team: str, rate: float) -> dict[int, float]:
        """Return the slots that a team's work would fill, by size bucket."""
        team_work = self._teams[team]
        factor = rate / team_work.total
        return {
            bucket: weight * factor
            for bucket, weight in team_work.weight_by_size.items()
        }

    def _slots_per_weight(self, now: float) -> float:
        """Return the factor that converts histogram weight to slots.

        It corrects for a window that has not yet passed in full.
        """
        age_s = now - self._started
        window_share = 1 - math.exp(-max(age_s, _MIN_AGE_S) / self._window_s)
        decay = math.exp((self._epoch - now) / self._window_s)
        return decay / (self._window_s * window_share)

    def _rebase(self, now: float) -> None:
        decay = math.exp((self._epoch - now) / self._window_s)
        self._epoch = now
        for team, team_work in list(self._teams.items()):
            team_work.scale(decay)
            if team_work.total <= _MIN_WORK_S:
                self._teams.pop(team)


class _TeamWork:
    """Work of one team, as a histogram by size and in a shorter window."""

    def __init__(self, short_window_s: float, now: float) -> None:
        self.weight_by_size: dict[int, float] = {}
        self.total = 0.0
        self._short_window_s = short_window_s
        self._recent_work_s = 0.0
        self._updated = now

    def add(self, work_s: float, gain: float, now: float) -> None:
        """Add work, weighted by ``gain`` in the histogram."""
        bucket = math.floor(math.log(max(work_s, _MIN_WORK_S)) / _LOG_RATIO)
        self.weight_by_size[bucket] = (
            self.weight_by_size.get(bucket, 0) + work_s * gain
        )
        self.total += work_s * gain
        self._recent_work_s = self._decayed_work_s(now) + work_s
        self._updated = now

    def surge_factor(
        self, slots_per_weight: float, min_work_s: float, now: float
    ) -> float:
        """Return the ratio of the short window's rate to the long one's.

        Return one unless the short window shows a clear rise in rate.
        """
        recent_work_s = self._decayed_work_s(now)
        factor = (
            recent_work_s
            / self._short_window_s
            / max(self.total * slots_per_weight, _MIN_WORK_S)
        )
        return (
            factor
            if recent_work_s > min_work_s and factor > _MIN_SURGE_FACTOR
            else 1
        )

    def scale(self, factor: float) -> None:
        """Multiply all weights; drop buckets of negligible weight."""
        self.weight_by_size = {
            bucket: weight * factor
            for bucket, weight in self.weight_by_size.items()
            if weight * factor > _MIN_WORK_S
        }
        self.total = sum(self.weight_by_size.values())

    def _decayed_work_s(self, now: float) -> float:
        return self._recent_work_s * math.exp(
            (self._updated - now) / self._short_window_s
        )


def fair_level(
    rates: Mapping[str, float], shares: Mapping[str, float], slots: float
) -> float:
    """Return the max-min fair allocation for a share of one, in slots.

    Each team gets its rate, or the level times its share if that is less.
    The sum is ``slots``, or that of the rates if it is less, in which case
    the level is infinite.
    """
    weights = {team: shares.get(team, _DEFAULT_SHARE) for team in rates}
    unallocated = slots
    total_weight = sum(weights.values())
    ordered = sorted((rates[team] / weights[team], team) for team in rates)
    for _rate_per_share, team in ordered:
        level = unallocated / total_weight
        if rates[team] > level * weights[team]:
            return level
        unallocated -= rates[team]
        total_weight -= weights[team]
    return math.inf


def _merged(histograms: Iterable[dict[int, float]]) -> dict[int, float]:
    merged: dict[int, float] = {}
    for histogram in histograms:
        for bucket, rate in histogram.items():
            merged[bucket] = merged.get(bucket, 0) + rate
    return merged


def _cutoff(histogram: Mapping[int, float], slots: float) -> float:
    """Return the bucket, with a fraction, up to which work fills ``slots``."""
    unfilled = slots
    for bucket in sorted(histogram):
        if histogram[bucket] > unfilled:
            return bucket + unfilled / histogram[bucket]
        unfilled -= histogram[bucket]
    return max(histogram) + 1
