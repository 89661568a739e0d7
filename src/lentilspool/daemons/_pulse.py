"""Detection of pauses of the process."""

import logging
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import kernel
from lentilspool.daemons import _events

_LOG = logging.getLogger(__name__)

_BEATS_PER_LEASE: Final = 4


class Pulse(kernel.BaseComponent):
    """Beats several times in a lease, and tells of a gap beyond the lease.

    Call ``check`` before acting on a lease or a token: after a pause, it
    calls every listener before it returns.
    """

    def __init__(self, lease_s: float, nursery: trio.Nursery) -> None:
        self._lease_s = lease_s
        self._nursery = nursery
        self._listeners: list[Callable[[], None]] = []
        self._detector = kernel.PauseDetector(lease_s, trio.current_time())

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each pause."""
        self._listeners.append(listener)

    def check(self) -> None:
        """Look at the clock; call the listeners if the process paused."""
        pause_s = self._detector.beat(trio.current_time())
        if not pause_s:
            return
        _events.PAUSED.log(_LOG, pause_s=round(pause_s, 3))
        for listener in self._listeners:
            listener()

    async def start(self) -> None:
        """Begin to beat."""
        self._nursery.start_soon(self._beat)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'pauses': self._detector.pauses}

    async def _beat(self) -> None:
        while True:
            self.check()
            await trio.sleep(self._lease_s / _BEATS_PER_LEASE)
