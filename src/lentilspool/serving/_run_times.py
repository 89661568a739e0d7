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

    first_event_s: float | None
    """Seconds from sending to the first event; None if it has not come."""

    first_wait_s: float
    """Seconds from sending without an event, as far as was seen."""

    event_s: float | None = None
    """Mean seconds from one event to the next; None if unknown."""

    event_wait_s: float = 0
    """Seconds for which the second event is awaited."""

    events_per_token: float | None = None
    """Events of a complete stream for each token that was asked for."""


class Run:
    """A request that is at an endpoint; report its progress here."""

    def __init__(
        self,
        route: str,
        endpoint: _endpoints.Endpoint,
        output_tokens: int | None,
        now: float,
    ) -> None:
        self._route = route
        self._endpoint = endpoint
        self._output_tokens = output_tokens
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
        waited_until = now
        if self._first_event_at is not None:
            waited_until = self._first_event_at
        wait_s = waited_until - self._sent_at
        return _Observation(
            now,
            self._route,
            self._endpoint.service,
            self._endpoint.incarnation,
            wait_s if complete or self.has_begun else None,
            wait_s,
            self._event_s(now, complete=complete),
            self._event_wait_s(now, complete=complete),
            self._events_per_token if complete else None,
        )

    @property
    def _events_per_token(self) -> float | None:
        if self._output_tokens is None:
            return None
        return self._events / max(self._output_tokens, 1)

    def _event_s(self, now: float, *, complete: bool) -> float | None:
        if self._first_event_at is None or self._events < 2:
            return None
        streamed_s = self._last_event_at - self._first_event_at
        event_s = streamed_s / (self._events - 1)
        if complete:
            return event_s
        # The next event is due but has not come.
        return max(event_s, (now - self._first_event_at) / self._events)

    def _event_wait_s(self, now: float, *, complete: bool) -> float:
        if self._first_event_at is None or self._events > 1 or complete:
            return 0
        return now - self._first_event_at


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
        output_tokens: int | None,
        now: float,
    ) -> Run:
        """Record that a request was sent.

        ``output_tokens`` is 0 if none are asked for, and None if the request
        resumes a stream, which shows no length of a whole one.
        """
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
        return ExpectedRun(
            _first_event_s(of_route, route.target_s, incarnation),
            _rest_s(
                of_service,
                _upper(one.events_per_token for one in of_route),
                output_tokens,
                incarnation,
                _unknown_rest_s(route, output_tokens),
            )
            if route.kind is _configuration.RouteKind.streaming
            else 0,
        )

    def _recent(self, now: float) -> Iterator[_Observation]:
        yield from (one for one in self._ended if now - one.at <= _WINDOW_S)
        yield from (one.observe(now, complete=False) for one in self._open)


def _first_event_s(
    of_route: list[_Observation], unknown_s: float, incarnation: str
) -> float:
    known = [
        one.first_event_s for one in of_route if one.first_event_s is not None
    ]
    anywhere_s = _upper_with_waits(
        known or [unknown_s],
        [one.first_wait_s for one in of_route if one.first_event_s is None],
    )
    there = [
        one.first_wait_s for one in of_route if one.incarnation == incarnation
    ]
    return max([anywhere_s, *there])


def _rest_s(
    of_service: list[_Observation],
    events_per_token: float | None,
    output_tokens: int,
    incarnation: str,
    unknown_s: float,
) -> float:
    known = [one.event_s for one in of_service if one.event_s is not None]
    if not known or events_per_token is None:
        return unknown_s
    event_s = _upper_with_waits(known, [one.event_wait_s for one in of_service])
    slowest_s = max(
        (
            max(one.event_s or 0, one.event_wait_s)
            for one in of_service
            if one.incarnation == incarnation
        ),
        default=0,
    )
    events = events_per_token * max(output_tokens, 1)
    return events * max(event_s, slowest_s)


def _unknown_rest_s(route: _configuration.Route, output_tokens: int) -> float:
    """Return the rest of a stream if no recent one shows it."""
    if output_tokens:
        return output_tokens * _UNKNOWN_TOKEN_S
    # Nothing bounds the length of a stream without a prompt but its time limit.
    return route.timeout_s


def _upper_with_waits(known: list[float], waits: list[float]) -> float:
    """Return an upper estimate from durations and waits that are not over.

    Such a wait shows a lower bound only, so it cannot make the estimate less.
    """
    known_upper = _upper(known) or 0
    longer = [one for one in waits if one > known_upper]
    return _upper([*known, *longer]) or 0


def _upper(observed: Iterable[float | None]) -> float | None:
    known = sorted(one for one in observed if one is not None)
    if not known:
        return None
    return known[math.ceil(len(known) * _QUANTILE) - 1]
