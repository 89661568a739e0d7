"""Whether and where a request in flight may have another attempt."""

import dataclasses
from typing import Final

from lentilspool import serving
from lentilspool.gateway import _clock, _in_flight

# Less time is not enough for an attempt.
_MIN_ATTEMPT_S: Final = 0.05


def obstacle(in_flight: _in_flight.InFlightRequest) -> str:
    """Return why there is no other attempt; empty if there may be one."""
    left_s = min(in_flight.time_left_s, in_flight.next_event_time_left_s)
    if left_s < _MIN_ATTEMPT_S:
        return 'no_time'
    if in_flight.quarantine_s is not None:
        return 'quarantined'
    return '' if follow_route(in_flight) else 'route_removed'


def follow_route(in_flight: _in_flight.InFlightRequest) -> bool:
    """Adopt the services of the route in force before an attempt.

    Returns False if no route of the same kind allows the request any more.
    """
    current = _route_in_force(in_flight)
    if current is None or current.kind is not in_flight.route.kind:
        return False
    if current != in_flight.route:
        followed = dataclasses.replace(
            in_flight.route, shares=current.shares, stages=current.stages
        )
        in_flight.matched = dataclasses.replace(
            in_flight.matched, route=followed
        )
    return True


def current_services(in_flight: _in_flight.InFlightRequest) -> set[str]:
    """Return the services that the current routes allow for the request."""
    route = _route_in_force(in_flight)
    return {share.service for share in route.shares} if route else set()


def may_follow(
    in_flight: _in_flight.InFlightRequest, endpoint: serving.Endpoint
) -> bool:
    """Whether another attempt may follow if this endpoint is left now.

    Its outcome is unknown then, because it may have run the request.
    """
    budget = in_flight.context.budgets.for_service(endpoint.service)
    step = serving.next_step(
        in_flight.route,
        in_flight.attempt_counts.add(serving.AttemptOutcome.unknown),
        serving.AttemptOutcome.unknown,
        0,
        may_retry=budget.balance >= 1,
    )
    return step is serving.AttemptStep.again


def avoided(
    in_flight: _in_flight.InFlightRequest, left_silent: set[str]
) -> tuple[str, ...]:
    """Return the incarnations of engines that must not be chosen.

    Those that were only silent may be chosen again.
    """
    tried = in_flight.tried_incarnations - left_silent
    backed_off = in_flight.context.statements.backed_off(_clock.now())
    return tuple(tried | backed_off)


def backoff_s(
    in_flight: _in_flight.InFlightRequest, service: str
) -> float | None:
    """Return how long all endpoints ask to be left alone; None if one does not."""
    ready = in_flight.context.published.endpoint_index.ready(service)
    return in_flight.context.statements.backoff_s(ready, _clock.now()) or None


def spend_retry(
    in_flight: _in_flight.InFlightRequest, endpoint: serving.Endpoint
) -> bool:
    """Spend a retry of the endpoint's service; False if none is left."""
    budget = in_flight.context.budgets.for_service(endpoint.service)
    return budget.try_spend(_clock.now())


def _route_in_force(
    in_flight: _in_flight.InFlightRequest,
) -> serving.Route | None:
    routes = in_flight.context.published.routes
    call = in_flight.call
    return routes.route_of(call.host, call.path) if routes else None
