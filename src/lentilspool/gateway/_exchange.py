"""One attempt of a request at an endpoint."""

import contextlib
from collections.abc import AsyncIterator
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import _clock, _connection, _in_flight

# A cancelled attempt that was silent for so long may have lost its endpoint.
_SILENT_S: Final = 1.0
ConnectionOrFailure = _connection.Connection | _connection.ExchangeFailure


@contextlib.asynccontextmanager
async def attempt(
    in_flight: _in_flight.InFlightRequest,
    endpoint: serving.Endpoint,
    options: platform.SendOptions,
) -> AsyncIterator[ConnectionOrFailure]:
    """Send a request and yield its connection, to receive the answer.

    The connection returns to the pool at the end. If the answer was not read
    completely, it is closed, which makes the endpoint stop.
    """
    call = in_flight.call
    pool = in_flight.context.pool
    connection = await pool.acquire(
        endpoint,
        repeatable=in_flight.route.repeatable,
        request_id=call.request_id,
    )
    if isinstance(connection, _connection.ExchangeFailure):
        yield connection
        return
    outgoing = _connection.Outgoing(
        call.method,
        call.target.encode('latin-1'),
        platform.endpoint_headers(call, options, len(in_flight.body)),
        in_flight.body,
        call.request_id,
        expects_signature=True,
    )
    in_flight.record_sent(endpoint, options.time_left_s)
    cancelled = True
    try:
        failure = await connection.send(outgoing)
        yield failure or connection
        cancelled = False
    finally:
        in_flight.run.end(complete=False)
        silent_s = _clock.now() - connection.last_active_at
        if cancelled and silent_s > _SILENT_S:
            in_flight.context.checks.check(
                endpoint,
                (in_flight.content,),
                in_flight.prompt_progress.at_endpoint,
            )
        with trio.CancelScope(shield=True):
            await pool.release(endpoint, connection)


def attempt_outcome(
    answer: serving.AnswerHead | _connection.ExchangeFailure,
) -> serving.AttemptOutcome:
    """Return whether the request has run, as far as an answer shows it."""
    if isinstance(answer, _connection.ExchangeFailure):
        return (
            serving.AttemptOutcome.unknown
            if answer.sent
            else serving.AttemptOutcome.unsent
        )
    return (
        serving.AttemptOutcome.rejected
        if answer.not_run
        else serving.AttemptOutcome.answered
    )
