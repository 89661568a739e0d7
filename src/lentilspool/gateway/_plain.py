"""Requests that an endpoint answers in one piece."""

import dataclasses
import random
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import _clock, _connection, _exchange, _flight

_rng: Final = random.Random()
_BLOCK_S: Final = 0.5
_SERVER_ERRORS: Final = 500
_NO_ENDPOINT_S: Final = 0.5
_LEAST_S: Final = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class _Outcome:
    """End of an attempt."""

    head: serving.AnswerHead | _connection.Broken
    """Head of the answer, or why there is none."""

    body: bytes = b''
    """Whole body of the answer."""

    @property
    def status(self) -> int:
        """Status of the answer; 0 if there is none."""
        if isinstance(self.head, serving.AnswerHead):
            return self.head.status
        return 0


async def serve(flight: _flight.Flight) -> None:
    """Send a request until it has its final answer."""
    service = serving.pick_service(flight.route, _rng)
    while True:
        if service not in flight.current_services():
            service = serving.pick_service(flight.route, _rng)
        endpoints = flight.tools.published.directory.ready(service)
        endpoint = flight.tools.loads.choose(
            endpoints, flight.tried, _clock.now()
        )
        if endpoint is None or flight.left_s < _LEAST_S:
            await _give_up(flight)
            return
        outcome = await _attempt(flight, endpoint)
        step = _decide(flight, endpoint, outcome)
        if step is not serving.AttemptStep.again:
            await _conclude(flight, step, outcome)
            return


async def _attempt(
    flight: _flight.Flight, endpoint: serving.Endpoint
) -> _Outcome:
    limit_s = flight.left_s
    route = flight.route
    if route.repeatable and flight.tally.sent + 1 < route.attempts:
        limit_s *= flight.tools.own.send.attempt_share
    loads = flight.tools.loads
    loads.request_started(endpoint)
    began_at = _clock.now()
    outcome = _Outcome(_connection.Broken('no answer in time', sent=True))
    scope = trio.move_on_after(limit_s)
    try:
        with scope:
            outcome = await _exchanged(flight, endpoint)
        if scope.cancelled_caught:
            reason = 'no answer in time'
            outcome = _Outcome(_connection.Broken(reason, flight.sent))
    finally:
        head = outcome.head
        answered = isinstance(head, serving.AnswerHead)
        loads.request_ended(
            endpoint,
            succeeded=answered and outcome.status < _SERVER_ERRORS,
            latency_s=_clock.now() - began_at,
            load=head.load if isinstance(head, serving.AnswerHead) else None,
            now=_clock.now(),
        )
    return outcome


async def _exchanged(
    flight: _flight.Flight, endpoint: serving.Endpoint
) -> _Outcome:
    options = platform.SendOptions(
        endpoint=endpoint.name,
        time_left_s=flight.left_s,
        team=flight.team,
        last_event=flight.call.last_event,
    )
    async with _exchange.attempt(flight, endpoint, options) as connection:
        if isinstance(connection, _connection.Broken):
            return _Outcome(connection)
        head = await connection.head()
        if isinstance(head, _connection.Broken):
            return _Outcome(head)
        body = await connection.body(flight.tools.pool.limits.max_answer_bytes)
        if isinstance(body, _connection.Broken):
            return _Outcome(body)
        return _Outcome(head, body)


def _decide(
    flight: _flight.Flight, endpoint: serving.Endpoint, outcome: _Outcome
) -> serving.AttemptStep:
    end = _exchange.end_of(outcome.head)
    head = outcome.head
    reason = head.reason if isinstance(head, _connection.Broken) else ''
    flight.note_end(endpoint, end, reason or outcome.status)
    flight.tools.metrics.attempt_ended(endpoint.service, end.value)
    now = _clock.now()
    budget = flight.tools.budgets.of(endpoint.service)
    failed = end is not serving.AttemptOutcome.answered
    if failed or outcome.status >= _SERVER_ERRORS:
        flight.tried.add(endpoint.incarnation)
        if failed:
            flight.tools.loads.block_endpoint(endpoint, _BLOCK_S, now)
    else:
        budget.record_success(now)
    step = serving.next_step(
        flight.route,
        flight.tally,
        end,
        outcome.status,
        may_retry=budget.balance >= 1,
    )
    if (
        step is serving.AttemptStep.again
        and end is not serving.AttemptOutcome.unsent
    ):
        budget.try_spend(now)
    return step


async def _conclude(
    flight: _flight.Flight, step: serving.AttemptStep, outcome: _Outcome
) -> None:
    head = outcome.head
    if step is serving.AttemptStep.deliver and isinstance(
        head, serving.AnswerHead
    ):
        await flight.deliver(head, outcome.body)
    elif step is serving.AttemptStep.refuse:
        await flight.refuse('rejected', None)
    else:
        late = flight.left_s < _LEAST_S
        status = _flight.TIMED_OUT if late else _flight.BAD_GATEWAY
        await flight.fail(status, 'unknown')


async def _give_up(flight: _flight.Flight) -> None:
    """End a request for which no endpoint, or no time, is left."""
    if flight.tally.may_have_run:
        await flight.fail(_flight.BAD_GATEWAY, 'no_endpoint')
    else:
        await flight.refuse('no_endpoint', _NO_ENDPOINT_S)
