"""Admission control by predicted completion of all remaining stages."""

import collections
import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _bookings, _pool_state, _types

_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})
_register = kernel.registry.register
_KIND: Final = kernel.PluginKind.admission_policy


@_register(_KIND, 'default')
class AdmissionControl:
    """Admits requests whose stages can all end before the deadline.

    Admission books the work of a request at every pool that it will reach,
    with a due time for each stage. A request is refused if booked work
    with earlier due times leaves too little capacity, if it would make an
    admitted request late, or if its team exceeds its share of an
    overloaded pool and the other teams leave no capacity unused.
    """

    needs = ('service_times', 'pool_loads')

    def __init__(
        self,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        self._parameters = _pool_state.AdmissionParameters.read(parameters)
        self._bookings = _bookings.Bookings(shares, self._parameters)
        self._counts: collections.Counter[str] = collections.Counter()

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request, move it to the may-wait class, or refuse it."""
        due_times = split_deadline(
            request.stage_estimates, request.deadline, now
        )
        eligible = self._record_offer(request, due_times, loads, now)
        predicted_finish = self._bookings.predicted_finish(
            request.team, request.stage_estimates, due_times, now
        )
        reason = kernel.NotRunReason.team_limit
        if eligible:
            capacity_reason = self._capacity_refusal(
                request, due_times, predicted_finish, now
            )
            if capacity_reason is None:
                self._bookings.add(request, due_times, now)
                self._counts['admitted'] += 1
                return _types.Admit(predicted_finish, due_times)
            reason = capacity_reason
        return self._refuse(request, reason)

    def recheck(
        self,
        request_id: str,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admit | _types.GiveUp:
        """Return whether the remaining stages can still meet the deadline.

        Only the mean service times are compared with the remaining time,
        without waits or a margin, because giving a request up too early
        wastes the work that has already been done for it.
        """
        booking = self._bookings[request_id]
        estimates = booking.remaining
        self._update_loads(estimates, loads, now)
        remaining_s = sum(estimate.expected_s for estimate in estimates)
        if now + remaining_s <= booking.request.deadline:
            predicted_finish = self._bookings.predicted_finish(
                booking.request.team, estimates, booking.due_times, now
            )
            return _types.Admit(predicted_finish, booking.due_times)
        self._counts['given_up'] += 1
        retry_after_s = self._bookings.retry_after_s(estimates)
        return _types.GiveUp(estimates[0].stage, retry_after_s)

    def stage_done(self, request_id: str, stage: str, now: float) -> None:
        """Release the booked work of a stage that has ended."""
        self._bookings.end_stage(request_id, stage)

    def forget(self, request_id: str) -> None:
        """Release all work booked for the request; harmless when repeated."""
        self._bookings.remove(request_id)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'admitted_in_hand': len(self._bookings),
            'counts': dict(sorted(self._counts.items())),
            'pools': self._bookings.dump(now),
        }

    def _record_offer(
        self,
        request: _types.AdmissionRequest,
        due_times: tuple[_types.StageDueTime, ...],
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> bool:
        self._update_loads(request.stage_estimates, loads, now)
        eligible = True
        lead_s = 0.0
        for estimate, due_time in zip(request.stage_estimates, due_times):
            pool = self._bookings.pool(estimate.pool, now)
            eligible &= pool.record_offer(
                request.team, estimate.expected_s, due_time.due, lead_s, now
            )
            lead_s += estimate.expected_s
        return eligible

    def _update_loads(
        self,
        estimates: tuple[_types.StageEstimate, ...],
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> None:
        for estimate in estimates:
            load = loads.get(estimate.pool)
            if load is not None:
                self._bookings.pool(estimate.pool, now).update_load(load)

    def _capacity_refusal(
        self,
        request: _types.AdmissionRequest,
        due_times: tuple[_types.StageDueTime, ...],
        predicted_finish: float,
        now: float,
    ) -> kernel.NotRunReason | None:
        if predicted_finish + self._parameters.safety_s > request.deadline:
            return kernel.NotRunReason.deadline
        for estimate, due_time in zip(request.stage_estimates, due_times):
            pool = self._bookings.pool(estimate.pool, now)
            if pool.prioritizes(request.team):
                continue
            if not pool.booked_work.fits(
                estimate.expected_s, due_time.due, pool.slots, now
            ):
                return kernel.NotRunReason.overloaded
        return None

    def _refuse(
        self, request: _types.AdmissionRequest, reason: kernel.NotRunReason
    ) -> _types.AdmitWaiting | kernel.NotRun:
        retry_after_s = self._bookings.retry_after_s(request.stage_estimates)
        if request.may_wait:
            self._counts['waiting'] += 1
            return _types.AdmitWaiting(retry_after_s)
        self._counts[reason.value] += 1
        return kernel.NotRun(reason, retry_after_s=retry_after_s)


def split_deadline(
    estimates: tuple[_types.StageEstimate, ...], deadline: float, now: float
) -> tuple[_types.StageDueTime, ...]:
    """Return a due time for each stage of a request.

    A stage is due at the last moment at which all later stages, at the
    high quantiles of their service times, still end by the deadline. All
    slack therefore stays available to the early stages.
    """
    due_times: list[_types.StageDueTime] = []
    due = deadline
    for estimate in reversed(estimates):
        due_times.append(_types.StageDueTime(estimate.stage, max(now, due)))
        due -= estimate.high_s
    return tuple(reversed(due_times))
