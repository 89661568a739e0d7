"""Admission by predicted completion over all remaining stages."""

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
        self._tuning = _pool_state.Tuning.read(parameters)
        self._bookings = _bookings.Bookings(shares, self._tuning)
        self._counts: collections.Counter[str] = collections.Counter()

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request, let it wait, or refuse it."""
        dues = split_deadline(request.needs, request.deadline, now)
        favoured = self._offer(request, dues, loads, now)
        finish = self._bookings.finish(request.team, request.needs, dues, now)
        refusal = kernel.NotRunReason.team_limit
        if favoured:
            found = self._refusal(request, dues, finish, now)
            if found is None:
                self._bookings.add(request, dues, now)
                self._counts['admitted'] += 1
                return _types.Admit(finish, dues)
            refusal = found
        return self._refuse(request, refusal)

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
        needs = booking.remaining
        self._report(needs, loads, now)
        least_s = sum(need.expected_s for need in needs)
        if now + least_s <= booking.request.deadline:
            finish = self._bookings.finish(
                booking.request.team, needs, booking.dues, now
            )
            return _types.Admit(finish, booking.dues)
        self._counts['given_up'] += 1
        retry_after_s = self._bookings.retry_after_s(needs)
        return _types.GiveUp(needs[0].stage, retry_after_s)

    def stage_done(self, request_id: str, stage: str, now: float) -> None:
        """Release the work of a stage that has ended."""
        self._bookings.end_stage(request_id, stage)

    def forget(self, request_id: str) -> None:
        """Release what the request still holds; harmless when repeated."""
        self._bookings.remove(request_id)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'admitted_in_hand': len(self._bookings),
            'counts': dict(sorted(self._counts.items())),
            'pools': self._bookings.dump(now),
        }

    def _offer(
        self,
        request: _types.AdmissionRequest,
        dues: tuple[_types.StageDue, ...],
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> bool:
        self._report(request.needs, loads, now)
        favoured = True
        lead_s = 0.0
        for need, split in zip(request.needs, dues):
            pool = self._bookings.pool(need.pool, now)
            favoured &= pool.offer(
                request.team, need.expected_s, split.due, lead_s, now
            )
            lead_s += need.expected_s
        return favoured

    def _report(
        self,
        needs: tuple[_types.StageNeed, ...],
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> None:
        for need in needs:
            load = loads.get(need.pool)
            if load is not None:
                self._bookings.pool(need.pool, now).report(load)

    def _refusal(
        self,
        request: _types.AdmissionRequest,
        dues: tuple[_types.StageDue, ...],
        finish: float,
        now: float,
    ) -> kernel.NotRunReason | None:
        if finish + self._tuning.safety_s > request.deadline:
            return kernel.NotRunReason.deadline
        for need, split in zip(request.needs, dues):
            pool = self._bookings.pool(need.pool, now)
            if pool.protects(request.team):
                continue
            if not pool.book.fits(need.expected_s, split.due, pool.slots, now):
                return kernel.NotRunReason.overloaded
        return None

    def _refuse(
        self, request: _types.AdmissionRequest, reason: kernel.NotRunReason
    ) -> _types.AdmitWaiting | kernel.NotRun:
        retry_after_s = self._bookings.retry_after_s(request.needs)
        if request.may_wait:
            self._counts['waiting'] += 1
            return _types.AdmitWaiting(retry_after_s)
        self._counts[reason.value] += 1
        return kernel.NotRun(reason, retry_after_s=retry_after_s)


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
