"""How long runs at endpoints have taken lately, to foresee the next one."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator
from typing import Final

from lentilspool.serving import _configuration, _endpoints

_WINDOW_S: Final = 10.0
_MAX_OBSERVATIONS: Final = 1024
_QUANTILE: Final = 0.9
# Pace of an engine that has not been observed.
_UNKNOWN_TOKEN_S: Final = 0.025


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedRun:
    """Foreseen duration of a run."""

    first_event_s: float
    """Seconds from sending to the first event, or to a whole answer."""

    rest_s: float
    """Seconds from the first event to the end of a stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """What a run has shown."""

    at: float
    """When it was seen."""

    route: str
    """Name of the route."""

    service: str
    """Name of the endpoint's service."""

    incarnation: str
    """Incarnation of the endpoint."""

    first_event_s: float
    """Seconds from sending to the first event, or so far without one."""

    event_s: float | None = None
    """Mean seconds from one event to the next; None if unknown."""

    events_per_token: float | None = None
    """Events of a complete stream for each token that was asked for."""


class Run:
    """A request that is at an endpoint; report its progress here."""

    def __init__(
        self,
        route: str,
        endpoint: _endpoints.Endpoint,
        output_tokens: int,
        now: float,
    ) -> None:
        self._route = route
        self._endpoint = endpoint
        self._output_tokens = max(output_tokens, 1)
        self._sent_at = now
        self._first_event_at: float | None = None
        self._last_event_at = now
        self._events = 0

    @property
    def has_begun(self) -> bool:
        """Whether an event was received."""
        return self._events > 0

    def add_events(self, count: int, now: float) -> None:
        """Record events that were received, if there were any."""
        if not count:
            return
        if self._first_event_at is None:
            self._first_event_at = now
        self._last_event_at = now
        self._events += count

    def observe(self, now: float, *, complete: bool) -> _Observation:
        """Return what the run has shown so far."""
        first_event_at = self._first_event_at
        return _Observation(
            now,
            self._route,
            self._endpoint.service,
            self._endpoint.incarnation,
            (now if first_event_at is None else first_event_at) - self._sent_at,
            self._event_s(now, complete=complete),
            self._events / self._output_tokens if complete else None,
        )

    def _event_s(self, now: float, *, complete: bool) -> float | None:
        if self._first_event_at is None or self._events < 2:
            return None
        if complete:
            streamed_s = self._last_event_at - self._first_event_at
            return streamed_s / (self._events - 1)
        # The next event is due but has not come.
        return (now - self._first_event_at) / self._events


class RunTimes:
    """Foresees how long a request takes at an endpoint, from recent runs.

    Call ``begin`` when a request is sent, report its events to the run that
    is returned, and call ``end``. Runs that have not ended count with what
    they have taken so far, so that an engine that turns slow shows at once.
    """

    def __init__(self) -> None:
        self._ended: collections.deque[_Observation] = collections.deque(
            maxlen=_MAX_OBSERVATIONS
        )
        self._open: set[Run] = set()

    def begin(
        self,
        route: str,
        endpoint: _endpoints.Endpoint,
        output_tokens: int,
        now: float,
    ) -> Run:
        """Record that a request was sent; 0 tokens if none are asked for."""
        run = Run(route, endpoint, output_tokens, now)
        self._open.add(run)
        return run

    def end(self, run: Run, now: float, *, complete: bool) -> None:
        """Record that a request is no longer at its endpoint.

        One that ended without an event or a whole answer shows nothing.
        """
        self._open.discard(run)
        if complete or run.has_begun:
            self._ended.append(run.observe(now, complete=complete))

    def expected(
        self,
        route: _configuration.Route,
        service: str,
        output_tokens: int,
        now: float,
        incarnation: str = '',
    ) -> ExpectedRun:
        """Return how long a run takes at an endpoint, or at any of a service.

        It is an upper estimate: nine of ten recent runs took less, and all
        those at the given endpoint.
        """
        recent = list(self._recent(now))
        of_service = [one for one in recent if one.service == service]
        of_route = [one for one in of_service if one.route == route.name]
        first_event_s = _upper(one.first_event_s for one in of_route)
        if first_event_s is None:
            first_event_s = route.target_s
        return ExpectedRun(
            first_event_s,
            _rest_s(
                of_service,
                _upper(one.events_per_token for one in of_route),
                output_tokens,
                incarnation,
            )
            if route.kind is _configuration.RouteKind.streaming
            else 0,
        )

    def _recent(self, now: float) -> Iterator[_Observation]:
        yield from (one for one in self._ended if now - one.at <= _WINDOW_S)
        yield from (one.observe(now, complete=False) for one in self._open)


def _rest_s(
    of_service: list[_Observation],
    events_per_token: float | None,
    output_tokens: int,
    incarnation: str,
) -> float:
    event_s = _upper(one.event_s for one in of_service)
    if event_s is None or events_per_token is None:
        return output_tokens * _UNKNOWN_TOKEN_S
    slowest_s = max(
        (
            one.event_s
            for one in of_service
            if one.incarnation == incarnation and one.event_s is not None
        ),
        default=0,
    )
    events = events_per_token * max(output_tokens, 1)
    return events * max(event_s, slowest_s)


def _upper(observed: Iterable[float | None]) -> float | None:
    known = sorted(one for one in observed if one is not None)
    if not known:
        return None
    return known[math.ceil(len(known) * _QUANTILE) - 1]
