"""Unary requests, which an endpoint answers with one complete body."""

import dataclasses
import random
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import (
    _clock,
    _connection,
    _exchange,
    _in_flight,
    _next_attempt,
    _plain_placement,
    _stop_check,
)

_rng: Final = random.Random()
_FAILED_ENDPOINT_BLOCK_S: Final = 0.5
_FIRST_SERVER_ERROR: Final = 500
_NO_TIME_RETRY_AFTER_S: Final = 0.5
_MIN_ATTEMPT_S: Final = 0.03
# Share of the time to the target for which a request waits for an endpoint.
_PATIENCE_SHARE: Final = 0.5
_REPLACEMENT_POLL_S: Final = 0.05
# Share of the time left after which an attempt is not left for another one.
_LAST_RETRY_SHARE: Final = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Answer to an attempt, or the reason why there is none."""

    head: serving.AnswerHead | _connection.ExchangeFailure
    """Head of the answer, or the reason why there is none."""

    body: bytes = b''
    """Whole body of the answer."""

    retry_paid: bool = False
    """Whether the attempt was ended for a retry that is paid for."""

    @property
    def status(self) -> int:
        """Status of the answer; 0 if there is none."""
        if isinstance(self.head, serving.AnswerHead):
            return self.head.status
        return 0


async def serve(in_flight: _in_flight.InFlightRequest) -> None:
    """Attempt a request at endpoints until it has its final answer."""
    service = serving.pick_service(in_flight.route, _rng)
    while in_flight.quarantine_s is None:
        if not _next_attempt.follow_route(in_flight):
            await _give_up(in_flight, 'route_removed', None)
            return
        if service not in _next_attempt.current_services(in_flight):
            service = serving.pick_service(in_flight.route, _rng)
        ask = _ask(in_flight, service)
        placed = await in_flight.context.placement.choose(ask)
        if _has_changed(in_flight, service):
            continue
        endpoint = _admit(in_flight, placed)
        if isinstance(endpoint, _plain_placement.NoEndpoint):
            await _give_up(in_flight, endpoint.reason, endpoint.retry_after_s)
            return
        answer = await _attempt(in_flight, endpoint)
        step = _decide(in_flight, endpoint, answer)
        if step is not serving.AttemptStep.again:
            await _conclude(in_flight, service, step, answer)
            return
    await _give_up(in_flight, 'quarantined', in_flight.quarantine_s)


def _has_changed(in_flight: _in_flight.InFlightRequest, service: str) -> bool:
    """Whether a request must not go to a service, as learnt meanwhile."""
    services = _next_attempt.current_services(in_flight)
    return service not in services or in_flight.quarantine_s is not None


def _admit(
    in_flight: _in_flight.InFlightRequest,
    placed: serving.Endpoint | _plain_placement.NoEndpoint,
) -> serving.Endpoint | _plain_placement.NoEndpoint:
    """Return the endpoint for an attempt, or why there is none."""
    if isinstance(placed, _plain_placement.NoEndpoint):
        return placed
    if in_flight.time_left_s < _MIN_ATTEMPT_S:
        return _plain_placement.NoEndpoint('no_time', _NO_TIME_RETRY_AFTER_S)
    if not _stop_check.admits(in_flight, placed):
        return _plain_placement.NoEndpoint(_stop_check.REASON, None)
    return placed


def _ask(
    in_flight: _in_flight.InFlightRequest, service: str, *also_tried: str
) -> _plain_placement.Ask:
    return _plain_placement.Ask(
        in_flight.call.request_id,
        service,
        frozenset((*in_flight.tried_incarnations, *also_tried)),
        in_flight.time_left_s,
        in_flight.target_time_left_s * _PATIENCE_SHARE,
    )


async def _attempt(
    in_flight: _in_flight.InFlightRequest, endpoint: serving.Endpoint
) -> _Answer:
    loads = in_flight.context.loads
    loads.request_started(endpoint)
    began_at = _clock.now()
    answer: _Answer | None = None
    time_limit = trio.move_on_after(in_flight.time_left_s)
    left_for_retry = trio.CancelScope()
    try:
        with time_limit, left_for_retry:
            with in_flight.reply.background(
                _cancel_when_replaceable, in_flight, endpoint, left_for_retry
            ):
                answer = await _send_and_receive(in_flight, endpoint)
        if answer is None:
            answer = _Answer(
                _connection.ExchangeFailure(
                    'no answer in time', in_flight.attempt_open
                ),
                retry_paid=left_for_retry.cancelled_caught,
            )
    finally:
        head = answer.head if answer else None
        status = answer.status if answer else 0
        loads.request_ended(
            endpoint,
            succeeded=0 < status < _FIRST_SERVER_ERROR,
            latency_s=_clock.now() - began_at,
            load=head.load if isinstance(head, serving.AnswerHead) else None,
            now=_clock.now(),
        )
    return answer


async def _cancel_when_replaceable(
    in_flight: _in_flight.InFlightRequest,
    endpoint: serving.Endpoint,
    scope: trio.CancelScope,
) -> None:
    """End a slow attempt, but only if another endpoint can follow.

    Its answer is awaited otherwise: an endpoint may be silent for seconds
    and still answer in time.
    """
    if not in_flight.route.repeatable:
        return
    share = in_flight.context.gateway_settings.send.attempt_share
    whole_s = in_flight.time_left_s
    await trio.sleep(whole_s * share)
    while in_flight.time_left_s > whole_s * (1 - _LAST_RETRY_SHARE):
        if _has_replacement(in_flight, endpoint) and _next_attempt.spend_retry(
            in_flight, endpoint
        ):
            scope.cancel()
            return
        await trio.sleep(_REPLACEMENT_POLL_S)


def _has_replacement(
    in_flight: _in_flight.InFlightRequest, endpoint: serving.Endpoint
) -> bool:
    ask = _ask(in_flight, endpoint.service, endpoint.incarnation)
    return (
        in_flight.context.placement.has_other(ask)
        and in_flight.quarantine_s is None
        and endpoint.service in _next_attempt.current_services(in_flight)
        and _next_attempt.may_follow(in_flight, endpoint)
    )


async def _send_and_receive(
    in_flight: _in_flight.InFlightRequest, endpoint: serving.Endpoint
) -> _Answer:
    options = platform.SendOptions(
        endpoint=endpoint.name,
        time_left_s=in_flight.time_left_s,
        team=in_flight.team,
        last_event=in_flight.call.last_event,
    )
    async with _exchange.attempt(in_flight, endpoint, options) as connection:
        if isinstance(connection, _connection.ExchangeFailure):
            return _Answer(connection)
        head = await connection.receive_head()
        if isinstance(head, _connection.ExchangeFailure):
            return _Answer(head)
        body = await connection.receive_body(
            in_flight.context.pool.limits.max_answer_bytes
        )
        if isinstance(body, _connection.ExchangeFailure):
            return _Answer(body)
        if not head.not_run:
            in_flight.run.end(complete=True)
        return _Answer(head, body)


def _decide(
    in_flight: _in_flight.InFlightRequest,
    endpoint: serving.Endpoint,
    answer: _Answer,
) -> serving.AttemptStep:
    outcome = _exchange.attempt_outcome(answer.head)
    head = answer.head
    reason = (
        head.reason if isinstance(head, _connection.ExchangeFailure) else ''
    )
    in_flight.record_outcome(endpoint, outcome, reason or answer.status)
    in_flight.context.metrics.record_attempt(endpoint.service, outcome.value)
    now = _clock.now()
    budget = in_flight.context.budgets.for_service(endpoint.service)
    failed = outcome is not serving.AttemptOutcome.answered
    if failed or answer.status >= _FIRST_SERVER_ERROR:
        in_flight.tried_incarnations.add(endpoint.incarnation)
        if failed:
            in_flight.context.loads.block_endpoint(
                endpoint, _FAILED_ENDPOINT_BLOCK_S, now
            )
    else:
        budget.record_success(now)
    step = serving.next_step(
        in_flight.route,
        in_flight.attempt_counts,
        outcome,
        answer.status,
        may_retry=answer.retry_paid or budget.balance >= 1,
    )
    if (
        step is serving.AttemptStep.again
        and outcome is not serving.AttemptOutcome.unsent
        and not answer.retry_paid
    ):
        budget.try_spend(now)
    return step


async def _conclude(
    in_flight: _in_flight.InFlightRequest,
    service: str,
    step: serving.AttemptStep,
    answer: _Answer,
) -> None:
    head = answer.head
    if step is serving.AttemptStep.deliver and isinstance(
        head, serving.AnswerHead
    ):
        await in_flight.deliver(head, answer.body)
    elif step is serving.AttemptStep.refuse:
        backoff_s = _next_attempt.backoff_s(in_flight, service)
        await in_flight.refuse('rejected', backoff_s)
    else:
        late = in_flight.time_left_s < _MIN_ATTEMPT_S
        status = _in_flight.GATEWAY_TIMEOUT if late else _in_flight.BAD_GATEWAY
        await in_flight.fail(status, 'unknown')


async def _give_up(
    in_flight: _in_flight.InFlightRequest,
    reason: str,
    retry_after_s: float | None,
) -> None:
    """End a request that cannot have another attempt."""
    if in_flight.attempt_counts.may_have_run:
        await in_flight.fail(_in_flight.BAD_GATEWAY, reason)
    else:
        await in_flight.refuse(reason, retry_after_s)
