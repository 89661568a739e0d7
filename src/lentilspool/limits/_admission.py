"""Admission by predicted completion over all remaining stages."""

import collections
import dataclasses
import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _pool_state, _types

_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})
_LEAST_RETRY_S: Final = 0.1
_register = kernel.registry.register
_KIND: Final = kernel.PluginKind.admission_policy


@dataclasses.dataclass(frozen=True, slots=True)
class _Booking:
    """Remaining stages of an admitted request."""

    request: _types.AdmissionRequest
    """The request as admitted."""

    remaining: tuple[_types.StageNeed, ...]
    """Stages that have not ended."""

    dues: tuple[_types.StageDue, ...]
    """Due time of each remaining stage."""


@_register(_KIND, 'default')
class AdmissionControl:
    """Admits what every remaining stage can finish before the deadline.

    The work of an admitted request is booked at once at all pools that it
    will reach, with a due time for each stage. A request is refused where
    booked work with earlier due times leaves too little room, where it
    would make an admitted request late, or where its team asks for more
    than its share of an overloaded pool and nobody else leaves room.
    """

    needs = ('service_times', 'pool_loads')

    def __init__(
        self,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        self._shares = shares
        self._tuning = _pool_state.Tuning.read(parameters)
        self._pools: dict[str, _pool_state.PoolState] = {}
        self._bookings: dict[str, _Booking] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request, let it wait, or refuse it."""
        for need in request.needs:
            pool = self._pool(need.pool, loads, now)
            pool.offer(request.team, need.expected_s, now)
        dues = split_deadline(request.needs, request.deadline, now)
        finish = self._finish(request.needs, dues, now)
        refusal = self._refusal(request, dues, finish, now)
        if refusal is None:
            self._book(request, dues)
            self._counts['admitted'] += 1
            return _types.Admit(finish, dues)
        retry_after_s = self._retry_after_s(request.needs)
        if request.may_wait:
            self._counts['waiting'] += 1
            return _types.AdmitWaiting(retry_after_s)
        self._counts[refusal.value] += 1
        return kernel.NotRun(refusal, retry_after_s=retry_after_s)

    def recheck(
        self,
        request_id: str,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admit | _types.GiveUp:
        """Tell whether the remaining stages still fit the deadline.

        Compares mean service times alone with the time left: what has been
        spent on the request is lost if it is dropped too early.
        """
        booking = self._bookings[request_id]
        for later in booking.remaining:
            self._pool(later.pool, loads, now)
        least_s = sum(need.expected_s for need in booking.remaining)
        if now + least_s <= booking.request.deadline:
            finish = self._finish(booking.remaining, booking.dues, now)
            return _types.Admit(finish, booking.dues)
        self._counts['given_up'] += 1
        retry_after_s = self._retry_after_s(booking.remaining)
        return _types.GiveUp(booking.remaining[0].stage, retry_after_s)

    def stage_done(self, request_id: str, stage: str, now: float) -> None:
        """Release the work of a stage that has ended."""
        booking = self._bookings.get(request_id)
        if booking is None or booking.remaining[0].stage != stage:
            return
        self._release(booking.remaining[0], booking.dues[0])
        if len(booking.remaining) == 1:
            self._bookings.pop(request_id)
            return
        self._bookings[request_id] = dataclasses.replace(
            booking, remaining=booking.remaining[1:], dues=booking.dues[1:]
        )

    def forget(self, request_id: str) -> None:
        """Release what the request still holds; does nothing the 2nd time."""
        booking = self._bookings.pop(request_id, None)
        if booking is not None:
            for need, due in zip(booking.remaining, booking.dues):
                self._release(need, due)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'admitted_in_hand': len(self._bookings),
            'counts': dict(sorted(self._counts.items())),
            'pools': {
                name: pool.dump(now)
                for name, pool in sorted(self._pools.items())
            },
        }

    def _refusal(
        self,
        request: _types.AdmissionRequest,
        dues: tuple[_types.StageDue, ...],
        finish: float,
        now: float,
    ) -> kernel.NotRunReason | None:
        lead_s = 0.0
        for need, due in zip(request.needs, dues):
            pool = self._pools[need.pool]
            if not pool.favours(request.team, need.expected_s, lead_s):
                return kernel.NotRunReason.team_limit
            if not pool.book.fits(need.expected_s, due.due, pool.slots, now):
                return kernel.NotRunReason.overloaded
            lead_s += need.expected_s
        if finish + self._tuning.safety_s > request.deadline:
            return kernel.NotRunReason.deadline
        return None

    def _finish(
        self,
        needs: tuple[_types.StageNeed, ...],
        dues: tuple[_types.StageDue, ...],
        now: float,
    ) -> float:
        lead_s = 0.0
        spread_s = 0.0
        for need, due in zip(needs, dues):
            pool = self._pools[need.pool]
            lead_s += pool.wait_s(due.due, lead_s) + need.expected_s
            spread_s = max(spread_s, need.high_s - need.expected_s)
        return now + lead_s + spread_s

    def _pool(
        self,
        name: str,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _pool_state.PoolState:
        pool = self._pools.get(name)
        if pool is None:
            pool = _pool_state.PoolState(self._shares, self._tuning, now)
            self._pools[name] = pool
        load = loads.get(name)
        if load is not None:
            pool.report(load)
        return pool

    def _book(
        self,
        request: _types.AdmissionRequest,
        dues: tuple[_types.StageDue, ...],
    ) -> None:
        booking = _Booking(request, request.needs, dues)
        self._bookings[request.request_id] = booking
        for need, due in zip(request.needs, dues):
            self._pools[need.pool].book.add(need.expected_s, due.due)

    def _release(self, need: _types.StageNeed, due: _types.StageDue) -> None:
        self._pools[need.pool].book.release(need.expected_s, due.due)

    def _retry_after_s(self, needs: tuple[_types.StageNeed, ...]) -> float:
        longest_s = max(self._pools[need.pool].backlog_s for need in needs)
        return max(_LEAST_RETRY_S, longest_s)


def split_deadline(
    needs: tuple[_types.StageNeed, ...], deadline: float, now: float
) -> tuple[_types.StageDue, ...]:
    """Split the time until the deadline over the stages.

    A stage is due when the high quantiles of all later stages still fit
    before the deadline, so slack is not lost at the early stages.
    """
    dues: list[_types.StageDue] = []
    due = deadline
    for need in reversed(needs):
        dues.append(_types.StageDue(need.stage, max(now, due)))
        due -= need.high_s
    return tuple(reversed(dues))
