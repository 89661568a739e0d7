"""Outlier ejection: an endpoint that fails or lags gets no work for a time."""

import dataclasses
import math
import random
import statistics
from collections.abc import Iterable
from typing import Final

_SMOOTHING: Final = 0.1
_MIN_SAMPLES: Final = 10
_FAILURES_IN_A_ROW: Final = 5
_FAILURES_IN_SLOW_START: Final = 2
_FAILURE_SHARE: Final = 0.5
_POOL_FAILURE_SHARE: Final = 0.3
_LATENCY_FACTOR: Final = 3.0
_FIRST_EJECTION_S: Final = 1.0
_LONGEST_EJECTION_S: Final = 4.0
_SLOW_START_S: Final = 2.0
_SLOW_START_WEIGHT: Final = 0.1
_FORGET_S: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether an endpoint gets work."""

    ejected: bool
    """Whether it gets none."""

    weight: float
    """Share of its usual work; below 1 for a time after its return."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Health:
    samples: int = 0
    failures_in_a_row: int = 0
    failure_share: float = 0
    latency_s: float = 0
    ejections: int = 0
    ejected_until: float = -_FORGET_S


class OutlierEjection:
    """Judges the endpoints of one pool by their failures and latency.

    Call ``retain`` with the pool's endpoints when they change, ``record``
    after each attempt, and ``verdict`` or ``changes`` to read the state. An endpoint is
    judged against the median of its pool, so that a failure or slowness
    of the whole pool ejects nobody; at most a share of the pool, or one
    endpoint, is ejected at a time.
    """

    def __init__(self, max_share: float = 0.3) -> None:
        self._max_share = max_share
        self._pool: dict[str, _Health] = {}
        self._unsettled: tuple[str, ...] = ()

    @property
    def cap(self) -> int:
        """How many endpoints may be ejected at a time."""
        size = len(self._pool)
        return min(max(int(size * self._max_share), 1), max(size - 1, 0))

    def retain(self, names: Iterable[str]) -> None:
        """Set the endpoints of the pool; those that stay keep their state."""
        self._pool = {name: self._pool.get(name, _Health()) for name in names}

    def ejected(self, now: float) -> tuple[str, ...]:
        """Return the names of the endpoints that get no work."""
        return tuple(
            name
            for name, health in self._pool.items()
            if health.ejected_until > now
        )

    def verdict(self, name: str, now: float) -> Verdict:
        """Return whether the endpoint gets work, and how much."""
        health = self._pool.get(name)
        if health is None:
            return Verdict(ejected=False, weight=1)
        if health.ejected_until > now:
            return Verdict(ejected=True, weight=0)
        ramp = min((now - health.ejected_until) / _SLOW_START_S, 1)
        weight = _SLOW_START_WEIGHT + (1 - _SLOW_START_WEIGHT) * ramp
        return Verdict(ejected=False, weight=weight)

    def changes(self, now: float) -> dict[str, Verdict]:
        """Return the verdicts that may differ since the last call.

        These are endpoints that are ejected or in slow start, and once
        more those that have come back to their full weight. All others
        have their full weight.
        """
        verdicts = {name: self.verdict(name, now) for name in self._unsettled}
        self._unsettled = tuple(
            name for name, verdict in verdicts.items() if verdict.weight < 1
        )
        return verdicts

    def record(
        self,
        name: str,
        *,
        succeeded: bool,
        latency_s: float,
        now: float,
        rng: random.Random,
    ) -> bool:
        """Take in an attempt; return whether the endpoint is now ejected.

        ``latency_s`` is the time of the call in seconds, also where it
        failed or was given up. Refusals are no failures.
        """
        held = self._pool.get(name)
        if held is None or held.ejected_until > now:
            return False
        health = _observe(held, succeeded=succeeded, latency_s=latency_s)
        self._pool[name] = health
        if not self._is_outlier(health, now):
            return False
        if len(self.ejected(now)) >= self.cap:
            return False
        self._pool[name] = _eject(health, now, rng)
        if name not in self._unsettled:
            self._unsettled += (name,)
        return True

    def _is_outlier(self, health: _Health, now: float) -> bool:
        in_slow_start = now - health.ejected_until < _SLOW_START_S
        limit = _FAILURES_IN_SLOW_START if in_slow_start else _FAILURES_IN_A_ROW
        fails = health.failures_in_a_row >= limit or (
            health.samples >= _MIN_SAMPLES
            and health.failure_share > _FAILURE_SHARE
        )
        if fails:
            return self._median_failure_share() < _POOL_FAILURE_SHARE
        return health.samples >= _MIN_SAMPLES and self._is_slow(health)

    def _is_slow(self, health: _Health) -> bool:
        typical_s = statistics.median_low(
            other.latency_s for other in self._pool.values()
        )
        return 0 < typical_s * _LATENCY_FACTOR < health.latency_s

    def _median_failure_share(self) -> float:
        return statistics.median_low(
            other.failure_share for other in self._pool.values()
        )


def _observe(health: _Health, *, succeeded: bool, latency_s: float) -> _Health:
    smoothing = max(_SMOOTHING, 1 / (health.samples + 1))
    failed = 0 if succeeded else 1
    return dataclasses.replace(
        health,
        samples=health.samples + 1,
        failures_in_a_row=failed * (health.failures_in_a_row + 1),
        failure_share=health.failure_share
        + smoothing * (failed - health.failure_share),
        latency_s=health.latency_s + smoothing * (latency_s - health.latency_s),
    )


def _eject(health: _Health, now: float, rng: random.Random) -> _Health:
    recent = now - health.ejected_until < _FORGET_S
    ejections = health.ejections + 1 if recent else 1
    length_s = min(
        _FIRST_EJECTION_S * math.pow(2, ejections - 1), _LONGEST_EJECTION_S
    )
    return _Health(
        ejections=min(ejections, 10),
        ejected_until=now + length_s * (1 - rng.random() / 4),
    )
