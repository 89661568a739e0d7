"""Requests that an engine answers with a stream of events."""

import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import trio

from lentilspool import platform, serving
from lentilspool.gateway import (
    _clock,
    _connection,
    _event_stream,
    _exchange,
    _flight,
    _planning,
)

_rng: Final = random.Random()
_counter: Final = itertools.count(1)
_OK: Final = 200
_LEAST_S: Final = 0.05
_Part = TypeVar('_Part')


class StreamRun:
    """Serves one request whose answer is a stream of events."""

    def __init__(self, flight: _flight.Flight) -> None:
        self._flight = flight
        self._passed = _event_stream.Passed(flight.call.last_event)
        self._plan: _planning.Plan | None = None

    async def serve(self) -> None:
        """Plan and send the request until it has its final answer."""
        try:
            again = True
            while again:
                again = await self._attempt()
        finally:
            # A caller who left, or the deadline, ends the attempt here.
            if self._plan:
                self._plan.note('cancelled')

    async def _attempt(self) -> bool:
        """Make one attempt; return whether another one is to follow."""
        flight = self._flight
        if flight.left_s < _LEAST_S:
            await self._fail('no_time')
            return False
        plan = flight.tools.planning.plan(self._ask())
        self._plan = plan
        settled = await plan.settle()
        if isinstance(settled, serving.Refuse):
            self._plan = None
            if flight.tally.may_have_run:
                await self._fail(settled.reason)
            else:
                await flight.refuse(settled.reason, settled.retry_after_s)
            return False
        if settled.endpoint.service not in flight.current_services():
            plan.note('cancelled')
            return True
        return await self._send(settled, plan)

    def _ask(self) -> serving.PlanRequest:
        flight = self._flight
        call = flight.call
        counts = call.pieces
        stages = tuple(
            serving.StageRequest(
                stage.service,
                stage.after,
                stage.result_bytes,
                counts[number] if number < len(counts) else 1,
            )
            for number, stage in enumerate(flight.route.stages)
        )
        return serving.PlanRequest(
            key=f'{flight.tools.own.name}/{_clock.wall_ms()}/{next(_counter)}',
            request_id=call.request_id,
            route=flight.route.name,
            service=serving.pick_service(flight.route, _rng),
            stages=stages,
            piece_key=call.piece_key,
            prompt=call.prompt,
            target_s=flight.target_left_s,
            deadline_s=min(flight.left_s, flight.patience_left_s),
            priority=flight.matched.priority,
            zone=flight.tools.own.zone,
            avoid=tuple(flight.tried),
        )

    async def _send(self, settled: serving.RunAt, plan: _planning.Plan) -> bool:
        flight = self._flight
        endpoint = settled.endpoint
        options = platform.SendOptions(
            endpoint=endpoint.name,
            time_left_s=flight.left_s,
            team=flight.team,
            priority=flight.matched.priority,
            results=settled.results,
            cache_source=settled.cache_source,
            last_event=self._passed.last_event,
        )
        async with _exchange.attempt(flight, endpoint, options) as connection:
            outcome = await self._receive(connection, plan)
        end = _exchange.end_of(outcome)
        done = isinstance(outcome, serving.AnswerHead) and not outcome.not_run
        self._plan = None
        plan.note(
            'ended'
            if done or end is serving.AttemptOutcome.rejected
            else 'failed'
        )
        detail = (
            outcome.reason
            if isinstance(outcome, _connection.Broken)
            else outcome.status
        )
        flight.note_end(endpoint, end, detail)
        flight.tools.metrics.attempt_ended(endpoint.service, end.value)
        return await self._after(endpoint, end, outcome)

    async def _receive(
        self, connection: _exchange.Attempt, plan: _planning.Plan
    ) -> serving.AnswerHead | _connection.Broken:
        """Pass the answer on; return its head if it came whole."""
        if isinstance(connection, _connection.Broken):
            return connection
        head = await self._within(connection.head)
        if isinstance(head, _connection.Broken) or head.not_run:
            return head
        if head.status != _OK:
            return await self._receive_failure(connection, head)
        return await self._pass_on(connection, head, plan)

    async def _receive_failure(
        self, connection: _connection.Connection, head: serving.AnswerHead
    ) -> serving.AnswerHead | _connection.Broken:
        flight = self._flight
        body = await connection.body(flight.tools.pool.limits.max_answer_bytes)
        if isinstance(body, _connection.Broken):
            return body
        self._passed.failure = body
        return head

    async def _pass_on(
        self,
        connection: _connection.Connection,
        head: serving.AnswerHead,
        plan: _planning.Plan,
    ) -> serving.AnswerHead | _connection.Broken:
        splitter = _event_stream.Splitter()
        part = await self._within(connection.chunk)
        while isinstance(part, _connection.Chunk):
            events = self._passed.new(splitter.take(part.content))
            if events:
                plan.note('started')
                await self._write(head, events)
            part = await self._within(connection.chunk)
        if isinstance(part, _connection.Broken):
            return part
        return await self._finish(head, splitter.rest)

    async def _write(self, head: serving.AnswerHead, events: bytes) -> None:
        reply = self._flight.reply
        if reply.begun:
            await reply.chunk(events)
        else:
            await reply.begin(head.status, head.headers, events)

    async def _finish(
        self, head: serving.AnswerHead, rest: bytes
    ) -> serving.AnswerHead | _connection.Broken:
        if rest.strip():
            return _connection.Broken('ended within an event', sent=True)
        reply = self._flight.reply
        if not reply.begun:
            await reply.begin(head.status, head.headers, b'')
        await reply.finish()
        self._flight.ended(head.status, 'delivered')
        return head

    async def _within(
        self, receive: Callable[[], Awaitable[_Part | _connection.Broken]]
    ) -> _Part | _connection.Broken:
        """Await the next part; give silence up if the stream may go on."""
        flight = self._flight
        if not flight.route.resumable:
            return await receive()
        limit_s = flight.tools.own.send.silent_s
        limit_s = max(limit_s, flight.route.target_s)
        with trio.move_on_after(limit_s):
            return await receive()
        return _connection.Broken('silent', sent=True)

    async def _after(
        self,
        endpoint: serving.Endpoint,
        end: serving.AttemptOutcome,
        outcome: serving.AnswerHead | _connection.Broken,
    ) -> bool:
        """Decide whether another attempt follows; if not, end the request."""
        flight = self._flight
        now = _clock.now()
        budget = flight.tools.budgets.of(endpoint.service)
        status = (
            outcome.status if isinstance(outcome, serving.AnswerHead) else 0
        )
        if end is serving.AttemptOutcome.answered and status == _OK:
            budget.record_success(now)
            return False
        flight.tried.add(endpoint.incarnation)
        step = serving.next_step(
            flight.route,
            flight.tally,
            end,
            status,
            may_retry=budget.balance >= 1,
        )
        if step is serving.AttemptStep.again:
            if end is not serving.AttemptOutcome.unsent:
                budget.try_spend(now)
            return True
        if step is serving.AttemptStep.deliver and isinstance(
            outcome, serving.AnswerHead
        ):
            await self._deliver_failure(outcome)
        elif step is serving.AttemptStep.refuse:
            await flight.refuse('rejected', None)
        else:
            await self._fail('unknown')
        return False

    async def _deliver_failure(self, head: serving.AnswerHead) -> None:
        flight = self._flight
        if flight.reply.begun:
            await self._fail('failed_again')
        else:
            await flight.deliver(head, self._passed.failure)

    async def _fail(self, reason: str) -> None:
        """End a request without an answer, or a stream without its end."""
        flight = self._flight
        if flight.reply.begun:
            flight.reply.abort()
            flight.ended(_flight.BAD_GATEWAY, reason)
        elif flight.tally.may_have_run:
            late = flight.left_s < _LEAST_S
            status = _flight.TIMED_OUT if late else _flight.BAD_GATEWAY
            await flight.fail(status, reason)
        else:
            await flight.refuse(reason, None)
