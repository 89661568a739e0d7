"""Outlier ejection: temporary removal of failing or slow endpoints."""

import dataclasses
import math
import random
import statistics
from collections.abc import Iterable
from typing import Final

_SMOOTHING_FACTOR: Final = 0.1
_MIN_SAMPLES: Final = 10
_FAILURES_IN_A_ROW_LIMIT: Final = 5
_SLOW_START_FAILURES_LIMIT: Final = 2
_MAX_FAILURE_SHARE: Final = 0.5
# If the median of the pool reaches this, no endpoint is ejected for failures.
_MAX_MEDIAN_FAILURE_SHARE: Final = 0.3
# Multiple of the median latency of the pool.
_MAX_LATENCY_FACTOR: Final = 3.0
_FIRST_EJECTION_S: Final = 1.0
_MAX_EJECTION_S: Final = 4.0
_SLOW_START_S: Final = 2.0
_SLOW_START_WEIGHT: Final = 0.1
_EJECTION_COUNT_RESET_S: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionStatus:
    """Whether an endpoint gets work, and how much."""

    ejected: bool
    """Whether the endpoint gets no work."""

    weight: float
    """Share of its usual work, 0 to 1; rises to 1 in slow start."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Health:
    samples: int = 0
    failures_in_a_row: int = 0
    failure_share: float = 0
    latency_s: float = 0
    ejections: int = 0
    ejected_until: float = -_EJECTION_COUNT_RESET_S


class OutlierEjection:
    """Ejects endpoints of one pool by their failures and latency.

    Call ``set_endpoints`` when the pool's endpoints change, ``record`` after
    each attempt, and ``ejection_status`` or ``status_changes`` to read the
    state. An endpoint is compared with the median of its pool, so that a
    failure or slowness of the whole pool ejects no endpoint. At most
    ``max_ejected`` endpoints are ejected at a time: a share of the pool, or
    one endpoint if the share is less than that, but never all of them.
    """

    def __init__(self, max_share: float = 0.3) -> None:
        self._max_share = max_share
        self._health_by_name: dict[str, _Health] = {}
        self._changing: tuple[str, ...] = ()

    @property
    def max_ejected(self) -> int:
        """Number of endpoints that may be ejected at a time."""
        size = len(self._health_by_name)
        return min(max(int(size * self._max_share), 1), max(size - 1, 0))

    def set_endpoints(self, names: Iterable[str]) -> None:
        """Set the endpoints of the pool; known ones keep their state."""
        self._health_by_name = {
            name: self._health_by_name.get(name, _Health()) for name in names
        }

    def ejected(self, now: float) -> tuple[str, ...]:
        """Return the names of the ejected endpoints."""
        return tuple(
            name
            for name, health in self._health_by_name.items()
            if health.ejected_until > now
        )

    def ejection_status(self, name: str, now: float) -> EjectionStatus:
        """Return whether the endpoint gets work, and how much."""
        health = self._health_by_name.get(name)
        if health is None:
            return EjectionStatus(ejected=False, weight=1)
        if health.ejected_until > now:
            return EjectionStatus(ejected=True, weight=0)
        ramp = min((now - health.ejected_until) / _SLOW_START_S, 1)
        weight = _SLOW_START_WEIGHT + (1 - _SLOW_START_WEIGHT) * ramp
        return EjectionStatus(ejected=False, weight=weight)

    def status_changes(self, now: float) -> dict[str, EjectionStatus]:
        """Return the statuses that may differ since the last call.

        These are the endpoints that are ejected or in slow start, and
        those that have reached their full weight since the last call. All
        others have their full weight.
        """
        statuses = {
            name: self.ejection_status(name, now) for name in self._changing
        }
        self._changing = tuple(
            name for name, status in statuses.items() if status.weight < 1
        )
        return statuses

    def record(
        self,
        name: str,
        *,
        succeeded: bool,
        latency_s: float,
        now: float,
        rng: random.Random,
    ) -> bool:
        """Record an attempt; return whether it made the endpoint ejected.

        ``latency_s`` is the duration of the call in seconds, also if it
        failed or was abandoned. A refusal does not count as a failure.
        """
        earlier = self._health_by_name.get(name)
        if earlier is None or earlier.ejected_until > now:
            return False
        health = _with_attempt(
            earlier, succeeded=succeeded, latency_s=latency_s
        )
        self._health_by_name[name] = health
        if not self._is_outlier(health, now):
            return False
        if len(self.ejected(now)) >= self.max_ejected:
            return False
        self._health_by_name[name] = _eject(health, now, rng)
        if name not in self._changing:
            self._changing += (name,)
        return True

    def _is_outlier(self, health: _Health, now: float) -> bool:
        in_slow_start = now - health.ejected_until < _SLOW_START_S
        limit = (
            _SLOW_START_FAILURES_LIMIT
            if in_slow_start
            else _FAILURES_IN_A_ROW_LIMIT
        )
        is_failing = health.failures_in_a_row >= limit or (
            health.samples >= _MIN_SAMPLES
            and health.failure_share > _MAX_FAILURE_SHARE
        )
        if is_failing:
            return self._median_failure_share() < _MAX_MEDIAN_FAILURE_SHARE
        return health.samples >= _MIN_SAMPLES and self._is_slow(health)

    def _is_slow(self, health: _Health) -> bool:
        median_s = statistics.median_low(
            other.latency_s for other in self._health_by_name.values()
        )
        return 0 < median_s * _MAX_LATENCY_FACTOR < health.latency_s

    def _median_failure_share(self) -> float:
        return statistics.median_low(
            other.failure_share for other in self._health_by_name.values()
        )


def _with_attempt(
    health: _Health, *, succeeded: bool, latency_s: float
) -> _Health:
    smoothing = max(_SMOOTHING_FACTOR, 1 / (health.samples + 1))
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
    recent = now - health.ejected_until < _EJECTION_COUNT_RESET_S
    ejections = health.ejections + 1 if recent else 1
    duration_s = min(
        _FIRST_EJECTION_S * math.pow(2, ejections - 1), _MAX_EJECTION_S
    )
    return _Health(
        ejections=min(ejections, 10),
        ejected_until=now + duration_s * (1 - rng.random() / 4),
    )
