"""Online estimates of service times, by pool and stage."""

import dataclasses
import math
from typing import Final

from lentilspool.limits import _types

_BUCKET_RATIO: Final = 1.12
_LOG_RATIO: Final = math.log(_BUCKET_RATIO)
_HALVING_COUNT: Final = 256
_FIRST_ESTIMATE_CALLS: Final = 8
_WINDOW_CALLS: Final = 16
_FLOOR_GROWTH_FACTOR: Final = 1.001
_HIGH_QUANTILE: Final = 0.9
_LOW_QUANTILE: Final = 0.1
_MIN_DURATION_S: Final = 1e-6
_MIN_BUCKET_COUNT: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTime:
    """Estimated distribution of a service time."""

    mean_s: float
    """Mean, in seconds."""

    low_s: float
    """Low quantile (0.1), in seconds."""

    high_s: float
    """High quantile (0.9), in seconds."""

    floor_s: float
    """Mean without congestion, in seconds.

    The lowest mean of 16 calls in a row, which rises slowly.
    """


class DurationHistogram:
    """Histogram of durations with logarithmic buckets.

    All counts are halved each time their sum reaches a limit, so that
    recent durations dominate. Durations from 1 us to one hour need at most
    about 200 buckets.
    """

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._total_count = 0.0
        self._sum_s = 0.0
        self._seen = 0
        self._window_sum_s = 0.0
        self._floor_s = math.inf
        self._estimate: ServiceTime | None = None

    @property
    def seen(self) -> int:
        """Number of durations observed."""
        return self._seen

    @property
    def estimate(self) -> ServiceTime | None:
        """Mean and quantiles, or none before 8 durations are observed."""
        return self._estimate

    def observe(self, duration_s: float) -> None:
        """Add one duration, in seconds."""
        duration_s = max(duration_s, _MIN_DURATION_S)
        bucket = round(math.log(duration_s) / _LOG_RATIO)
        self._counts[bucket] = self._counts.get(bucket, 0) + 1
        self._total_count += 1
        self._sum_s += duration_s
        self._seen += 1
        self._window_sum_s += duration_s
        if self._seen % _WINDOW_CALLS == 0:
            self._end_window()
        if self._total_count >= _HALVING_COUNT:
            self._halve_counts()
        if (
            self._seen == _FIRST_ESTIMATE_CALLS
            or self._seen % _WINDOW_CALLS == 0
        ):
            self._estimate = self._compute_estimate()

    def quantile_s(self, share: float) -> float:
        """Return the duration below which a ``share`` of the counts lies."""
        remaining = share * self._total_count
        for bucket, count in sorted(self._counts.items()):
            remaining -= count
            if remaining <= 0:
                return float(_BUCKET_RATIO**bucket)
        return float(_BUCKET_RATIO ** max(self._counts, default=0))

    def _end_window(self) -> None:
        """Lower the floor to the mean of the window, or raise it a little."""
        mean_s = self._window_sum_s / _WINDOW_CALLS
        self._floor_s = min(self._floor_s * _FLOOR_GROWTH_FACTOR, mean_s)
        self._window_sum_s = 0

    def _halve_counts(self) -> None:
        halved = {
            bucket: count / 2
            for bucket, count in self._counts.items()
            if count > _MIN_BUCKET_COUNT
        }
        self._sum_s *= sum(halved.values()) / self._total_count
        self._counts = halved
        self._total_count = sum(halved.values())

    def _compute_estimate(self) -> ServiceTime:
        mean_s = self._sum_s / self._total_count
        return ServiceTime(
            mean_s=mean_s,
            low_s=self.quantile_s(_LOW_QUANTILE),
            high_s=self.quantile_s(_HIGH_QUANTILE),
            floor_s=min(self._floor_s, mean_s),
        )


class ServiceTimes:
    """Estimates of service times by pool and stage.

    Times are proportional to the size of a call. Size is any measure that
    the caller knows before the call, such as tokens; without one, pass 1.
    Call ``observe`` after each call. ``stage_estimate`` returns what admission
    requires for each stage of a request.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], DurationHistogram] = {}

    def observe(
        self, pool: str, stage: str, service_s: float, size: float = 1
    ) -> None:
        """Record the service time in seconds of one finished call."""
        histogram = self._histograms.setdefault(
            (pool, stage), DurationHistogram()
        )
        histogram.observe(service_s / size)

    def estimate(
        self, pool: str, stage: str, prior_s: float, size: float = 1
    ) -> ServiceTime:
        """Return the estimate for a call of ``size``.

        All its times are ``prior_s`` until enough calls are observed.
        """
        histogram = self._histograms.get((pool, stage))
        per_unit = histogram.estimate if histogram else None
        if per_unit is None:
            return ServiceTime(prior_s, prior_s, prior_s, prior_s)
        return ServiceTime(
            mean_s=per_unit.mean_s * size,
            low_s=per_unit.low_s * size,
            high_s=per_unit.high_s * size,
            floor_s=per_unit.floor_s * size,
        )

    def stage_estimate(
        self, pool: str, stage: str, prior_s: float, size: float = 1
    ) -> _types.StageEstimate:
        """Return the expected service time of one stage of a request."""
        service_time = self.estimate(pool, stage, prior_s, size)
        return _types.StageEstimate(
            stage, pool, service_time.mean_s, service_time.high_s
        )

    def dump(self) -> dict[str, object]:
        """Return the estimates for size 1 by pool and stage, as JSON types."""
        return {
            f'{pool}/{stage}': {
                'seen': histogram.seen,
                **dataclasses.asdict(histogram.estimate),
            }
            for (pool, stage), histogram in sorted(self._histograms.items())
            if histogram.estimate
        }
