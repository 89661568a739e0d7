"""Whether a planned stop leaves a request the time that it needs."""

import logging
from typing import Final

from lentilspool import serving
from lentilspool.gateway import _clock, _events, _in_flight

_logger: Final = logging.getLogger(__name__)
_MS_PER_S: Final = 1000
REASON: Final = 'stopping'


def admits(
    in_flight: _in_flight.InFlightRequest,
    endpoint: serving.Endpoint | None = None,
) -> bool:
    """Whether a request can be answered completely before the process ends.

    Ask on arrival, and again before it is sent to an endpoint: until then its
    refusal is true. Without an endpoint, the quickest service of its route
    counts. A stream that has begun goes on in any case.
    """
    stop = in_flight.context.stop
    if not stop.begun or in_flight.reply.begun:
        return True
    expected = _expected(in_flight, endpoint)
    needed_s = _needed_s(in_flight, expected)
    if needed_s <= stop.left_s:
        return True
    _events.STOP_REFUSED.log(
        _logger,
        request_id=in_flight.call.request_id,
        endpoint=endpoint.name if endpoint else '',
        left_ms=round(stop.left_s * _MS_PER_S),
        needed_ms=round(needed_s * _MS_PER_S),
        first_event_ms=round(expected.first_event_s * _MS_PER_S),
        rest_ms=round(expected.rest_s * _MS_PER_S),
    )
    return False


def needed_s(in_flight: _in_flight.InFlightRequest) -> float:
    """Return the seconds that a request needs once its endpoint is chosen."""
    return _needed_s(in_flight, _expected(in_flight, None))


def limits_planning(in_flight: _in_flight.InFlightRequest) -> bool:
    """Whether the stop, and no deadline, limits the wait for the first event."""
    caller_limit_s = min(
        in_flight.time_left_s, in_flight.next_event_time_left_s
    )
    return first_event_limit_s(in_flight) < caller_limit_s


def first_event_limit_s(in_flight: _in_flight.InFlightRequest) -> float:
    """Return the seconds until a stream must have its first event.

    Infinite if there is no planned stop.
    """
    stop = in_flight.context.stop
    if not stop.begun or in_flight.reply.begun:
        return float('inf')
    rest_s = _admission(in_flight).needed_after_first_event_s(
        _expected(in_flight, None), streaming=True
    )
    return max(stop.left_s - rest_s, 0)


def _admission(
    in_flight: _in_flight.InFlightRequest,
) -> serving.StopAdmission:
    late = in_flight.context.stop.is_late(in_flight.arrived_at)
    return serving.CAREFUL if late else serving.USUAL


def _expected(
    in_flight: _in_flight.InFlightRequest, endpoint: serving.Endpoint | None
) -> serving.ExpectedRun:
    admission = _admission(in_flight)
    estimates = (
        [admission.estimate(endpoint.service, endpoint.incarnation)]
        if endpoint
        else [
            admission.estimate(share.service)
            for share in in_flight.route.shares
        ]
    )
    runs = [
        in_flight.context.run_times.expected(
            in_flight.route, in_flight.output_tokens, _clock.now(), estimate
        )
        for estimate in estimates
    ]
    # The service that is chosen is asked about again.
    return min(runs, key=lambda run: run.first_event_s + run.rest_s)


def _needed_s(
    in_flight: _in_flight.InFlightRequest, expected: serving.ExpectedRun
) -> float:
    streaming = in_flight.route.kind is serving.RouteKind.streaming
    needed_s = _admission(in_flight).needed_s(expected, streaming=streaming)
    # Beyond its deadline no request is served in any case.
    return min(needed_s, max(in_flight.time_left_s, 0))
