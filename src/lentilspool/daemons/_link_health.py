"""Silence detection for one connection, with probes."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import retries

_CHECK_INTERVAL_S: Final = 0.1
_PROCESS_PAUSE_S: Final = 0.5
_PROBE_TIMEOUT_S: Final = 0.25
_CONNECTION_ID: Final = 1

Probe = Callable[[], Awaitable[object]]


class LinkHealth:
    """Applies ``retries.ConnectionHealth`` to a single connection.

    Call ``record_call_sent`` and ``record_call_ended`` around each call and
    ``record_received`` for each message received. Await ``confirm_usable``
    before a call is written. ``wait_until_silent`` returns when an answer is
    outstanding and the connection answers neither calls nor probes.
    """

    def __init__(self, probe: Probe) -> None:
        self._probe = probe
        self._health = retries.ConnectionHealth()
        self._health.opened(_CONNECTION_ID, trio.current_time())
        self._open_calls = 0
        self._call_sent = trio.Event()
        self._received = trio.Event()

    def record_call_sent(self) -> None:
        """Record that a call is being written."""
        self._open_calls += 1
        self._health.sent(_CONNECTION_ID, trio.current_time())
        self._call_sent.set()

    def record_call_ended(self) -> None:
        """Record that a call has ended."""
        self._open_calls -= 1
        self._health.answered(_CONNECTION_ID, trio.current_time())

    def record_received(self) -> None:
        """Record that a message was received."""
        self._health.progressed(_CONNECTION_ID, trio.current_time())
        self._received.set()
        self._received = trio.Event()

    async def confirm_usable(self) -> bool:
        """Return whether a call may be written.

        If nothing was received recently, send a probe and wait for any message.
        """
        decision = self._health.choose(trio.current_time())
        if isinstance(decision, retries.UseConnection):
            return True
        received = self._received
        await self._send_probe()
        with trio.move_on_after(_PROBE_TIMEOUT_S):
            await received.wait()
            return True
        return False

    async def wait_until_silent(self) -> None:
        """Return when the connection is found silent.

        A check that runs late means that this process was paused, so the
        waits start again instead of counting the pause as silence.
        """
        while True:
            if not self._open_calls:
                self._call_sent = trio.Event()
                await self._call_sent.wait()
            checked_at = trio.current_time()
            await trio.sleep(_CHECK_INTERVAL_S)
            now = trio.current_time()
            if now - checked_at > _PROCESS_PAUSE_S:
                self._health.restart_waits(now)
            elif self._health.check(now).connections:
                return
            elif self._health.connections_to_probe(now):
                await self._send_probe()

    async def _send_probe(self) -> None:
        self._health.probed(_CONNECTION_ID, trio.current_time())
        await self._probe()
