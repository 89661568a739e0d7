"""Planned work of operators, and endpoints that fall silent for a while."""

import random
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import trio

from soak import _endpoints, _gateways, _published

_DRAIN_S: Final = 4.0
_MOST_ROUTES: Final = 60
# Time between the stops of a series.
_STOP_GAP_S: Final = (0.2, 0.7)
# How much slower engines turn, and for how long.
_SLOW_FACTOR: Final = (2.0, 5.0)
_SLOW_S: Final = (1.0, 5.0)


NAMES: Final = tuple(
    'stop stop_many reload configure move drain silence slow'.split()
)
# Disruptions by name.
Kinds = dict[str, Callable[[], Awaitable[None]]]


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
    """Does planned work; some goes on in the background.

    Engines that fall silent or slow down belong to it, as no rule excuses
    what comes of it.
    """

    def __init__(
        self, world: World, rng: random.Random, nursery: trio.Nursery
    ) -> None:
        self._world = world
        self._rng = rng
        self._nursery = nursery
        self._stops_until = 0.0

    @property
    def kinds(self) -> Kinds:
        """All kinds of planned work, by name."""
        stops = (self._stop, self._stop_many, self._reload)
        changes = (self._configure, self._move)
        endpoints = (self._drain, self._silence, self._slow)
        return dict(zip(NAMES, (*stops, *changes, *endpoints), strict=True))

    async def _stop(self) -> None:
        self._nursery.start_soon(self._rng.choice(self._world.gateways).stop)

    async def _stop_many(self) -> None:
        """Begin to stop most gateways or all, unless that goes on already."""
        gateways = self._world.gateways
        least = (len(gateways) + 1) // 2
        count = self._rng.randint(least, len(gateways))
        stopped = self._rng.sample(gateways, count)
        gaps_s = [self._rng.uniform(*_STOP_GAP_S) for _ in stopped]
        now = trio.current_time()
        if now >= self._stops_until:
            self._stops_until = now + sum(gaps_s) + _gateways.GRACE_S
            self._nursery.start_soon(self._stop_in_turn, stopped, gaps_s)

    async def _stop_in_turn(
        self, stopped: list[_gateways.Gateway], gaps_s: list[float]
    ) -> None:
        for gateway, gap_s in zip(stopped, gaps_s, strict=True):
            self._nursery.start_soon(gateway.stop)
            await trio.sleep(gap_s)

    async def _slow(self) -> None:
        engine = _endpoints.pick(self._world.endpoints, self._rng)
        factor = self._rng.uniform(*_SLOW_FACTOR)
        seconds = self._rng.uniform(*_SLOW_S)
        self._nursery.start_soon(engine.slow_down, factor, seconds)

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
