"""Limits on the calls in flight at one endpoint."""

import math
import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _types

_WINDOW_CALLS: Final = 16
_DEFAULT_TOLERANCE: Final = 1.5
_MIN_GRADIENT: Final = 0.5
_BASELINE_GROWTH_FACTOR: Final = 1.001
_DEFAULT_START_LIMIT: Final = 8.0
_WINDOWS_PER_PROBE: Final = 128
_PROBE_LIMIT_FACTOR: Final = 0.5
_FAILURE_LIMIT_FACTOR: Final = 0.7
_BUSY_UTILIZATION: Final = 0.5
_MIN_DIVISOR: Final = 1e-6
_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})

_register = kernel.registry.register
_KIND: Final = kernel.PluginKind.limit_policy


@_register(_KIND, 'default')
class ConcurrencyLimit:
    """Adapts the limit to the ratio of latency to its recent minimum.

    Latency is measured as a multiple of the service time that calls of the
    same size take without congestion, so that a run of large calls does not
    look like congestion. The baseline is the lowest mean of a window of 16
    calls, and rises slowly. The limit starts at ``limit_start``. It is
    reduced in proportion if the mean of a window is above
    ``limit_tolerance`` times the baseline, and otherwise grows by its
    square root if at least half of it was in use. Every 128 windows, one
    window runs at half the limit, so that the baseline can be measured
    again under steady load.
    """

    def __init__(
        self, capacity: int, parameters: Mapping[str, float] = _EMPTY
    ) -> None:
        self._capacity = max(1, capacity)
        self._tolerance = parameters.get('limit_tolerance', _DEFAULT_TOLERANCE)
        start = parameters.get('limit_start', _DEFAULT_START_LIMIT)
        self._limit = float(min(max(1, start), self._capacity))
        self._limit_before_probe = self._limit
        self._windows = 0
        self._baseline = math.inf
        self._latency_ratios: list[float] = []
        self._max_in_flight = 0

    @property
    def limit(self) -> int:
        """Maximum number of calls in flight, from one to the capacity."""
        return int(self._limit)

    def observe(self, sample: _types.LatencySample, now: float) -> None:
        """Update the limit from the latency of a finished call."""
        if sample.failed:
            self._set_limit(self._limit * _FAILURE_LIMIT_FACTOR)
            self._latency_ratios.clear()
            return
        expected_s = max(sample.expected_s, _MIN_DIVISOR)
        self._latency_ratios.append(sample.service_s / expected_s)
        self._max_in_flight = max(self._max_in_flight, sample.in_flight)
        if len(self._latency_ratios) >= _WINDOW_CALLS:
            self._end_window()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        has_baseline = math.isfinite(self._baseline)
        return {
            'limit': self.limit,
            'capacity': self._capacity,
            'baseline': round(self._baseline, 3) if has_baseline else None,
        }

    def _end_window(self) -> None:
        mean_ratio = max(
            sum(self._latency_ratios) / len(self._latency_ratios), _MIN_DIVISOR
        )
        busy = self._max_in_flight >= self._limit * _BUSY_UTILIZATION
        self._latency_ratios.clear()
        self._max_in_flight = 0
        self._baseline = min(
            self._baseline * _BASELINE_GROWTH_FACTOR, mean_ratio
        )
        self._windows += 1
        if self._windows % _WINDOWS_PER_PROBE == 0:
            self._limit_before_probe = self._limit
            self._set_limit(self._limit * _PROBE_LIMIT_FACTOR)
        elif self._windows % _WINDOWS_PER_PROBE == 1 and self._windows > 1:
            self._set_limit(self._limit_before_probe)
        else:
            self._adapt_limit(mean_ratio, busy=busy)

    def _adapt_limit(self, mean_ratio: float, *, busy: bool) -> None:
        gradient = min(1, self._tolerance * self._baseline / mean_ratio)
        if gradient < 1:
            self._set_limit(self._limit * max(_MIN_GRADIENT, gradient))
        elif busy:
            self._set_limit(self._limit + math.sqrt(self._limit))

    def _set_limit(self, limit: float) -> None:
        self._limit = min(max(1, limit), self._capacity)


@_register(_KIND, 'fixed')
class FixedLimit:
    """Baseline: the configured capacity, regardless of latency."""

    def __init__(
        self, capacity: int, parameters: Mapping[str, float] = _EMPTY
    ) -> None:
        self._capacity = max(1, capacity)

    @property
    def limit(self) -> int:
        """The capacity."""
        return self._capacity

    def observe(self, sample: _types.LatencySample, now: float) -> None:
        """Ignore the call."""

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'limit': self._capacity, 'capacity': self._capacity}
