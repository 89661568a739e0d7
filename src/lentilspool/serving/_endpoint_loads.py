"""Chooses an endpoint for requests without stages.

The least loaded endpoint of a service gets the request. Endpoints that are
slow or fail compared to the others get none for a time.
"""

import random
from collections.abc import Container

from lentilspool import retries
from lentilspool.serving import _answers, _endpoints


class EndpointLoads:
    """Load and health of the endpoints of services without stages.

    Call ``choose`` before an attempt, ``request_started`` when it is sent, and
    ``request_ended`` when it is over.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._reported: dict[str, tuple[int, float]] = {}
        self._blocked: dict[str, float] = {}
        self._ejection: dict[str, retries.OutlierEjection] = {}

    def choose(
        self,
        endpoints: tuple[_endpoints.Endpoint, ...],
        tried: Container[str],
        now: float,
    ) -> _endpoints.Endpoint | None:
        """Return the endpoint for the next attempt; None if all were tried.

        If no healthy endpoint is left, an unhealthy one is returned.
        """
        left = [one for one in endpoints if one.incarnation not in tried]
        if not left:
            return None
        healthy = [one for one in left if self._is_healthy(one, now)]
        return min(healthy or left, key=lambda one: self._cost(one, now))

    def request_started(self, endpoint: _endpoints.Endpoint) -> None:
        """Record that a request is sent to an endpoint."""
        name = endpoint.incarnation
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def request_ended(
        self,
        endpoint: _endpoints.Endpoint,
        *,
        succeeded: bool,
        latency_s: float,
        load: _answers.ReportedLoad | None,
        now: float,
    ) -> None:
        """Record the end of an attempt and its outcome."""
        name = endpoint.incarnation
        left = self._in_flight.get(name, 1) - 1
        if left:
            self._in_flight[name] = left
        else:
            self._in_flight.pop(name, None)
        if load:
            self._reported[name] = (load.running + load.waiting, now)
        self._pool(endpoint.service).record(
            name,
            succeeded=succeeded,
            latency_s=latency_s,
            now=now,
            rng=self._rng,
        )

    def block_endpoint(
        self, endpoint: _endpoints.Endpoint, seconds: float, now: float
    ) -> None:
        """Avoid an endpoint for that many seconds if there are others."""
        self._blocked[endpoint.incarnation] = now + seconds

    def retain_endpoints(
        self, service: str, endpoints: tuple[_endpoints.Endpoint, ...]
    ) -> None:
        """Forget endpoints of a service that are no longer listed."""
        self._pool(service).set_endpoints(one.incarnation for one in endpoints)

    def _pool(self, service: str) -> retries.OutlierEjection:
        if service not in self._ejection:
            self._ejection[service] = retries.OutlierEjection()
        return self._ejection[service]

    def _is_healthy(self, endpoint: _endpoints.Endpoint, now: float) -> bool:
        name = endpoint.incarnation
        if self._blocked.get(name, 0) > now:
            return False
        status = self._pool(endpoint.service).ejection_status(name, now)
        return not status.ejected

    def _cost(
        self, endpoint: _endpoints.Endpoint, now: float
    ) -> tuple[float, bool, float]:
        name = endpoint.incarnation
        running = float(self._in_flight.get(name, 0))
        reported, reported_at = self._reported.get(name, (0, 0))
        # The weight of a reported load falls to zero within one second.
        running += reported * max(1 - (now - reported_at), 0) / 2
        utilization = running / max(endpoint.slots, 1)
        return (
            round(utilization, 1),
            endpoint.zone != self._zone,
            self._rng.random(),
        )
