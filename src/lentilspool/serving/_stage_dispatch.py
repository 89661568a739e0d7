"""Dispatches calls to stage services and handles their results."""

import logging
from typing import Final

from lentilspool.serving import (
    _configuration,
    _endpoint_statements,
    _endpoints,
    _estimates,
    _events,
    _inputs,
    _jobs,
    _lost_calls,
    _piece_retries,
    _plan_types,
    _result_release,
    _stage_graph,
    _stage_service,
    _stage_state,
    _suspects,
)

_logger: Final = logging.getLogger(__name__)
_MS_PER_S: Final = 1000
_BYTES_PER_KB: Final = 1000
# Time after which the endpoint of a call has fetched its inputs. It fetches
# them first, over links of several Gbit/s.
_FETCH_S: Final = 0.1


class StageDispatcher:
    """All stage services, the calls to them and the results they hold.

    ``take_actions`` returns the messages to send. Jobs that cannot be
    completed are in ``retries.failed_jobs``.
    """

    def __init__(
        self,
        limits: _plan_types.PlanLimits,
        suspects: _suspects.Suspects,
        statements: _endpoint_statements.EndpointStatements,
    ) -> None:
        self._limits = limits
        self._statements = statements
        self._suspects = suspects
        self.services: _estimates.Services = {}
        self._listed: frozenset[str] = frozenset()
        self._begun: list[_plan_types.Begun] = []
        self._outgoing_calls: list[_plan_types.StartCall] = []
        self.lost_calls = _lost_calls.LostCalls()
        self._open_calls: dict[int, _stage_service.OpenCall] = {}
        self._last_number = 0
        self.releaser = _result_release.ResultReleaser(self.services)
        self.retries = _piece_retries.PieceRetries(
            self.services, self.releaser, limits
        )

    def update_endpoints(
        self,
        name: str,
        limits: _configuration.BatchLimits,
        endpoints: tuple[_endpoints.Endpoint, ...],
    ) -> None:
        """Apply the limits of a service and its endpoints that take calls."""
        if name not in self.services:
            self.services[name] = _stage_service.StageService(
                limits, self._limits, self._statements
            )
        self.services[name].update_endpoints(endpoints, limits)

    def apply_listed(self, incarnations: frozenset[str]) -> None:
        """Apply all endpoints that are listed, including those that leave."""
        self._listed = incarnations

    def take_actions(self) -> list[_plan_types.Action]:
        """Return and clear the pending calls and orders to free results."""
        actions: list[_plan_types.Action] = [
            *self.releaser.actions,
            *self._begun,
            *self._outgoing_calls,
            *self.lost_calls.checks,
        ]
        self.lost_calls.checks.clear()
        self.releaser.actions.clear()
        self._begun.clear()
        self._outgoing_calls.clear()
        return actions

    def dispatch(self, jobs: list[_jobs.Job], now: float) -> None:
        """Fill calls for idle endpoints with pieces, in the order of jobs."""
        waiting: dict[str, list[_stage_service.ReadyStage]] = {}
        for job in self.lost_calls.without_held(jobs):
            for number in job.ready_stages:
                if self._starts_too_early(job, number, now):
                    continue
                service = job.stages[number].stage_request.service
                waiting.setdefault(service, []).append((job, number))
        for name, queue in waiting.items():
            stage_service = self.services.get(name)
            if stage_service:
                for stage_endpoint in stage_service.idle_endpoints(now):
                    call_pieces = stage_service.fill_call(
                        stage_endpoint, queue, now
                    )
                    self._send(name, stage_endpoint, call_pieces, now)

    def finish_call(
        self,
        number: int,
        results: tuple[_plan_types.PieceResult, ...] | None,
        now: float,
        *,
        ran: bool,
        sent: bool = True,
    ) -> None:
        """Record the results of a call; None if there was no answer."""
        open_call = self._open_calls.pop(number, None)
        if open_call is None:
            return
        open_call.stage_endpoint.open_calls.pop(number, None)
        if results is None or len(results) != len(open_call.call_pieces):
            self._record_call_failure(open_call, now, ran=ran)
            self._end_failed(open_call, now, ran=ran, sent=sent)
            return
        if not open_call.overdue and all(one.handle for one in results):
            open_call.stage_endpoint.record_call_time(open_call, now)
            self.services[open_call.service].record_sufficient_memory()
        if any(one.reason == 'room' for one in results):
            self.services[open_call.service].record_memory_shortage(
                open_call.stage_endpoint, now
            )
        for call_piece, outcome in zip(open_call.call_pieces, results):
            call_piece.job.stages[call_piece.stage].end_call(call_piece.piece)
            open_call.stage_endpoint.free_bytes += call_piece.size
            self._piece_ended(open_call, call_piece, outcome, now)

    def release_fetched_inputs(self, now: float) -> None:
        """Free results that their last readers, calls in flight, fetched."""
        for open_call in self._open_calls.values():
            fetched = now >= open_call.started_at + _FETCH_S
            if open_call.inputs_fetched or open_call.overdue or not fetched:
                continue
            open_call.inputs_fetched = True
            for call_piece in open_call.call_pieces:
                job = call_piece.job
                job.stages[call_piece.stage].fetched(call_piece.piece)
                if not job.closed:
                    self.releaser.release(
                        job.drop_results(_inputs.no_longer_read(job.stages))
                    )

    def retry_lost(self, now: float) -> None:
        """Retry the pieces of calls that are overdue or lost their endpoint."""
        for open_call in self._open_calls.values():
            # An endpoint that leaves ends its calls.
            incarnation = open_call.stage_endpoint.endpoint.incarnation
            delisted = incarnation not in self._listed
            late = now >= self._due_at(open_call)
            if not open_call.overdue and (late or delisted):
                open_call.overdue = True
                open_call.stage_endpoint.block_after_failure(
                    self._limits.block_s, now
                )
                _events.STAGE_CALL_OVERDUE.log(
                    _logger,
                    call=open_call.number,
                    endpoint=open_call.stage_endpoint.endpoint.name,
                    listed=not delisted,
                    after_ms=round((now - open_call.started_at) * _MS_PER_S),
                )
                self.lost_calls.check(open_call)
                for call_piece in open_call.call_pieces:
                    self.retries.retry(call_piece, now)
        for call_piece in self.lost_calls.take_released(now):
            self.retries.retry(call_piece, now)

    def due_times(self) -> list[float]:
        """Return the times at which pieces of open calls are due for retry."""
        return self.lost_calls.due_times() + [
            self._due_at(open_call)
            for open_call in self._open_calls.values()
            if not open_call.overdue
        ]

    def close(self, job: _jobs.Job) -> None:
        """Close a job and free all its results."""
        job.closed = True
        self.releaser.release(job.drop_results(list(range(len(job.stages)))))

    def _send(
        self,
        name: str,
        stage_endpoint: _stage_service.StageEndpoint,
        call_pieces: list[_stage_service.CallPiece],
        now: float,
    ) -> None:
        if not call_pieces:
            return
        self._last_number += 1
        expected_s = stage_endpoint.call_s(len(call_pieces))
        open_call = _stage_service.OpenCall(
            self._last_number,
            name,
            stage_endpoint,
            tuple(call_pieces),
            now,
            expected_s,
        )
        pieces = tuple(
            _stage_service.piece_to_send(one, now) for one in call_pieces
        )
        for call_piece in call_pieces:
            if not call_piece.job.begun:
                self._begun.append(
                    _plan_types.Begun(call_piece.job.plan_request.key)
                )
            call_piece.job.begun = True
            large = (
                call_piece.job.stage_graph.traffics[
                    call_piece.stage
                ].total_bytes
                >= _stage_graph.LARGE_RESULT_BYTES
            )
            if large and not call_piece.job.zone:
                call_piece.job.zone = stage_endpoint.endpoint.zone
            call_piece.job.stages[call_piece.stage].start_call(call_piece.piece)
            stage_endpoint.free_bytes -= call_piece.size
        incarnation = stage_endpoint.endpoint.incarnation
        self._statements.record_sent(incarnation, now)
        stage_endpoint.open_calls[open_call.number] = open_call
        self._open_calls[open_call.number] = open_call
        self._outgoing_calls.append(
            _plan_types.StartCall(
                open_call.number, stage_endpoint.endpoint, pieces
            )
        )
        requests = {one.job.plan_request.request_id for one in call_pieces}
        _events.STAGE_CALL.log(
            _logger,
            call=open_call.number,
            endpoint=stage_endpoint.endpoint.name,
            pieces=len(call_pieces),
            expected_ms=round(expected_s * _MS_PER_S),
            room_kb=round(stage_endpoint.free_bytes / _BYTES_PER_KB),
            size_factor=round(self.services[name].size_factor, 2),
            requests=sorted(requests),
        )

    def _due_at(self, open_call: _stage_service.OpenCall) -> float:
        allowed_s = open_call.expected_s * self._limits.overdue_factor
        return open_call.started_at + allowed_s + self._limits.overdue_s

    def _end_failed(
        self,
        open_call: _stage_service.OpenCall,
        now: float,
        *,
        ran: bool,
        sent: bool,
    ) -> None:
        """End a call without results; pieces of overdue ones were retried."""
        for call_piece in open_call.call_pieces:
            call_piece.job.stages[call_piece.stage].end_call(call_piece.piece)
            open_call.stage_endpoint.free_bytes += call_piece.size
            if not (ran and sent):
                self.retries.retry(call_piece, now)
        if ran and sent and not open_call.overdue:
            self.lost_calls.hold(open_call, now)

    def _record_call_failure(
        self,
        open_call: _stage_service.OpenCall,
        now: float,
        *,
        ran: bool,
    ) -> None:
        block_s = self._limits.block_s
        if ran:
            open_call.stage_endpoint.block_after_failure(block_s, now)
        else:
            open_call.stage_endpoint.block_after_rejection(block_s, now)
        _events.STAGE_CALL_FAILED.log(
            _logger,
            call=open_call.number,
            endpoint=open_call.stage_endpoint.endpoint.name,
            ran=ran,
            after_ms=round((now - open_call.started_at) * _MS_PER_S),
        )

    def _piece_ended(
        self,
        open_call: _stage_service.OpenCall,
        call_piece: _stage_service.CallPiece,
        outcome: _plan_types.PieceResult,
        now: float,
    ) -> None:
        if outcome.handle:
            self._store_result(
                open_call.stage_endpoint, call_piece, outcome.handle, now
            )
            return
        _events.PIECE_FAILED.log(
            _logger,
            request_id=call_piece.job.plan_request.request_id,
            call=open_call.number,
            stage=call_piece.stage,
            piece=call_piece.piece,
            reason=outcome.reason,
        )
        if outcome.reason == 'gone':
            self.retries.retry_without_inputs(call_piece, now)
        else:
            self.retries.retry(call_piece, now)

    def _store_result(
        self,
        stage_endpoint: _stage_service.StageEndpoint,
        call_piece: _stage_service.CallPiece,
        handle: str,
        now: float,
    ) -> None:
        """Store a result, or free it if it is not needed."""
        held = _stage_state.HeldResult(
            handle,
            stage_endpoint.endpoint.incarnation,
            stage_endpoint.endpoint.address,
            call_piece.size,
            now + stage_endpoint.limits.keep_s,
            stage_endpoint.endpoint.zone,
        )
        stage_endpoint.free_bytes -= call_piece.size
        stage = call_piece.job.stages[call_piece.stage]
        if (
            call_piece.job.closed
            or stage.done
            or call_piece.piece in stage.held
        ):
            self.releaser.release([held])
            return
        stage.store_result(call_piece.piece, held)
        self._record_completion(
            call_piece.job, stage.stage_request.service, now
        )
        self.releaser.release(
            call_piece.job.drop_results(
                _inputs.no_longer_read(call_piece.job.stages)
            )
        )

    def _record_completion(
        self, job: _jobs.Job, service: str, now: float
    ) -> None:
        """Record that a service has run all pieces of a request, if it has.

        The platform counts requests, so a request earns the same share of a
        retry however many pieces it has.
        """
        if not all(
            stage.done
            for stage in job.stages
            if stage.stage_request.service == service
        ):
            return
        self.retries.budget(service).record_success(now)
        content = job.plan_request.content
        if self._suspects.open_deaths(content):
            self._suspects.record_completion(content, service)

    def _starts_too_early(
        self, job: _jobs.Job, number: int, now: float
    ) -> bool:
        return _estimates.starts_too_early(
            job, number, self.services, self._limits, now
        )
