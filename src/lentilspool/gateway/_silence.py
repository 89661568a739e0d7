"""Detection of endpoints that stop sending in the middle of an answer."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import trio

_Part = TypeVar('_Part')
_POLL_S: Final = 0.1


class SilenceWatch:
    """Tells how long an endpoint has brought nothing while its answer is read.

    Pass each read to ``receive``, and call ``record_progress`` at the start of
    an attempt and after each event that was passed on. Another task awaits
    ``wait_until_silent`` and looks for a way out with ``unless_resumed``, which
    gives up as soon as there is progress. Time in which nothing is read,
    because the caller takes no more, does not count.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._progress_at = trio.current_time()
        self._reading = False
        self._resumed = trio.Event()

    @property
    def limit_s(self) -> float:
        """Seconds without progress after which an endpoint is silent."""
        return self._limit_s

    @property
    def is_overdue(self) -> bool:
        """Whether there was no progress for the limit."""
        return trio.current_time() - self._progress_at >= self._limit_s

    def record_progress(self) -> None:
        """Record that the endpoint has begun or has sent an event."""
        self._progress_at = trio.current_time()
        self._resumed.set()

    async def receive(self, read: Callable[[], Awaitable[_Part]]) -> _Part:
        """Read the next part of the answer."""
        self._reading = True
        try:
            return await read()
        finally:
            self._reading = False

    async def wait_until_silent(self) -> None:
        """Return when a read waits and there was no progress for the limit."""
        while not (self._reading and self.is_overdue):
            now = trio.current_time()
            due_at = self._progress_at + self._limit_s
            await trio.sleep_until(due_at if due_at > now else now + _POLL_S)

    async def unless_resumed(
        self, action: Callable[[], Awaitable[None]]
    ) -> None:
        """Run an action during a silence; cancel it when there is progress."""
        self._resumed = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_resumed, nursery.cancel_scope)
            await action()
            nursery.cancel_scope.cancel()

    async def _cancel_when_resumed(self, scope: trio.CancelScope) -> None:
        await self._resumed.wait()
        scope.cancel()
