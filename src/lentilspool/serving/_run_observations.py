"""What a run at an endpoint shows of its duration, also while it is open."""

import dataclasses

from lentilspool.serving import _endpoints


@dataclasses.dataclass(frozen=True, slots=True)
class RunObservation:
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

    def observe(self, now: float, *, complete: bool) -> RunObservation:
        """Return what the run has shown so far."""
        waited_until = now
        if self._first_event_at is not None:
            waited_until = self._first_event_at
        wait_s = waited_until - self._sent_at
        return RunObservation(
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
