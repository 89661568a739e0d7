"""Drills of the store, and requests that end their endpoints."""

import random
from typing import Final, Protocol

import trio

from soak import _callers, _endpoints, _findings, _gateways, _published

# Time for which requests with one fatal part come, and the mean between them.
_PART_S: Final = (10.0, 16.0)
_PART_PAUSE_S: Final = 0.4
# Numbers of callers that send harmful requests.
_FIRST_HARMFUL: Final = 1000
_FIRST_PART: Final = 2000
_LOST_CHANGES: Final = 10
_CHANGES_S: Final = 0.2
_LOST_S: Final = 1.0
_AWAY_S: Final = 0.3
# Seconds within which a change must be in force at each gateway.
_IN_FORCE_S: Final = 4.0
_LAST_ROUTES: Final = 90


class World(Protocol):
    """What drills need of the world."""

    store: _published.Store
    """Store that the gateways read."""

    gateways: list[_gateways.Gateway]
    """Gateways that callers use."""

    endpoints: list[_endpoints.Endpoint]
    """Endpoints that live."""

    def write_again(self) -> None:
        """Write what the operator and the endpoints last wrote."""


class Drills:
    """Restores the store from copies, and sends harmful requests."""

    def __init__(
        self,
        world: World,
        findings: _findings.Findings,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self._world = world
        self._findings = findings
        self._rng = rng
        self._nursery = nursery
        self._harmful = 0
        self._parts = 0
        self._part_until = 0.0

    async def restore(self) -> None:
        """Begin a restore of the store."""
        self._nursery.start_soon(self._restore)

    async def harm(self) -> None:
        """Begin to send a harmful request."""
        self._nursery.start_soon(self._repeat_harmful)

    async def crash_by_part(self) -> None:
        """Begin to send requests with a part that crashes engines.

        One such part comes at a time.
        """
        now = trio.current_time()
        if now >= self._part_until:
            seconds = self._rng.uniform(*_PART_S)
            self._part_until = now + seconds
            self._nursery.start_soon(self._repeat_part, seconds)

    async def _restore(self) -> None:
        """Replace the store by a copy; its writers write again later."""
        self._findings.restores += 1
        store = self._world.store
        await store.leave(self._rng.uniform(0.1, 1))
        store.restore(self._rng.uniform(0.5, 6))
        await trio.sleep(self._rng.uniform(0.2, 1.5))
        self._world.write_again()
        store.settle()

    async def _repeat_part(self, seconds: float) -> None:
        self._parts += 1
        caller = _callers.Caller(
            _FIRST_PART + self._parts,
            self._world.gateways,
            self._findings,
            random.Random(self._rng.random()),
        )
        with trio.move_on_after(seconds):
            await caller.repeat_part(f'fa{self._parts:02}', _PART_PAUSE_S)

    async def _repeat_harmful(self) -> None:
        """Send a request that ends its endpoints, again and again."""
        self._harmful += 1
        caller = _callers.Caller(
            _FIRST_HARMFUL + self._harmful,
            self._world.gateways,
            self._findings,
            self._rng,
        )
        with trio.move_on_after(self._rng.uniform(1, 5)):
            harmful = self._rng.choice(_callers.HARMFUL)
            await caller.repeat(self._harmful, harmful, 0.2)


async def check_last_restore(
    world: World, findings: _findings.Findings
) -> None:
    """Lose some changes, and check that the next ones are in force in time."""
    store = world.store
    for _ in range(_LOST_CHANGES):
        store.publish(1)
        await trio.sleep(_CHANGES_S / _LOST_CHANGES)
    for endpoint in world.endpoints:
        store.list_endpoint(endpoint)
    await trio.sleep(_LOST_S)
    await store.leave(_AWAY_S)
    store.restore(_LOST_S + _AWAY_S + _CHANGES_S)
    store.publish(_LAST_ROUTES)
    leaving = next(one for one in world.endpoints if one.service == 'desk')
    leaving.ready = False
    store.list_endpoint(leaving)
    store.settle()
    await trio.sleep(_IN_FORCE_S)
    in_force_at = trio.current_time()
    for number, gateway in enumerate(world.gateways):
        caller = _callers.Caller(
            number, [gateway], findings, random.Random(number)
        )
        status = await caller.status_of(f'new{_LAST_ROUTES - 1}')
        if status == _callers.NOT_FOUND:
            findings.broken.append(f'config: {gateway.name} has an old version')
    await trio.sleep(_LOST_S)
    if findings.last_run_at.get(leaving.name, 0) > in_force_at:
        findings.broken.append(f'drain: {leaving.name} still gets work')
