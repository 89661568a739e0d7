"""Work that one entry has booked at the pools for admitted requests."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from lentilspool.limits import _pool_state, _types

_MIN_RETRY_AFTER_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Booking:
    """Booked work of the remaining stages of an admitted request."""

    request: _types.AdmissionRequest
    """The request as it was admitted."""

    remaining: tuple[_types.StageEstimate, ...]
    """Stages that have not ended, in the order in which they run."""

    due_times: tuple[_types.StageDueTime, ...]
    """Due time of each remaining stage."""

    buckets: tuple[float, ...]
    """Bucket of each remaining stage in the booked work of its pool."""


class Bookings:
    """Books every remaining stage of admitted requests at its pool."""

    def __init__(
        self,
        shares: Mapping[str, float],
        parameters: _pool_state.AdmissionParameters,
    ) -> None:
        self._shares = shares
        self._parameters = parameters
        self._pools: dict[str, _pool_state.PoolState] = {}
        self._bookings: dict[str, Booking] = {}

    def __len__(self) -> int:
        return len(self._bookings)

    def __getitem__(self, request_id: str) -> Booking:
        return self._bookings[request_id]

    def pool(self, name: str, now: float) -> _pool_state.PoolState:
        """Return the state of a pool; create it on first use."""
        pool = self._pools.get(name)
        if pool is None:
            pool = _pool_state.PoolState(self._shares, self._parameters, now)
            self._pools[name] = pool
        return pool

    def add(
        self,
        request: _types.AdmissionRequest,
        due_times: tuple[_types.StageDueTime, ...],
        now: float,
    ) -> None:
        """Book all stages of an admitted request."""
        buckets = tuple(
            self._pools[estimate.pool].booked_work.add(
                estimate.expected_s, due.due, now
            )
            for estimate, due in zip(request.stage_estimates, due_times)
        )
        self._bookings[request.request_id] = Booking(
            request, request.stage_estimates, due_times, buckets
        )

    def end_stage(self, request_id: str, stage: str) -> None:
        """Release the work of ``stage`` if it is the next to end."""
        booking = self._bookings.get(request_id)
        if booking is None or booking.remaining[0].stage != stage:
            return
        self._release(booking.remaining[0], booking.buckets[0])
        if len(booking.remaining) == 1:
            self._bookings.pop(request_id)
            return
        self._bookings[request_id] = dataclasses.replace(
            booking,
            remaining=booking.remaining[1:],
            due_times=booking.due_times[1:],
            buckets=booking.buckets[1:],
        )

    def remove(self, request_id: str) -> None:
        """Release the booked work of a request, if there is any."""
        booking = self._bookings.pop(request_id, None)
        if booking is not None:
            for estimate, bucket in zip(booking.remaining, booking.buckets):
                self._release(estimate, bucket)

    def predicted_finish(
        self,
        team: str,
        estimates: tuple[_types.StageEstimate, ...],
        due_times: tuple[_types.StageDueTime, ...],
        now: float,
    ) -> float:
        """Return the predicted completion time of the stages.

        Adds up the waits and mean service times of all stages, and the
        largest difference between high quantile and mean of one stage.
        """
        lead_s = 0.0
        spread_s = 0.0
        for estimate, due in zip(estimates, due_times):
            pool = self._pools[estimate.pool]
            lead_s += pool.wait_s(team, due.due, lead_s) + estimate.expected_s
            spread_s = max(spread_s, estimate.high_s - estimate.expected_s)
        return now + lead_s + spread_s

    def retry_after_s(
        self, estimates: tuple[_types.StageEstimate, ...]
    ) -> float:
        """Return the backlog of the most loaded pool, at least 0.1 s."""
        max_backlog_s = max(
            self._pools[estimate.pool].backlog_s for estimate in estimates
        )
        return max(_MIN_RETRY_AFTER_S, max_backlog_s)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of the pools as plain JSON types."""
        return {
            name: pool.dump(now) for name, pool in sorted(self._pools.items())
        }

    def _release(self, estimate: _types.StageEstimate, bucket: float) -> None:
        self._pools[estimate.pool].booked_work.release(
            estimate.expected_s, bucket
        )
