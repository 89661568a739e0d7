"""Streaming requests, which an engine answers with a series of events."""

import functools
import itertools
import random
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import (
    _clock,
    _connection,
    _event_stream,
    _exchange,
    _in_flight,
    _next_attempt,
    _planning,
    _replacement,
    _silence,
    _stop_check,
    _stream_origin,
)

_rng: Final = random.Random()
_counter: Final = itertools.count(1)
_OK: Final = 200
_MIN_ATTEMPT_S: Final = 0.05
_UNKNOWN_RETRY_AFTER_S: Final = 0.5
_PLAN_AGAIN_S: Final = 0.2
# Reasons of a planner to which more time would be the remedy.
_TIME_REFUSALS: Final = frozenset(('no_time', 'deadline'))
_BACKOFF: Final = 'backoff'
_STOP_REFUSAL: Final = serving.Refuse('', _stop_check.REASON, None)
# Reasons for which a planner will not plan a request in the next seconds.
_FINAL_REFUSALS: Final = frozenset(('quarantined', 'no_engine_of_version'))


class StreamingRequest:
    """Serves one streaming request, resuming its stream where allowed."""

    def __init__(self, in_flight: _in_flight.InFlightRequest) -> None:
        self._in_flight = in_flight
        self._delivered = _event_stream.DeliveredEvents(
            in_flight.call.last_event
        )
        self._origin = _stream_origin.StreamOrigin(in_flight)
        self._plan: _planning.Plan | None = None
        self._watch = _silence.SilenceWatch(
            max(
                in_flight.context.gateway_settings.send.silent_s,
                in_flight.route.target_s,
            )
        )
        self._search = _replacement.ReplacementSearch(
            in_flight,
            self._watch,
            self._plan_request,
            lambda endpoint: not self._problem(endpoint),
        )
        # Endpoints that may be sound but were silent for too long.
        self._left_silent: set[str] = set()
        self._pieces_ran = False

    async def serve(self) -> None:
        """Plan and send the request until it has its final answer."""
        try:
            again = await self._origin.find()
            if not again:
                await self._in_flight.refuse(
                    'version_unknown', _UNKNOWN_RETRY_AFTER_S
                )
            while again:
                again = await self._attempt()
        finally:
            # The attempt was cancelled by a disconnect or the deadline.
            if self._plan:
                self._plan.report_event('cancelled')
            self._search.drop()

    async def _attempt(self) -> bool:
        """Make one attempt; return whether another one follows."""
        in_flight = self._in_flight
        replacement = self._search.take()
        if replacement:
            self._plan = replacement.plan
            return await self._send(replacement.decision, replacement.plan)
        obstacle = _next_attempt.obstacle(in_flight)
        if self._origin.is_removed:
            obstacle = 'route_removed'
        if obstacle:
            await self._fail(obstacle)
            return False
        plan = in_flight.context.planning.plan(self._plan_request())
        self._plan = plan
        decision = await self._wait_for_decision(plan)
        if isinstance(decision, serving.Refuse):
            self._plan = None
            return await self._plan_again(decision)
        self._pieces_ran = True
        if decision.endpoint.service not in _next_attempt.current_services(
            in_flight
        ):
            plan.report_event('cancelled')
            return True
        return await self._send_if_allowed(decision, plan)

    async def _send_if_allowed(
        self, decision: serving.RunAt, plan: _planning.Plan
    ) -> bool:
        """Send the request to the chosen engine unless it must not get it."""
        problem = self._problem(decision.endpoint)
        if not problem:
            return await self._send(decision, plan)
        plan.report_event('cancelled')
        if problem == _BACKOFF:
            # Learnt while the request was planned: another engine may take it.
            return True
        await self._fail(problem)
        return False

    def _problem(self, endpoint: serving.Endpoint) -> str:
        """Return why an engine must not get the request; empty if it may."""
        if not self._origin.allows(endpoint):
            return 'other_version'
        if self._in_flight.quarantine_s is not None:
            # Learned while the request was planned.
            return 'quarantined'
        if not _stop_check.admits(self._in_flight, endpoint):
            return _stop_check.REASON
        backed_off = self._in_flight.context.statements.backed_off(_clock.now())
        return _BACKOFF if endpoint.incarnation in backed_off else ''

    async def _wait_for_decision(
        self, plan: _planning.Plan
    ) -> serving.RunAt | serving.Refuse:
        """Return the decision, or a refusal once it is too late for a stop."""
        in_flight = self._in_flight
        if in_flight.reply.begun:
            return await plan.wait_for_decision()
        needed_s = functools.partial(_stop_check.needed_s, in_flight)
        waiting = trio.CancelScope()
        with waiting, in_flight.context.stop.shortening(waiting, needed_s):
            decision = await plan.wait_for_decision()
            if (
                isinstance(decision, serving.Refuse)
                and decision.reason in _TIME_REFUSALS
                and _stop_check.limits_planning(in_flight)
            ):
                return _STOP_REFUSAL
            return decision
        plan.report_event('cancelled')
        return _STOP_REFUSAL

    async def _plan_again(self, refusal: serving.Refuse) -> bool:
        """Return whether a refused request is planned again; if not, end it."""
        in_flight = self._in_flight
        if in_flight.reply.begun and refusal.reason not in _FINAL_REFUSALS:
            # The caller waits for the next event, and may not come back.
            await trio.sleep(_PLAN_AGAIN_S)
            return True
        if in_flight.attempt_counts.may_have_run:
            await self._fail(refusal.reason)
        else:
            await in_flight.refuse(refusal.reason, refusal.retry_after_s)
        return False

    def _plan_request(self) -> serving.PlanRequest:
        in_flight = self._in_flight
        call = in_flight.call
        counts = call.pieces
        stages = tuple(
            serving.StageRequest(
                stage.service,
                stage.after,
                stage.result_bytes,
                counts[number] if number < len(counts) else 1,
            )
            for number, stage in enumerate(in_flight.route.stages)
        )
        return serving.PlanRequest(
            key=f'{in_flight.context.gateway_settings.name}/{_clock.wall_ms()}/{next(_counter)}',
            request_id=call.request_id,
            route=in_flight.route.name,
            service=self._origin.service
            or serving.pick_service(in_flight.route, _rng),
            stages=stages,
            piece_key=call.piece_key,
            prompt=call.prompt,
            target_s=in_flight.target_time_left_s,
            deadline_s=min(
                in_flight.time_left_s,
                in_flight.next_event_time_left_s,
                _stop_check.first_event_limit_s(in_flight),
            ),
            priority=in_flight.matched.priority,
            zone=in_flight.context.gateway_settings.zone,
            avoid=_next_attempt.avoided(in_flight, self._left_silent),
            content=in_flight.content,
            version=self._origin.version,
            repeated=self._pieces_ran,
            gateway=in_flight.context.gateway_settings.name,
        )

    async def _send(
        self, decision: serving.RunAt, plan: _planning.Plan
    ) -> bool:
        in_flight = self._in_flight
        endpoint = decision.endpoint
        options = platform.SendOptions(
            endpoint=endpoint.name,
            time_left_s=in_flight.time_left_s,
            team=in_flight.team,
            priority=in_flight.matched.priority,
            results=decision.results,
            cache_source=decision.cache_source,
            last_event=self._delivered.last_event,
        )
        self._origin.start_attempt(endpoint)
        async with _exchange.attempt(
            in_flight, endpoint, options
        ) as connection:
            answer = await self._receive_or_replace(connection, endpoint, plan)
        outcome = _exchange.attempt_outcome(answer)
        done = isinstance(answer, serving.AnswerHead) and not answer.not_run
        self._plan = None
        plan.report_event(
            'ended'
            if done or outcome is serving.AttemptOutcome.rejected
            else 'failed'
        )
        detail = (
            answer.reason
            if isinstance(answer, _connection.ExchangeFailure)
            else answer.status
        )
        in_flight.record_outcome(endpoint, outcome, detail)
        in_flight.context.metrics.record_attempt(
            endpoint.service, outcome.value
        )
        return await self._decide_next(endpoint, outcome, answer)

    async def _receive_or_replace(
        self,
        connection: _exchange.ConnectionOrFailure,
        endpoint: serving.Endpoint,
        plan: _planning.Plan,
    ) -> serving.AnswerHead | _connection.ExchangeFailure:
        """Forward the answer unless a replacement is found in a silence."""
        if not self._in_flight.route.resumable:
            return await self._receive(connection, plan)
        answer: serving.AnswerHead | _connection.ExchangeFailure = (
            _connection.ExchangeFailure('silent', sent=True)
        )
        with trio.CancelScope() as scope:
            with self._in_flight.reply.background(
                self._search.serve, endpoint, scope
            ):
                answer = await self._receive(connection, plan)
        return answer

    async def _receive(
        self, connection: _exchange.ConnectionOrFailure, plan: _planning.Plan
    ) -> serving.AnswerHead | _connection.ExchangeFailure:
        """Forward the answer; return its head if it is complete."""
        if isinstance(connection, _connection.ExchangeFailure):
            return connection
        self._watch.record_progress()
        head = await self._watch.receive(connection.receive_head)
        if isinstance(head, _connection.ExchangeFailure) or head.not_run:
            return head
        if head.status != _OK:
            return await self._receive_failure(connection, head)
        return await self._forward(connection, head, plan)

    async def _receive_failure(
        self, connection: _connection.Connection, head: serving.AnswerHead
    ) -> serving.AnswerHead | _connection.ExchangeFailure:
        in_flight = self._in_flight
        body = await connection.receive_body(
            in_flight.context.pool.limits.max_answer_bytes
        )
        if isinstance(body, _connection.ExchangeFailure):
            return body
        self._delivered.failure_body = body
        return head

    async def _forward(
        self,
        connection: _connection.Connection,
        head: serving.AnswerHead,
        plan: _planning.Plan,
    ) -> serving.AnswerHead | _connection.ExchangeFailure:
        self._watch.record_progress()
        splitter = _event_stream.EventSplitter()
        part = await self._watch.receive(connection.receive_chunk)
        while isinstance(part, _connection.Chunk):
            received = splitter.feed(part.content)
            self._in_flight.run.add_events(len(received))
            events = self._delivered.select_new(received)
            if events:
                plan.report_event('started')
                self._origin.record_event()
                await self._write(head, events)
                self._watch.record_progress()
            if splitter.is_oversized:
                return _connection.ExchangeFailure('event too large', sent=True)
            if self._in_flight.route.resumable and self._watch.is_overdue:
                return _connection.ExchangeFailure('no event', sent=True)
            part = await self._watch.receive(connection.receive_chunk)
        if isinstance(part, _connection.ExchangeFailure):
            return part
        has_events = (
            self._in_flight.reply.begun
            or self._delivered.last_event is not None
        )
        if not (connection.framed or has_events):
            # It may have been broken off before its first event.
            return _connection.ExchangeFailure('without an event', sent=True)
        return await self._finish(head, splitter.incomplete)

    async def _write(self, head: serving.AnswerHead, events: bytes) -> None:
        reply = self._in_flight.reply
        self._in_flight.last_event_at = _clock.now()
        self._in_flight.prompt_progress.record_event()
        if reply.begun:
            await reply.write_chunk(events)
        else:
            await reply.write_head(head.status, head.headers, events)

    async def _finish(
        self, head: serving.AnswerHead, rest: bytes
    ) -> serving.AnswerHead | _connection.ExchangeFailure:
        if rest.strip():
            return _connection.ExchangeFailure(
                'ended within an event', sent=True
            )
        self._in_flight.run.end(complete=True)
        reply = self._in_flight.reply
        if not reply.begun:
            await reply.write_head(head.status, head.headers, b'')
        await reply.write_end()
        self._in_flight.record_final_answer(head.status, 'delivered')
        return head

    async def _decide_next(
        self,
        endpoint: serving.Endpoint,
        outcome: serving.AttemptOutcome,
        answer: serving.AnswerHead | _connection.ExchangeFailure,
    ) -> bool:
        """Return whether another attempt follows; if not, end the request."""
        in_flight = self._in_flight
        now = _clock.now()
        budget = in_flight.context.budgets.for_service(endpoint.service)
        status = answer.status if isinstance(answer, serving.AnswerHead) else 0
        if outcome is serving.AttemptOutcome.answered and status == _OK:
            budget.record_success(now)
            return False
        in_flight.tried_incarnations.add(endpoint.incarnation)
        if self._search.found:
            # The retry was allowed and paid for when it was granted.
            self._left_silent.add(endpoint.incarnation)
            return True
        step = serving.next_step(
            in_flight.route,
            in_flight.attempt_counts,
            outcome,
            status,
            may_retry=budget.balance >= 1,
        )
        if step is serving.AttemptStep.again:
            if outcome is not serving.AttemptOutcome.unsent:
                budget.try_spend(now)
            return True
        if step is serving.AttemptStep.deliver and isinstance(
            answer, serving.AnswerHead
        ):
            await self._deliver_failure(answer)
        elif step is serving.AttemptStep.refuse:
            backoff_s = _next_attempt.backoff_s(in_flight, endpoint.service)
            await in_flight.refuse('rejected', backoff_s)
        else:
            await self._fail('unknown')
        return False

    async def _deliver_failure(self, head: serving.AnswerHead) -> None:
        in_flight = self._in_flight
        if in_flight.reply.begun:
            await self._fail('failed_again')
        else:
            await in_flight.deliver(head, self._delivered.failure_body)

    async def _fail(self, reason: str) -> None:
        """End a request with an error, or abort a stream that has begun."""
        in_flight = self._in_flight
        if in_flight.reply.begun:
            in_flight.reply.abort()
            in_flight.record_final_answer(_in_flight.BAD_GATEWAY, reason)
        elif in_flight.attempt_counts.may_have_run:
            late = in_flight.time_left_s < _MIN_ATTEMPT_S
            status = (
                _in_flight.GATEWAY_TIMEOUT if late else _in_flight.BAD_GATEWAY
            )
            await in_flight.fail(status, reason)
        else:
            await in_flight.refuse(reason, in_flight.quarantine_s)
