"""Detection of endpoints that stop sending in the middle of an answer."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

_Part = TypeVar('_Part')


class SilenceWatch:
    """Tells how long an endpoint has been silent while its answer is read.

    Pass each read to ``receive``. Another task awaits ``wait_until_silent``
    and looks for a way out with ``unless_resumed``, which gives up as soon as
    the endpoint sends again. Time in which nothing is read, because the
    caller takes no more, does not count.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._reading_since: float | None = None
        self._resumed = trio.Event()

    @property
    def limit_s(self) -> float:
        """Seconds without a part after which an endpoint is silent."""
        return self._limit_s

    async def receive(self, read: Callable[[], Awaitable[_Part]]) -> _Part:
        """Read the next part of the answer."""
        self._reading_since = trio.current_time()
        try:
            return await read()
        finally:
            self._reading_since = None
            self._resumed.set()

    async def wait_until_silent(self) -> None:
        """Return when a read has waited for the limit."""
        while True:
            now = trio.current_time()
            since = now if self._reading_since is None else self._reading_since
            if now - since >= self._limit_s:
                return
            await trio.sleep_until(since + self._limit_s)

    async def unless_resumed(
        self, action: Callable[[], Awaitable[None]]
    ) -> None:
        """Run an action during a silence; cancel it when a part arrives."""
        self._resumed = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_resumed, nursery.cancel_scope)
            await action()
            nursery.cancel_scope.cancel()

    async def _cancel_when_resumed(self, scope: trio.CancelScope) -> None:
        await self._resumed.wait()
        scope.cancel()
