"""Life cycle of a daemon: start, wait for a stop request, drain, end."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from lentilspool import kernel
from lentilspool.daemons import _events

_LOG = logging.getLogger(__name__)

Build = Callable[[trio.Nursery], Awaitable[kernel.Application]]


class Daemon:
    """Runs an application until a stop is requested.

    ``request_stop`` starts a graceful stop. A second call, or the drain
    limit, ends the drain and logs the state with the work that was cut off.
    ``kill`` ends the application without a drain.
    """

    def __init__(self, name: str, build: Build, drain_limit_s: float) -> None:
        self._name = name
        self._build = build
        self._drain_limit_s = drain_limit_s
        self._stop_requests = 0
        self._stopping = trio.Event()
        self._drain_scope = trio.CancelScope()
        self._scope = trio.CancelScope()
        self._application: kernel.Application | None = None
        self.ended = trio.Event()

    @property
    def name(self) -> str:
        """Name of the process in logs."""
        return self._name

    def dump(self) -> dict[str, object]:
        """Return the state of the process."""
        state = self._application.dump() if self._application else {}
        return {'process': self._name, **state}

    def request_stop(self) -> None:
        """Start the drain; a second call ends it."""
        self._stop_requests += 1
        self._stopping.set()
        if self._stop_requests > 1:
            self._drain_scope.cancel()

    def kill(self) -> None:
        """Cancel all tasks at once, to simulate a crash of the process."""
        self._scope.cancel()

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> bool:
        """Run until stopped; return whether the drain completed all work."""
        drained = False
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._application = await self._build(nursery)
                await self._application.start()
                _events.STARTED.log(_LOG, process=self._name)
                task_status.started(self)
                await self._stopping.wait()
                drained = await self._drain(self._application)
                await self._application.stop()
                nursery.cancel_scope.cancel()
        self.ended.set()
        return drained

    async def _drain(self, application: kernel.Application) -> bool:
        _events.DRAINING.log(_LOG, process=self._name)
        self._drain_scope.deadline = trio.current_time() + self._drain_limit_s
        with self._drain_scope:
            await application.drain()
        drained = not self._drain_scope.cancelled_caught
        if drained:
            _events.DRAINED.log(_LOG, process=self._name)
        else:
            _events.CUT_OFF.log(_LOG, process=self._name, **self.dump())
        return drained
