"""Drills that let endpoints state limits, ask for rest, and leave unlisted."""

import random
from typing import Final, Protocol

import trio

from soak import _endpoints

NAMES: Final = ('limit', 'rest', 'leaving')
_LIMIT_PER_S: Final = (0.5, 3.0)
_LIMIT_S: Final = (8.0, 14.0)
_REST_S: Final = (2.0, 4.0)
_RESTS_S: Final = (4.0, 8.0)
# Longer than the time in which an endpoint that leaves is used no more.
_LEAVE_S: Final = 6.0


class World(Protocol):
    """What drills need of the world."""

    endpoints: list[_endpoints.Endpoint]
    """Endpoints that live."""

    async def add(self, service: str, version: str) -> None:
        """Start an endpoint and list it."""

    def drop(self, endpoint: _endpoints.Endpoint) -> None:
        """Remove the entry of an endpoint that is gone."""


class StatementDrills:
    """Lets endpoints state what gateways must keep to.

    No rule excuses what comes of it.
    """

    def __init__(
        self, world: World, rng: random.Random, nursery: trio.Nursery
    ) -> None:
        self._world = world
        self._rng = rng
        self._nursery = nursery

    async def limit(self) -> None:
        """Begin to let an endpoint state a limit."""
        endpoint = _endpoints.pick(self._world.endpoints, self._rng)
        if endpoint.statements.limit_per_s is None:
            endpoint.statements.limit_per_s = self._rng.uniform(*_LIMIT_PER_S)
            seconds = self._rng.uniform(*_LIMIT_S)
            self._nursery.start_soon(self._end_limit, endpoint, seconds)

    async def rest(self) -> None:
        """Begin to let an endpoint reject everything and ask for rest."""
        endpoint = _endpoints.pick(self._world.endpoints, self._rng)
        if not endpoint.statements.rest_s:
            endpoint.statements.rest_s = self._rng.uniform(*_REST_S)
            seconds = self._rng.uniform(*_RESTS_S)
            self._nursery.start_soon(self._end_rest, endpoint, seconds)

    async def leave(self) -> None:
        """Begin to let an endpoint leave that is listed as ready meanwhile."""
        endpoint = _endpoints.pick(self._world.endpoints, self._rng)
        await self._world.add(endpoint.service, endpoint.version)
        self._world.endpoints.remove(endpoint)
        endpoint.statements.leaving = True
        self._nursery.start_soon(self._end, endpoint)

    async def _end_limit(
        self, endpoint: _endpoints.Endpoint, seconds: float
    ) -> None:
        await trio.sleep(seconds)
        endpoint.statements.limit_per_s = None

    async def _end_rest(
        self, endpoint: _endpoints.Endpoint, seconds: float
    ) -> None:
        await trio.sleep(seconds)
        endpoint.statements.rest_s = 0

    async def _end(self, endpoint: _endpoints.Endpoint) -> None:
        await trio.sleep(_LEAVE_S)
        self._world.drop(endpoint)
        endpoint.scope.cancel()
