"""The planned stop of a process."""

import contextlib
from collections.abc import Iterator
from typing import Final

import trio

from lentilspool import serving, settings
from lentilspool.gateway import _clock

# Time in which the last answers are written before the process ends.
_ANSWER_S: Final = 0.3


class PlannedStop:
    """Tracks a planned stop and which requests it still admits."""

    def __init__(self, stop_settings: settings.StopSettings) -> None:
        self._settings = stop_settings
        self._began_at: float | None = None
        # Time limits of open requests.
        self._scopes: set[trio.CancelScope] = set()

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
        """Begin the stop; later calls have no effect.

        Time limits of open requests are shortened, so that each is answered
        before the process ends.
        """
        if self._began_at is None:
            self._began_at = _clock.now()
            for scope in self._scopes:
                self._shorten(scope)

    @contextlib.contextmanager
    def shortening(self, scope: trio.CancelScope) -> Iterator[None]:
        """Let a stop shorten the time limit of a request."""
        self._scopes.add(scope)
        if self.begun:
            self._shorten(scope)
        try:
            yield
        finally:
            self._scopes.discard(scope)

    def accepts(self, route: serving.Route) -> bool:
        """Whether a new request can still be answered completely."""
        if route.kind is serving.RouteKind.streaming:
            return self.elapsed_s < self._settings.last_stream_s
        return self.elapsed_s < self._settings.last_request_s

    def _shorten(self, scope: trio.CancelScope) -> None:
        left_s = self._settings.limit_s - _ANSWER_S - self.elapsed_s
        answer_at = trio.current_time() + max(left_s, 0)
        scope.deadline = min(scope.deadline, answer_at)
