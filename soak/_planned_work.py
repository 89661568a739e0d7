"""Planned work of operators, and endpoints that fall silent for a while."""

import random
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import trio

from soak import _endpoints, _gateways, _published

_DRAIN_S: Final = 4.0
_MOST_ROUTES: Final = 60


class World(Protocol):
    """What planned work needs of the world."""

    store: _published.Store
    """Store that the gateways read."""

    gateways: list[_gateways.Gateway]
    """Gateways that callers use."""

    endpoints: list[_endpoints.Endpoint]
    """Endpoints that live."""

    async def add(self, service: str, version: str) -> None:
        """Start an endpoint and list it."""

    def drop(self, endpoint: _endpoints.Endpoint) -> None:
        """Remove the entry of an endpoint that is gone."""


class PlannedWork:
    """Does planned work; some goes on in the background."""

    def __init__(
        self, world: World, rng: random.Random, nursery: trio.Nursery
    ) -> None:
        self._world = world
        self._rng = rng
        self._nursery = nursery

    @property
    def kinds(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """All kinds of planned work."""
        changes = (self._configure, self._move)
        endpoints = (self._drain, self._silence)
        return self._stop, self._reload, *changes, *endpoints

    async def begin(self) -> None:
        """Begin planned work that is drawn at random."""
        await self._rng.choice(self.kinds)()

    async def _stop(self) -> None:
        self._nursery.start_soon(self._rng.choice(self._world.gateways).stop)

    async def _reload(self) -> None:
        self._rng.choice(self._world.gateways).reload()

    async def _silence(self) -> None:
        endpoint = _endpoints.pick(self._world.endpoints, self._rng)
        endpoint.fall_silent(self._rng.uniform(0.8, 1.2))

    async def _move(self) -> None:
        self._world.store.move_route(self._rng.randrange(_MOST_ROUTES))

    async def _drain(self) -> None:
        endpoint = _endpoints.pick(self._world.endpoints, self._rng)
        await self._world.add(endpoint.service, endpoint.version)
        self._world.endpoints.remove(endpoint)
        endpoint.ready = False
        self._world.store.list_endpoint(endpoint)
        self._nursery.start_soon(self._leave, endpoint)

    async def _leave(self, endpoint: _endpoints.Endpoint) -> None:
        await trio.sleep(_DRAIN_S)
        self._world.drop(endpoint)
        endpoint.scope.cancel()

    async def _configure(self) -> None:
        self._world.store.publish(self._rng.randrange(_MOST_ROUTES))
