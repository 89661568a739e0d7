"""Calls to stage services: filled, sent, overdue, ended, and their results."""

import dataclasses
import logging
from typing import Final

from lentilspool import retries
from lentilspool.serving import (
    _configuration,
    _endpoints,
    _events,
    _jobs,
    _lanes,
    _outlook,
    _plan_types,
)

_logger: Final = logging.getLogger(__name__)
_MS: Final = 1000
_MOST_REDONE: Final = 2
# A refused call is tried again after this part of the usual block.
_REFUSED_BLOCK_SHARE: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Setback:
    """A job that cannot go on."""

    job: _jobs.Job
    """The job."""

    reason: str
    """Why."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Freeing:
    """Results that an endpoint was told to drop."""

    lane: str
    """Incarnation of the endpoint."""

    size: float
    """Bytes that it gets back."""

    expires_at: float
    """When it drops them without being told."""


class StageDesk:
    """All stage services, the calls to them and the results they hold.

    Methods that return setbacks have jobs that cannot go on. Actions are
    collected in ``actions``; whoever carries them out empties the list.
    """

    def __init__(self, limits: _plan_types.PlanLimits) -> None:
        self._limits = limits
        self.services: _outlook.Services = {}
        self.actions: list[_plan_types.Action] = []
        self._flights: dict[int, _lanes.Flight] = {}
        self._freeing: dict[int, list[_Freeing]] = {}
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._numbers = 0
        # Pieces that wait for their service's retry budget.
        self._deferred: list[_lanes.Part] = []

    def follow(
        self,
        name: str,
        limits: _configuration.BatchLimits,
        endpoints: tuple[_endpoints.Endpoint, ...],
    ) -> None:
        """Take the endpoints that a service has now."""
        if name not in self.services:
            self.services[name] = _lanes.StageService(limits, self._limits)
        self.services[name].follow(endpoints, limits)

    def start(self, jobs: list[_jobs.Job], now: float) -> None:
        """Send calls to idle endpoints, with pieces in the jobs' order."""
        waiting: dict[str, list[_lanes.Waiting]] = {}
        for job in jobs:
            for number in job.ready_stages:
                service = job.stages[number].ask.service
                waiting.setdefault(service, []).append((job, number))
        for name, queue in waiting.items():
            held = self.services.get(name)
            if held:
                for lane in held.idle_lanes(now):
                    parts = held.fill_call(lane, queue, now)
                    self._send(name, lane, parts, now)

    def ended(
        self,
        number: int,
        results: tuple[_plan_types.PieceResult, ...] | None,
        now: float,
        *,
        ran: bool,
    ) -> list[Setback]:
        """Take in the answer to a call; None if there was none."""
        flight = self._flights.pop(number, None)
        if flight is None:
            return []
        flight.lane.flights.pop(number, None)
        if results is None or len(results) != len(flight.parts):
            results = (_plan_types.PieceResult('', 'error'),) * len(
                flight.parts
            )
            self._failed(flight, now, ran=ran)
        elif not flight.overdue and all(one.handle for one in results):
            flight.lane.learn(flight, now)
            self.services[flight.service].had_room()
        setbacks: list[Setback] = []
        for part, outcome in zip(flight.parts, results):
            part.job.stages[part.stage].land(part.piece)
            flight.lane.room += part.size
            if not ran:
                # Rejected calls cost the endpoint no work.
                self._queue_again(part)
                continue
            setbacks.extend(self._piece_ended(flight, part, outcome, now))
        return setbacks

    def retry_deferred(self, now: float) -> None:
        """Queue pieces that waited for the retry budget, as it allows."""
        deferred = self._deferred
        self._deferred = []
        for part in deferred:
            self._try_again(part, now)

    def overdue(self, now: float) -> None:
        """Give pieces of calls that take too long to other endpoints."""
        for flight in self._flights.values():
            lanes = self.services[flight.service].lanes
            gone = flight.lane.endpoint.incarnation not in lanes
            late = now >= self._due_at(flight)
            if not flight.overdue and (late or gone):
                flight.overdue = True
                flight.lane.blocked_until = now + self._limits.block_s
                _events.STAGE_CALL_OVERDUE.log(
                    _logger,
                    call=flight.number,
                    endpoint=flight.lane.endpoint.name,
                    listed=not gone,
                    after_ms=round((now - flight.started_at) * _MS),
                )
                for part in flight.parts:
                    self._try_again(part, now)

    def next_due(self) -> list[float]:
        """Return when open calls become overdue."""
        return [
            self._due_at(flight)
            for flight in self._flights.values()
            if not flight.overdue
        ]

    def release(self, results: list[_jobs.Held]) -> None:
        """Order results to be freed; their room comes back with ``freed``."""
        grouped: dict[str, list[_jobs.Held]] = {}
        for one in results:
            grouped.setdefault(one.address, []).append(one)
        for address, group in grouped.items():
            self._numbers += 1
            self._freeing[self._numbers] = [
                _Freeing(held.lane, held.size, held.expires_at)
                for held in group
            ]
            handles = tuple(held.handle for held in group)
            self.actions.append(
                _plan_types.FreeResults(self._numbers, address, handles)
            )

    def freed(self, number: int) -> None:
        """Take in that an endpoint has dropped results."""
        for freeing in self._freeing.pop(number, ()):
            self._give_room(freeing)

    def expire(self, now: float) -> None:
        """Take back the room of results that no endpoint holds any more."""
        for number, group in list(self._freeing.items()):
            if all(one.expires_at <= now for one in group):
                self.freed(number)

    def _send(
        self,
        name: str,
        lane: _lanes.Lane,
        parts: list[_lanes.Part],
        now: float,
    ) -> None:
        if not parts:
            return
        self._numbers += 1
        expected_s = lane.call_s(len(parts))
        flight = _lanes.Flight(
            self._numbers, name, lane, tuple(parts), now, expected_s
        )
        pieces = tuple(_lanes.order_piece(one, now) for one in parts)
        for part in parts:
            part.job.begun = True
            bound = part.job.traffic(part.stage).total >= _lanes.LARGE_BYTES
            if bound and not part.job.zone:
                part.job.zone = lane.endpoint.zone
            part.job.stages[part.stage].take(part.piece)
            lane.room -= part.size
        lane.flights[flight.number] = flight
        self._flights[flight.number] = flight
        self.actions.append(
            _plan_types.StartCall(flight.number, lane.endpoint, pieces)
        )
        requests = {one.job.ask.request_id for one in parts}
        _events.STAGE_CALL.log(
            _logger,
            call=flight.number,
            endpoint=lane.endpoint.name,
            pieces=len(parts),
            expected_ms=round(expected_s * _MS),
            room_kb=round(lane.room / _MS),
            requests=sorted(requests),
        )

    def _due_at(self, flight: _lanes.Flight) -> float:
        patience_s = flight.expected_s * self._limits.overdue_factor
        return flight.started_at + patience_s + self._limits.overdue_s

    def _failed(self, flight: _lanes.Flight, now: float, *, ran: bool) -> None:
        block_s = self._limits.block_s
        if not ran:
            block_s *= _REFUSED_BLOCK_SHARE
        flight.lane.blocked_until = now + block_s
        _events.STAGE_CALL_FAILED.log(
            _logger,
            call=flight.number,
            endpoint=flight.lane.endpoint.name,
            ran=ran,
            after_ms=round((now - flight.started_at) * _MS),
        )

    def _piece_ended(
        self,
        flight: _lanes.Flight,
        part: _lanes.Part,
        outcome: _plan_types.PieceResult,
        now: float,
    ) -> list[Setback]:
        if outcome.handle:
            self._budget(flight.service).succeeded(now)
            self._keep(flight.lane, part, outcome.handle, now)
            return []
        _events.PIECE_FAILED.log(
            _logger,
            request_id=part.job.ask.request_id,
            call=flight.number,
            stage=part.stage,
            piece=part.piece,
            reason=outcome.reason,
        )
        if outcome.reason == 'gone':
            return self._redo_inputs(part)
        if outcome.reason == 'room':
            self.services[flight.service].no_room(flight.lane, now)
            self._budget(flight.service).try_spend(now)
            part.job.stages[part.stage].again(part.piece)
            return []
        self._try_again(part, now)
        return []

    def _keep(
        self, lane: _lanes.Lane, part: _lanes.Part, handle: str, now: float
    ) -> None:
        """Note a result, or free it if nothing wants it."""
        held = _jobs.Held(
            handle,
            lane.endpoint.incarnation,
            lane.endpoint.address,
            part.size,
            now + lane.limits.keep_s,
            lane.endpoint.zone,
        )
        lane.room -= part.size
        stage = part.job.stages[part.stage]
        if part.job.closed or stage.done or part.piece in stage.held:
            self.release([held])
            return
        stage.keep(part.piece, held)
        self.release(part.job.drop_results(part.job.read_by_done()))

    def _try_again(self, part: _lanes.Part, now: float) -> None:
        """Queue a piece once more, as soon as the retry budget allows it."""
        stage = part.job.stages[part.stage]
        if part.job.closed or stage.settled(part.piece):
            return
        if self._budget(stage.ask.service).try_spend(now):
            self._queue_again(part)
        else:
            self._deferred.append(part)

    def _queue_again(self, part: _lanes.Part) -> None:
        if not part.job.closed:
            part.job.stages[part.stage].again(part.piece)

    def _redo_inputs(self, part: _lanes.Part) -> list[Setback]:
        """Run the stages again whose results were lost at their maker."""
        job = part.job
        if job.closed:
            return []
        stage = job.stages[part.stage]
        if not job.inputs_done(part.stage):
            # Another piece of the same call has told the loss already.
            stage.again(part.piece)
            return []
        job.redone += 1
        if job.redone > _MOST_REDONE:
            return [Setback(job, 'results_lost')]
        stage.again(part.piece)
        for number in job.to_redo(part.stage):
            self.release(job.redo(number))
        return []

    def _budget(self, service: str) -> retries.RetryBudget:
        if service not in self._budgets:
            batch = self.services[service].limits.batch
            limits = self._limits
            self._budgets[service] = retries.RetryBudget(
                share=limits.retry_share,
                reserve=max(limits.retry_reserve, limits.retry_calls * batch),
            )
        return self._budgets[service]

    def _give_room(self, freeing: _Freeing) -> None:
        for service in self.services.values():
            lane = service.lanes.get(freeing.lane)
            if lane:
                lane.give_room(freeing.size)
