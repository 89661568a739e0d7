"""A drill that lets an endpoint write its answers once more."""

import random
from typing import Final

import trio

from soak import _endpoints, _proxy, _statement_drills

NAME: Final = 'repeated'
_REPEATS_S: Final = (2.0, 5.0)
_REJECTS_EVERY: Final = 3


class RepeatDrill:
    """Lets an endpoint repeat answers and reject some requests without their ids.

    No rule excuses what comes of it.
    """

    def __init__(
        self,
        world: _statement_drills.World,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self._world = world
        self._rng = rng
        self._nursery = nursery

    async def begin(self) -> None:
        """Begin to let an endpoint repeat its answers."""
        endpoint = _endpoints.pick(self._world.endpoints, self._rng)
        if endpoint.statements.rejects_every:
            return
        endpoint.statements.rejects_every = _REJECTS_EVERY
        endpoint.proxy.set_mode(_proxy.Mode.repeated)
        self._nursery.start_soon(self._end, endpoint)

    async def _end(self, endpoint: _endpoints.Endpoint) -> None:
        await trio.sleep(self._rng.uniform(*_REPEATS_S))
        endpoint.statements.rejects_every = 0
        if endpoint.proxy.mode is _proxy.Mode.repeated:
            endpoint.proxy.set_mode(_proxy.Mode.passing)
