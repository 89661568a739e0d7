"""One attempt at an endpoint, up to the head of its answer."""

import contextlib
from collections.abc import AsyncIterator

import trio

from lentilspool import platform, serving
from lentilspool.gateway import _connection, _flight

Attempt = _connection.Connection | _connection.Broken


@contextlib.asynccontextmanager
async def attempt(
    flight: _flight.Flight,
    endpoint: serving.Endpoint,
    options: platform.SendOptions,
) -> AsyncIterator[Attempt]:
    """Send a request; the connection is given back or closed at the end.

    A connection that is left in the middle of an answer is closed, which
    makes the endpoint stop.
    """
    call = flight.call
    pool = flight.tools.pool
    connection = await pool.take(endpoint, repeatable=flight.route.repeatable)
    if isinstance(connection, _connection.Broken):
        yield connection
        return
    outgoing = _connection.Outgoing(
        call.method,
        call.target.encode('latin-1'),
        platform.endpoint_headers(call, options, len(flight.body)),
        flight.body,
        call.request_id,
    )
    flight.note_sent(endpoint, options.time_left_s)
    try:
        broken = await connection.send(outgoing)
        yield broken or connection
    finally:
        with trio.CancelScope(shield=True):
            await pool.give_back(endpoint, connection)


def end_of(
    outcome: serving.AnswerHead | _connection.Broken,
) -> serving.AttemptOutcome:
    """Return what an outcome says about the run of the request."""
    if isinstance(outcome, _connection.Broken):
        return (
            serving.AttemptOutcome.unknown
            if outcome.sent
            else serving.AttemptOutcome.unsent
        )
    return (
        serving.AttemptOutcome.rejected
        if outcome.not_run
        else serving.AttemptOutcome.answered
    )
