"""Watch over one connection: probes it and tells when it is silent."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import retries

_CHECK_S: Final = 0.1
_PAUSE_S: Final = 0.5
_PROBE_WAIT_S: Final = 0.25
_ONLY: Final = 1

Probe = Callable[[], Awaitable[object]]


class LinkHealth:
    """Asks ``retries.ConnectionHealth`` about a connection of its own.

    Call ``sent`` and ``answered`` around each call and ``progressed`` for
    whatever else comes in; await ``fresh`` before a call is written. ``watch``
    returns when the connection owes an answer, also to a probe, and is
    silent.
    """

    def __init__(self, probe: Probe) -> None:
        self._probe = probe
        self._health = retries.ConnectionHealth()
        self._health.opened(_ONLY, trio.current_time())
        self._open_calls = 0
        self._called = trio.Event()
        self._progress = trio.Event()

    def sent(self) -> None:
        """Note that a call is written."""
        self._open_calls += 1
        self._health.sent(_ONLY, trio.current_time())
        self._called.set()

    def answered(self) -> None:
        """Note that a call has ended."""
        self._open_calls -= 1
        self._health.answered(_ONLY, trio.current_time())

    def progressed(self) -> None:
        """Note that bytes came in."""
        self._health.progressed(_ONLY, trio.current_time())
        self._progress.set()
        self._progress = trio.Event()

    async def fresh(self) -> bool:
        """Tell whether a call may be written; probe if that is not known."""
        decision = self._health.choose(trio.current_time())
        if isinstance(decision, retries.UseConnection):
            return True
        progress = self._progress
        await self._send_probe()
        with trio.move_on_after(_PROBE_WAIT_S):
            await progress.wait()
            return True
        return False

    async def watch(self) -> None:
        """Return when the connection is found silent."""
        while True:
            if not self._open_calls:
                self._called = trio.Event()
                await self._called.wait()
            checked_at = trio.current_time()
            await trio.sleep(_CHECK_S)
            now = trio.current_time()
            if now - checked_at > _PAUSE_S:
                self._health.restart_waits(now)
            elif self._health.check(now).connections:
                return
            elif self._health.connections_to_probe(now):
                await self._send_probe()

    async def _send_probe(self) -> None:
        self._health.probed(_ONLY, trio.current_time())
        await self._probe()
