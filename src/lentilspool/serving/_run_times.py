"""How long runs at endpoints have taken lately, to foresee the next one."""

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from lentilspool.serving import (
    _configuration,
    _endpoints,
    _run_observations,
)

_WINDOW_S: Final = 10.0
_MAX_OBSERVATIONS: Final = 1024
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
class Estimate:
    """Which runs an estimate follows, and how careful it is."""

    service: str
    """Name of the service."""

    quantile: float
    """Share of the recent runs that took at most as long."""

    incarnation: str = ''
    """Incarnation of the endpoint; empty if none is chosen."""

    usual_length: bool = True
    """Whether a stream has as many events as recent ones of its route, and the
    usual pace if there are none. Otherwise it has an event for each token that it
    asks for, and may last for the time limit of its route if its pace or its
    tokens are unknown."""

    def is_at(self, observation: _run_observations.RunObservation) -> bool:
        """Whether a run was at the chosen endpoint."""
        return observation.incarnation == self.incarnation


class RunTimes:
    """Foresees how long a request takes at an endpoint, from recent runs.

    Call ``begin`` when a request is sent, report its events to the run that
    is returned, and call ``end``. Runs that have not ended count with what
    they have taken so far, so that an engine that turns slow shows at once.
    """

    def __init__(self) -> None:
        self._ended: collections.deque[_run_observations.RunObservation] = (
            collections.deque(maxlen=_MAX_OBSERVATIONS)
        )
        self._open: set[_run_observations.Run] = set()

    def begin(
        self,
        route: str,
        endpoint: _endpoints.Endpoint,
        output_tokens: int | None,
        now: float,
    ) -> _run_observations.Run:
        """Record that a request was sent.

        ``output_tokens`` is 0 if none are asked for, and None if the request
        resumes a stream, which shows no length of a whole one.
        """
        run = _run_observations.Run(route, endpoint, output_tokens, now)
        self._open.add(run)
        return run

    def end(
        self, run: _run_observations.Run, now: float, *, complete: bool
    ) -> None:
        """Record that a request is no longer at its endpoint.

        One that ended without an event or a whole answer shows nothing.
        """
        self._open.discard(run)
        if complete or run.has_begun:
            self._ended.append(run.observe(now, complete=complete))

    def expected(
        self,
        route: _configuration.Route,
        output_tokens: int,
        now: float,
        estimate: Estimate,
    ) -> ExpectedRun:
        """Return how long a run takes."""
        recent = [
            one for one in self._recent(now) if one.service == estimate.service
        ]
        of_route = [one for one in recent if one.route == route.name]
        first_event_s = _first_event_s(of_route, route.target_s, estimate)
        if route.kind is not _configuration.RouteKind.streaming:
            return ExpectedRun(first_event_s, 0)
        event_s = _event_s(recent, estimate)
        events = _events(of_route, output_tokens, estimate)
        if event_s is None or events is None:
            return ExpectedRun(
                first_event_s, _unknown_rest_s(route, output_tokens, estimate)
            )
        return ExpectedRun(first_event_s, events * event_s)

    def _recent(self, now: float) -> Iterator[_run_observations.RunObservation]:
        yield from (one for one in self._ended if now - one.at <= _WINDOW_S)
        yield from (one.observe(now, complete=False) for one in self._open)


def _first_event_s(
    of_route: Sequence[_run_observations.RunObservation],
    unknown_s: float,
    estimate: Estimate,
) -> float:
    known = [
        one.first_event_s for one in of_route if one.first_event_s is not None
    ]
    anywhere_s = _with_waits(
        known or [unknown_s],
        [one.first_wait_s for one in of_route if one.first_event_s is None],
        estimate.quantile,
    )
    there_s = _quantile(
        (one.first_wait_s for one in of_route if estimate.is_at(one)),
        estimate.quantile,
    )
    return max(anywhere_s, there_s or 0)


def _event_s(
    of_service: Sequence[_run_observations.RunObservation], estimate: Estimate
) -> float | None:
    known = [one.event_s for one in of_service if one.event_s is not None]
    if not known:
        return None
    waits = [one.event_wait_s for one in of_service]
    anywhere_s = _with_waits(known, waits, estimate.quantile)
    there_s = _quantile(
        (
            one.event_wait_s if one.event_s is None else one.event_s
            for one in of_service
            if estimate.is_at(one)
        ),
        estimate.quantile,
    )
    return max(anywhere_s, there_s or 0)


def _events(
    of_route: Sequence[_run_observations.RunObservation],
    output_tokens: int,
    estimate: Estimate,
) -> float | None:
    """Return the number of events of a stream; None if it is unknown.

    An event holds one token or more, so there are no more events than tokens.
    """
    if not estimate.usual_length:
        return output_tokens or None
    events_per_token = _quantile(
        (one.events_per_token for one in of_route), estimate.quantile
    )
    if events_per_token is None:
        return None
    return events_per_token * max(output_tokens, 1)


def _unknown_rest_s(
    route: _configuration.Route, output_tokens: int, estimate: Estimate
) -> float:
    """Return the rest of a stream if no recent one shows it."""
    if output_tokens and estimate.usual_length:
        return output_tokens * _UNKNOWN_TOKEN_S
    return route.timeout_s


def _with_waits(
    known: Sequence[float], waits: Iterable[float], share: float
) -> float:
    """Return a quantile of durations and of waits that are not over.

    Such a wait shows a lower bound only, so it cannot make the estimate less.
    """
    without_waits_s = _quantile(known, share) or 0
    longer = [one for one in waits if one > without_waits_s]
    return _quantile([*known, *longer], share) or 0


def _quantile(observed: Iterable[float | None], share: float) -> float | None:
    known = sorted(one for one in observed if one is not None)
    if not known:
        return None
    return known[max(math.ceil(len(known) * share), 1) - 1]
