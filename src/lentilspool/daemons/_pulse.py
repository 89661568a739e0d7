"""Detection of pauses of the process."""

import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import kernel
from lentilspool.daemons import _events

_LOG = logging.getLogger(__name__)

_CHECKS_PER_LEASE: Final = 4


class PauseMonitor(kernel.BaseComponent):
    """Checks several times per lease whether the process was paused.

    A gap between two checks that is longer than a lease is a pause. Call
    ``check`` before acting on a lease or a token, so that after a pause
    every listener has been called first.
    """

    def __init__(self, lease_s: float, nursery: trio.Nursery) -> None:
        self._lease_s = lease_s
        self._nursery = nursery
        self._listeners: list[Callable[[], None]] = []
        self._detector = kernel.PauseDetector(lease_s, trio.current_time())

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function that is called after each pause."""
        self._listeners.append(listener)

    def check(self) -> None:
        """Call the listeners if the process was paused since the last check."""
        pause_s = self._detector.measure_pause(trio.current_time())
        if not pause_s:
            return
        _events.PAUSED.log(_LOG, pause_s=round(pause_s, 3))
        for listener in self._listeners:
            listener()

    async def start(self) -> None:
        """Start checking periodically."""
        self._nursery.start_soon(self._check_periodically)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'pauses': self._detector.pause_count}

    async def _check_periodically(self) -> None:
        while True:
            self.check()
            await trio.sleep(self._lease_s / _CHECKS_PER_LEASE)
