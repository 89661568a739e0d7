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
        self._kept: set[Target] = set()
        self._rng = random.Random(hello.incarnation)

    @property
    def usable(self) -> dict[Target, _link.Link]:
        """Connections on which new calls may be sent."""
        return {
            target: link
            for target, link in self._links.items()
            if link.usable and target in self._wanted
        }

    def find(self, target: Target) -> _link.Link | None:
        """Return the usable connection to a target, if there is one."""
        link = self._links.get(target)
        return link if link and link.usable else None

    def want(self, targets: Iterable[Target]) -> None:
        """Replace the set of targets."""
        self._wanted = set(targets)
        for target in self._wanted - self._kept:
            self._kept.add(target)
            self._nursery.start_soon(self._keep, target)

    async def broadcast(self, message: wire.Message) -> None:
        """Send a message on every usable connection."""
        for link in tuple(self.usable.values()):
            await link.send(message)

    async def _keep(self, target: Target) -> None:
        pause_s = _MIN_PAUSE_S
        while target in self._wanted:
            link = _link.Link(
                target, self._hello, self._settings, self._listener
            )
            self._links[target] = link
            opened = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._close_unwanted, target, link, nursery)
                await link.run()
                nursery.cancel_scope.cancel()
            if self._changed:
                self._changed(target)
            if trio.current_time() - opened > _MAX_PAUSE_S:
                pause_s = _MIN_PAUSE_S
            await trio.sleep(pause_s * self._rng.uniform(0.5, 1))
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)
        self._links.pop(target, None)
        self._kept.discard(target)

    async def _close_unwanted(
        self, target: Target, link: _link.Link, nursery: trio.Nursery
    ) -> None:
        while target in self._wanted or link.open_calls:
            await trio.sleep(self._settings.heartbeat_interval_s)
        nursery.cancel_scope.cancel()
