"""Outgoing connections to a changing set of processes."""

import random
from collections.abc import Callable, Iterable
from typing import Final

import trio

from lentilspool import settings, wire
from lentilspool.daemons import _link

Target = tuple[str, int]
OnEnded = Callable[[Target], None]

_MIN_RECONNECT_DELAY_S: Final = 0.05
_MAX_RECONNECT_DELAY_S: Final = 1.0
_RETIRE_POLL_INTERVAL_S: Final = 0.1


class Connections:
    """Maintains one connection to each target.

    ``replace_targets`` replaces the set of targets. A connection that ends or
    falls silent is opened again, with backoff and jitter. The connection to
    a removed target is closed once its open calls have ended.
    """

    def __init__(
        self,
        hello: wire.Hello,
        link_settings: settings.LinkSettings,
        listener: _link.Listener,
        nursery: trio.Nursery,
        on_ended: OnEnded | None = None,
    ) -> None:
        self._hello = hello
        self._settings = link_settings
        self._listener = listener
        self._nursery = nursery
        self._on_ended = on_ended
        self._links: dict[Target, _link.Link] = {}
        self._targets: set[Target] = set()
        self._scopes: dict[Target, trio.CancelScope] = {}
        self._retiring: set[Target] = set()
        self._rng = random.Random(hello.incarnation)

    def find(self, target: Target) -> _link.Link | None:
        """Return the usable connection to a target, if there is one."""
        link = self._links.get(target)
        return link if link and link.usable else None

    def replace_targets(self, targets: Iterable[Target]) -> None:
        """Replace the set of targets, each an address and a port."""
        self._targets = set(targets)
        for target in self._targets - self._scopes.keys():
            self._scopes[target] = trio.CancelScope()
            self._nursery.start_soon(self._maintain, target)
        for removed_target in (
            self._scopes.keys() - self._targets - self._retiring
        ):
            self._retiring.add(removed_target)
            self._nursery.start_soon(self._retire, removed_target)

    async def _maintain(self, target: Target) -> None:
        with self._scopes[target]:
            delay_s = _MIN_RECONNECT_DELAY_S
            while True:
                opened = trio.current_time()
                await self._run_link(target)
                if trio.current_time() - opened > _MAX_RECONNECT_DELAY_S:
                    delay_s = _MIN_RECONNECT_DELAY_S
                await trio.sleep(delay_s * self._rng.uniform(0.5, 1))
                delay_s = min(2 * delay_s, _MAX_RECONNECT_DELAY_S)
        self._links.pop(target, None)
        self._scopes.pop(target, None)

    async def _run_link(self, target: Target) -> None:
        link = _link.Link(target, self._hello, self._settings, self._listener)
        self._links[target] = link
        await link.run()
        if self._on_ended:
            self._on_ended(target)

    async def _retire(self, target: Target) -> None:
        """Close a connection after its calls, unless its target returns."""
        link = self._links.get(target)
        while link and link.open_calls and target not in self._targets:
            await trio.sleep(_RETIRE_POLL_INTERVAL_S)
        self._retiring.discard(target)
        if target not in self._targets:
            self._scopes[target].cancel()
