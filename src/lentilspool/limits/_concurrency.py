"""Concurrency limits of one endpoint."""

import math
import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _types

_WINDOW: Final = 16
_TOLERANCE: Final = 1.5
_LEAST_GRADIENT: Final = 0.5
_BASELINE_DRIFT: Final = 1.001
_START: Final = 8.0
_PROBE_WINDOWS: Final = 128
_PROBE_FACTOR: Final = 0.5
_FAILURE_FACTOR: Final = 0.7
_BUSY_SHARE: Final = 0.5
_LEAST: Final = 1e-6
_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})

_register = kernel.registry.register
_KIND: Final = kernel.PluginKind.limit_policy


@_register(_KIND, 'default')
class ConcurrencyLimit:
    """Follows the gradient of latency against its own lowest level.

    Latency is taken as a multiple of what calls of that size usually
    take, so that a run of large calls does not look like congestion. The
    limit begins at ``limit_start`` and falls while a window's mean is above ``limit_tolerance`` times
    the baseline, and otherwise grows by its square root, but only while
    at least half of it is in use. Every 128 windows one window runs at half
    the limit, so that the baseline is seen again under steady load.
    """

    def __init__(
        self, capacity: int, parameters: Mapping[str, float] = _EMPTY
    ) -> None:
        self._capacity = max(1, capacity)
        self._tolerance = parameters.get('limit_tolerance', _TOLERANCE)
        start = parameters.get('limit_start', _START)
        self._limit = float(min(max(1, start), self._capacity))
        self._kept = self._limit
        self._windows = 0
        self._baseline = math.inf
        self._ratios: list[float] = []
        self._in_flight = 0

    @property
    def limit(self) -> int:
        """Calls that may be in flight, from one to the capacity."""
        return int(self._limit)

    def observe(self, sample: _types.LatencySample, now: float) -> None:
        """Learn from a finished call."""
        if sample.failed:
            self._set(self._limit * _FAILURE_FACTOR)
            self._ratios.clear()
            return
        expected_s = max(sample.expected_s, _LEAST)
        self._ratios.append(sample.service_s / expected_s)
        self._in_flight = max(self._in_flight, sample.in_flight)
        if len(self._ratios) >= _WINDOW:
            self._end_window()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        known = math.isfinite(self._baseline)
        return {
            'limit': self.limit,
            'capacity': self._capacity,
            'baseline': round(self._baseline, 3) if known else None,
        }

    def _end_window(self) -> None:
        mean = max(sum(self._ratios) / len(self._ratios), _LEAST)
        busy = self._in_flight >= self._limit * _BUSY_SHARE
        self._ratios.clear()
        self._in_flight = 0
        self._baseline = min(self._baseline * _BASELINE_DRIFT, mean)
        self._windows += 1
        if self._windows % _PROBE_WINDOWS == 0:
            self._kept = self._limit
            self._set(self._limit * _PROBE_FACTOR)
        elif self._windows % _PROBE_WINDOWS == 1 and self._windows > 1:
            self._set(self._kept)
        else:
            self._adapt(mean, busy=busy)

    def _adapt(self, mean: float, *, busy: bool) -> None:
        gradient = min(1, self._tolerance * self._baseline / mean)
        if gradient < 1:
            self._set(self._limit * max(_LEAST_GRADIENT, gradient))
        elif busy:
            self._set(self._limit + math.sqrt(self._limit))

    def _set(self, limit: float) -> None:
        self._limit = min(max(1, limit), self._capacity)


@_register(_KIND, 'fixed')
class FixedLimit:
    """Baseline: the configured capacity, whatever the latency."""

    def __init__(
        self, capacity: int, parameters: Mapping[str, float] = _EMPTY
    ) -> None:
        self._capacity = max(1, capacity)

    @property
    def limit(self) -> int:
        """The capacity."""
        return self._capacity

    def observe(self, sample: _types.LatencySample, now: float) -> None:
        """Learn nothing."""

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'limit': self._capacity, 'capacity': self._capacity}
