"""OpenTelemetry metrics in the Prometheus format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, exposition


class Metrics:
    """Counters and histograms of one process.

    Daemons call ``record_request``, ``record_attempt`` and ``record_spend``,
    and answer a scrape with ``render``. Values are collected on each scrape,
    so no background thread is needed.
    """

    def __init__(self) -> None:
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter('lentilspool')
        self._requests = meter.create_counter(
            'lentilspool_requests', description='Requests by outcome.'
        )
        self._latency = meter.create_histogram(
            'lentilspool_request_seconds', description='Time of a request.'
        )
        self._cost = meter.create_counter(
            'lentilspool_cost', description='Credits by team and stage.'
        )
        self._attempts = meter.create_counter(
            'lentilspool_attempts', description='Stage attempts by outcome.'
        )
        self._deaths = meter.create_counter(
            'lentilspool_endpoint_deaths',
            description='Endpoints that ended while they ran requests.',
        )
        self._statements = meter.create_counter(
            'lentilspool_endpoint_statements',
            description='New statements of endpoints about themselves.',
        )

    def record_request(
        self, pipeline: str, team: str, outcome: str, seconds: float
    ) -> None:
        """Count a request and record its duration."""
        labels = {'pipeline': pipeline, 'team': team, 'outcome': outcome}
        self._requests.add(1, labels)
        self._latency.record(seconds, {'pipeline': pipeline})

    def record_attempt(self, pool: str, outcome: str) -> None:
        """Count one attempt at a stage."""
        self._attempts.add(1, {'pool': pool, 'outcome': outcome})

    def record_endpoint_death(self, pool: str) -> None:
        """Count an endpoint that ended while it ran requests."""
        self._deaths.add(1, {'pool': pool})

    def record_statement(self, kind: str) -> None:
        """Count a new statement of an endpoint about itself."""
        self._statements.add(1, {'kind': kind})

    def record_spend(
        self, team: str, stage: str, provider: str, cost: float
    ) -> None:
        """Add the spend of a stage, in credits."""
        labels = {'team': team, 'stage': stage, 'provider': provider}
        self._cost.add(cost, labels)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return exposition.generate_latest(REGISTRY)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()
