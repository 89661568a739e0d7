"""The planned stop: what is still taken while it lasts."""

from lentilspool import serving, settings
from lentilspool.gateway import _clock


class PlannedStop:
    """Knows whether a planned stop has begun, and what may still begin."""

    def __init__(self, own: settings.StopSettings) -> None:
        self._own = own
        self._began_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the process is about to stop."""
        return self._began_at is not None

    @property
    def passed_s(self) -> float:
        """Seconds since it began; 0 before."""
        if self._began_at is None:
            return 0
        return _clock.now() - self._began_at

    @property
    def over(self) -> bool:
        """Whether the process ends with work in flight."""
        return self.passed_s >= self._own.limit_s

    def begin(self) -> None:
        """Begin the stop."""
        if self._began_at is None:
            self._began_at = _clock.now()

    def takes(self, route: serving.Route) -> bool:
        """Whether a request of the route can still be answered whole."""
        if route.kind is serving.RouteKind.streaming:
            return self.passed_s < self._own.last_stream_s
        return self.passed_s < self._own.last_request_s
