"""The planned stop of a process."""

import contextlib
import math
from collections.abc import Callable, Iterator
from typing import Final

import trio

from lentilspool import settings
from lentilspool.gateway import _clock

# Time in which the last answers are written before the process ends.
_ANSWER_S: Final = 0.3


class PlannedStop:
    """Tracks a planned stop and the time that it leaves to requests."""

    def __init__(self, stop_settings: settings.StopSettings) -> None:
        self._settings = stop_settings
        self._began_at: float | None = None
        # For each time limit, the seconds that must be left after it.
        self._scopes: dict[trio.CancelScope, Callable[[], float]] = {}

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
    def left_s(self) -> float:
        """Seconds in which answers must be complete; infinite before."""
        if self._began_at is None:
            return math.inf
        return self._settings.limit_s - _ANSWER_S - self.elapsed_s

    def is_late(self, arrived_at: float) -> bool:
        """Whether a request came when balancers should know of the stop."""
        if self._began_at is None:
            return False
        return arrived_at > self._began_at + self._settings.usual_s

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
            for scope, needed_s in self._scopes.items():
                self._shorten(scope, needed_s)

    @contextlib.contextmanager
    def shortening(
        self, scope: trio.CancelScope, needed_s: Callable[[], float] = float
    ) -> Iterator[None]:
        """Let a stop shorten a time limit of a request.

        ``needed_s`` returns the seconds that must be left after it; it is
        called once the stop begins.
        """
        self._scopes[scope] = needed_s
        if self.begun:
            self._shorten(scope, needed_s)
        try:
            yield
        finally:
            self._scopes.pop(scope)

    def _shorten(
        self, scope: trio.CancelScope, needed_s: Callable[[], float]
    ) -> None:
        left_s = max(self.left_s - needed_s(), 0)
        scope.deadline = min(scope.deadline, trio.current_time() + left_s)
