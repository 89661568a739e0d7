"""Calls to stage services: filled, sent, overdue, ended, and their results."""

import logging
from typing import Final

from lentilspool.serving import (
    _configuration,
    _endpoints,
    _events,
    _inputs,
    _jobs,
    _lanes,
    _outlook,
    _piece_retries,
    _plan_types,
    _result_room,
    _shape,
    _stage_state,
)

_logger: Final = logging.getLogger(__name__)
_MS: Final = 1000
# A refused call is tried again after this part of the usual block.
_REFUSED_BLOCK_SHARE: Final = 0.1
# Time of a call after which its endpoint has fetched the inputs: it does so
# first, over links of gigabits.
_FETCH_S: Final = 0.1


class StageDesk:
    """All stage services, the calls to them and the results they hold.

    ``take_actions`` returns what is to be sent; jobs that cannot go on are in
    ``retries.setbacks``.
    """

    def __init__(self, limits: _plan_types.PlanLimits) -> None:
        self._limits = limits
        self.services: _outlook.Services = {}
        self._calls: list[_plan_types.StartCall] = []
        self._flights: dict[int, _lanes.Flight] = {}
        self._numbers = 0
        self.room = _result_room.ResultRoom(self.services)
        self.retries = _piece_retries.PieceRetries(
            self.services, self.room, limits
        )

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

    def take_actions(self) -> list[_plan_types.Action]:
        """Return calls, and results to be freed, since the last time."""
        actions: list[_plan_types.Action] = [*self.room.actions, *self._calls]
        self.room.actions.clear()
        self._calls.clear()
        return actions

    def start(self, jobs: list[_jobs.Job], now: float) -> None:
        """Send calls to idle endpoints, with pieces in the jobs' order."""
        waiting: dict[str, list[_lanes.Waiting]] = {}
        for job in jobs:
            for number in job.ready_stages:
                if self._starts_too_early(job, number, now):
                    continue
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
    ) -> None:
        """Take in the answer to a call; None if there was none."""
        flight = self._flights.pop(number, None)
        if flight is None:
            return
        flight.lane.flights.pop(number, None)
        if results is None or len(results) != len(flight.parts):
            results = (_plan_types.PieceResult('', 'error'),) * len(
                flight.parts
            )
            self._failed(flight, now, ran=ran)
        elif not flight.overdue and all(one.handle for one in results):
            flight.lane.learn(flight, now)
            self.services[flight.service].had_room()
        if any(one.reason == 'room' for one in results):
            self.services[flight.service].no_room(flight.lane, now)
        for part, outcome in zip(flight.parts, results):
            part.job.stages[part.stage].land(part.piece)
            flight.lane.room += part.size
            if not ran:
                # Rejected calls cost the endpoint no work.
                self.retries.queue_again(part)
                continue
            self._piece_ended(flight, part, outcome, now)

    def free_inputs(self, now: float) -> None:
        """Free results that calls under way were the last to read."""
        for flight in self._flights.values():
            fetched = now >= flight.started_at + _FETCH_S
            if flight.inputs_fetched or flight.overdue or not fetched:
                continue
            flight.inputs_fetched = True
            for part in flight.parts:
                job = part.job
                job.stages[part.stage].fetched(part.piece)
                if not job.closed:
                    self.room.release(
                        job.drop_results(_inputs.no_longer_read(job.stages))
                    )

    def overdue(self, now: float) -> None:
        """Give pieces of calls that take too long to other endpoints."""
        for flight in self._flights.values():
            lanes = self.services[flight.service].lanes
            gone = flight.lane.endpoint.incarnation not in lanes
            late = now >= self._due_at(flight)
            if not flight.overdue and (late or gone):
                flight.overdue = True
                flight.lane.fail(self._limits.block_s, now)
                _events.STAGE_CALL_OVERDUE.log(
                    _logger,
                    call=flight.number,
                    endpoint=flight.lane.endpoint.name,
                    listed=not gone,
                    after_ms=round((now - flight.started_at) * _MS),
                )
                for part in flight.parts:
                    self.retries.try_again(part, now)

    def next_due(self) -> list[float]:
        """Return when open calls become overdue."""
        return [
            self._due_at(flight)
            for flight in self._flights.values()
            if not flight.overdue
        ]

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
            bound = (
                part.job.shape.traffics[part.stage].total >= _shape.LARGE_BYTES
            )
            if bound and not part.job.zone:
                part.job.zone = lane.endpoint.zone
            part.job.stages[part.stage].take(part.piece)
            lane.room -= part.size
        lane.flights[flight.number] = flight
        self._flights[flight.number] = flight
        self._calls.append(
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
            size_factor=round(self.services[name].size_factor, 2),
            requests=sorted(requests),
        )

    def _due_at(self, flight: _lanes.Flight) -> float:
        patience_s = flight.expected_s * self._limits.overdue_factor
        return flight.started_at + patience_s + self._limits.overdue_s

    def _failed(self, flight: _lanes.Flight, now: float, *, ran: bool) -> None:
        block_s = self._limits.block_s
        if ran:
            flight.lane.fail(block_s, now)
        else:
            refused_s = block_s * _REFUSED_BLOCK_SHARE
            flight.lane.blocked_until = now + refused_s
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
    ) -> None:
        if outcome.handle:
            self.retries.budget(flight.service).succeeded(now)
            self._keep(flight.lane, part, outcome.handle, now)
            return
        _events.PIECE_FAILED.log(
            _logger,
            request_id=part.job.ask.request_id,
            call=flight.number,
            stage=part.stage,
            piece=part.piece,
            reason=outcome.reason,
        )
        if outcome.reason == 'gone':
            self.retries.redo_inputs(part)
        elif outcome.reason == 'room':
            self.retries.budget(flight.service).try_spend(now)
            self.retries.queue_again(part)
        else:
            self.retries.try_again(part, now)

    def _keep(
        self, lane: _lanes.Lane, part: _lanes.Part, handle: str, now: float
    ) -> None:
        """Note a result, or free it if nothing wants it."""
        held = _stage_state.Held(
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
            self.room.release([held])
            return
        stage.keep(part.piece, held)
        self.room.release(
            part.job.drop_results(_inputs.no_longer_read(part.job.stages))
        )

    def _starts_too_early(
        self, job: _jobs.Job, number: int, now: float
    ) -> bool:
        return _outlook.starts_too_early(
            job, number, self.services, self._limits, now
        )
