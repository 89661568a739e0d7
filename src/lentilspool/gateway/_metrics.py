"""Counters and histograms of a gateway."""

from lentilspool import telemetry


class GatewayMetrics:
    """Metrics of requests and attempts."""

    def __init__(self) -> None:
        self._metrics = telemetry.Metrics()

    def record_request(self, route: str, status: int, seconds: float) -> None:
        """Count a request by the status of its final answer."""
        self._metrics.record_request(route, '', str(status), seconds)

    def record_attempt(self, service: str, end: str) -> None:
        """Count an attempt at an endpoint by its outcome."""
        self._metrics.record_attempt(service, end)

    def record_endpoint_death(self, service: str) -> None:
        """Count an endpoint that ended while it ran requests."""
        self._metrics.record_endpoint_death(service)

    def record_statement(self, kind: str) -> None:
        """Count a new statement of an endpoint, here or at another gateway."""
        self._metrics.record_statement(kind)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()
