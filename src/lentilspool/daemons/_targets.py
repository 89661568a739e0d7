"""Connections kept open to a set of other processes."""

import random
from collections.abc import Callable, Iterable
from typing import Final

import trio

from lentilspool import settings, wire
from lentilspool.daemons import _link

Target = tuple[str, int]
Changed = Callable[[Target], None]

_MIN_PAUSE_S: Final = 0.05
_MAX_PAUSE_S: Final = 1.0
_RETIRE_POLL_S: Final = 0.1


class Targets:
    """Keeps one usable connection to every wanted target.

    ``want`` replaces the set of targets. A connection that ends or falls
    silent is replaced by a fresh one, with backoff and jitter. A target that
    is no longer wanted keeps its connection until its open calls have ended.
    """

    def __init__(
        self,
        hello: wire.Hello,
        link_settings: settings.LinkSettings,
        listener: _link.Listener,
        nursery: trio.Nursery,
        changed: Changed | None = None,
    ) -> None:
        self._hello = hello
        self._settings = link_settings
        self._listener = listener
        self._nursery = nursery
        self._changed = changed
        self._links: dict[Target, _link.Link] = {}
        self._wanted: set[Target] = set()
        self._scopes: dict[Target, trio.CancelScope] = {}
        self._retiring: set[Target] = set()
        self._rng = random.Random(hello.incarnation)

    def find(self, target: Target) -> _link.Link | None:
        """Return the usable connection to a target, if there is one."""
        link = self._links.get(target)
        return link if link and link.usable else None

    def want(self, targets: Iterable[Target]) -> None:
        """Replace the set of targets."""
        self._wanted = set(targets)
        for target in self._wanted - self._scopes.keys():
            self._scopes[target] = trio.CancelScope()
            self._nursery.start_soon(self._keep, target)
        for unwanted in self._scopes.keys() - self._wanted - self._retiring:
            self._retiring.add(unwanted)
            self._nursery.start_soon(self._retire, unwanted)

    async def _keep(self, target: Target) -> None:
        with self._scopes[target]:
            pause_s = _MIN_PAUSE_S
            while True:
                opened = trio.current_time()
                await self._run_link(target)
                if trio.current_time() - opened > _MAX_PAUSE_S:
                    pause_s = _MIN_PAUSE_S
                await trio.sleep(pause_s * self._rng.uniform(0.5, 1))
                pause_s = min(2 * pause_s, _MAX_PAUSE_S)
        self._links.pop(target, None)
        self._scopes.pop(target, None)

    async def _run_link(self, target: Target) -> None:
        link = _link.Link(target, self._hello, self._settings, self._listener)
        self._links[target] = link
        await link.run()
        if self._changed:
            self._changed(target)

    async def _retire(self, target: Target) -> None:
        """Close a connection once its open calls have ended."""
        link = self._links.get(target)
        while link and link.open_calls and target not in self._wanted:
            await trio.sleep(_RETIRE_POLL_S)
        self._retiring.discard(target)
        if target not in self._wanted:
            self._scopes[target].cancel()
