"""Streaming estimates of service times, by pool and stage."""

import dataclasses
import math
from typing import Final

from lentilspool.limits import _types

_BUCKET_RATIO: Final = 1.12
_LOG_RATIO: Final = math.log(_BUCKET_RATIO)
_AGEING_COUNT: Final = 256
_TRUSTED_COUNT: Final = 8
_REFRESH_COUNT: Final = 16
_FLOOR_DRIFT: Final = 1.001
_HIGH: Final = 0.9
_LOW: Final = 0.1
_LEAST_S: Final = 1e-6
_LEAST_COUNT: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTime:
    """Estimate for one unit of size."""

    mean_s: float
    """Mean, in seconds."""

    low_s: float
    """Low quantile (0.1), in seconds."""

    high_s: float
    """High quantile (0.9), in seconds."""

    floor_s: float
    """Mean without congestion: the lowest of 16 calls in a row so far."""


class TimeSketch:
    """Log-bucketed histogram of durations that forgets by halving.

    At most some 200 buckets for any durations from 1 us to one hour.
    """

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._total = 0.0
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
        """Mean and quantiles; none before the first observations."""
        return self._estimate

    def observe(self, duration_s: float) -> None:
        """Add one duration, in seconds."""
        duration_s = max(duration_s, _LEAST_S)
        bucket = round(math.log(duration_s) / _LOG_RATIO)
        self._counts[bucket] = self._counts.get(bucket, 0) + 1
        self._total += 1
        self._sum_s += duration_s
        self._seen += 1
        self._window_sum_s += duration_s
        if self._seen % _REFRESH_COUNT == 0:
            self._end_window()
        if self._total >= _AGEING_COUNT:
            self._halve()
        if self._seen == _TRUSTED_COUNT or self._seen % _REFRESH_COUNT == 0:
            self._estimate = self._compute()

    def quantile_s(self, share: float) -> float:
        """Return the duration below which ``share`` of the weight lies."""
        left = share * self._total
        for bucket, count in sorted(self._counts.items()):
            left -= count
            if left <= 0:
                return float(_BUCKET_RATIO**bucket)
        return float(_BUCKET_RATIO ** max(self._counts, default=0))

    def _end_window(self) -> None:
        """Lower the floor to the window's mean; it rises only slowly."""
        mean_s = self._window_sum_s / _REFRESH_COUNT
        self._floor_s = min(self._floor_s * _FLOOR_DRIFT, mean_s)
        self._window_sum_s = 0

    def _halve(self) -> None:
        kept = {
            bucket: count / 2
            for bucket, count in self._counts.items()
            if count > _LEAST_COUNT
        }
        self._sum_s *= sum(kept.values()) / self._total
        self._counts = kept
        self._total = sum(kept.values())

    def _compute(self) -> ServiceTime:
        mean_s = self._sum_s / self._total
        return ServiceTime(
            mean_s=mean_s,
            low_s=self.quantile_s(_LOW),
            high_s=self.quantile_s(_HIGH),
            floor_s=min(self._floor_s, mean_s),
        )


class ServiceTimes:
    """Service times by pool and stage, as seconds for one unit of size.

    Size is any measure that the caller knows before the call, such as
    tokens; without one, pass 1. Feed it with ``observe`` after each call,
    and build the needs of a request with ``need``.
    """

    def __init__(self) -> None:
        self._sketches: dict[tuple[str, str], TimeSketch] = {}

    def observe(
        self, pool: str, stage: str, service_s: float, size: float = 1
    ) -> None:
        """Add the service time of one finished call."""
        sketch = self._sketches.setdefault((pool, stage), TimeSketch())
        sketch.observe(service_s / size)

    def estimate(
        self, pool: str, stage: str, prior_s: float, size: float = 1
    ) -> ServiceTime:
        """Return the estimate for a call; ``prior_s`` until it is known."""
        sketch = self._sketches.get((pool, stage))
        held = sketch.estimate if sketch else None
        if held is None:
            return ServiceTime(prior_s, prior_s, prior_s, prior_s)
        return ServiceTime(
            mean_s=held.mean_s * size,
            low_s=held.low_s * size,
            high_s=held.high_s * size,
            floor_s=held.floor_s * size,
        )

    def need(
        self, pool: str, stage: str, prior_s: float, size: float = 1
    ) -> _types.StageNeed:
        """Return what one stage of a request is expected to take."""
        found = self.estimate(pool, stage, prior_s, size)
        return _types.StageNeed(stage, pool, found.mean_s, found.high_s)

    def dump(self) -> dict[str, object]:
        """Return the estimates by pool and stage, as plain JSON types."""
        return {
            f'{pool}/{stage}': {
                'seen': sketch.seen,
                **dataclasses.asdict(sketch.estimate),
            }
            for (pool, stage), sketch in sorted(self._sketches.items())
            if sketch.estimate
        }
