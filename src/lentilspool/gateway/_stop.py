"""The planned stop of a process."""

from lentilspool import serving, settings
from lentilspool.gateway import _clock


class PlannedStop:
    """Tracks a planned stop and which requests it still admits."""

    def __init__(self, stop_settings: settings.StopSettings) -> None:
        self._settings = stop_settings
        self._began_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the planned stop has begun."""
        return self._began_at is not None

    @property
    def elapsed_s(self) -> float:
        """Seconds since the stop began; 0 before."""
        if self._began_at is None:
            return 0
        return _clock.now() - self._began_at

    @property
    def time_is_up(self) -> bool:
        """Whether the process must end, even with requests in flight."""
        return self.elapsed_s >= self._settings.limit_s

    def begin(self) -> None:
        """Begin the stop; later calls have no effect."""
        if self._began_at is None:
            self._began_at = _clock.now()

    def accepts(self, route: serving.Route) -> bool:
        """Whether a new request can still be answered completely."""
        if route.kind is serving.RouteKind.streaming:
            return self.elapsed_s < self._settings.last_stream_s
        return self.elapsed_s < self._settings.last_request_s
