"""Faults in series that overlap, drawn from a seed."""

import random
from typing import Final

import trio

from soak import (
    _drills,
    _endpoints,
    _findings,
    _gateways,
    _proxy,
    _published,
)

_SERVICES: Final = (('desk', 3), ('prepare', 3), ('model', 3))
_MODES: Final = (
    _proxy.Mode.delayed,
    _proxy.Mode.reset,
    _proxy.Mode.silent,
    _proxy.Mode.one_way,
    _proxy.Mode.endless,
)
_DRAIN_S: Final = 4.0
_MOST_ROUTES: Final = 60


class World:
    """Endpoints and store; ``disturb`` does one fault."""

    def __init__(
        self,
        findings: _findings.Findings,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self._findings = findings
        self._rng = rng
        self._nursery = nursery
        self.store = _published.Store()
        self.gateways: list[_gateways.Gateway] = []
        self.endpoints: list[_endpoints.Endpoint] = []
        self.gone: list[_endpoints.Endpoint] = []
        self._drills = _drills.Drills(self, findings, rng, nursery)

    async def start(self) -> None:
        """Start store and endpoints, and publish the first configuration."""
        await self._nursery.start(self.store.server.serve)
        for service, count in _SERVICES:
            for _ in range(count):
                await self.add(service)
        self.store.publish(0)

    def write_again(self) -> None:
        """Write what the operator and the endpoints last wrote."""
        self.store.publish_again()
        for endpoint in self.gone:
            self.store.drop_endpoint(endpoint)
        for endpoint in self.endpoints:
            self.store.list_endpoint(endpoint)

    async def disturb(self) -> None:
        """Do one fault, drawn at random; some go on in the background."""
        fault = self._rng.choice(
            (
                self._kill,
                self._stop,
                self._pause,
                self._hurt_link,
                self._hurt_link,
                self._hurt_store,
                self.crash,
                self._drain,
                self._configure,
                self._drills.restore,
                self._drills.harm,
            )
        )
        await fault()

    async def add(self, service: str) -> None:
        """Start an endpoint and list it."""
        endpoint = _endpoints.Endpoint(service, self._findings, self._crashed)
        await self._nursery.start(endpoint.serve)
        self.endpoints.append(endpoint)
        self.store.list_endpoint(endpoint)

    async def crash(self) -> None:
        """End an endpoint with all its results; another one starts."""
        endpoint = self._rng.choice(self.endpoints)
        endpoint.scope.cancel()
        self._crashed(endpoint)

    async def _kill(self) -> None:
        self._rng.choice(self.gateways).kill()

    async def _stop(self) -> None:
        self._nursery.start_soon(self._rng.choice(self.gateways).stop)

    async def _pause(self) -> None:
        gateway = self._rng.choice(self.gateways)
        self._nursery.start_soon(gateway.pause, self._rng.uniform(0.5, 3))

    async def _hurt_link(self) -> None:
        endpoint = self._rng.choice(self.endpoints)
        self._nursery.start_soon(self._hurt, endpoint.proxy)

    async def _hurt_store(self) -> None:
        gateway = self._rng.choice(self.gateways)
        self._nursery.start_soon(self._hurt, gateway.store_way)

    async def _hurt(self, way: _proxy.Proxy) -> None:
        way.set_mode(self._rng.choice(_MODES))
        await trio.sleep(self._rng.uniform(0.3, 3))
        way.set_mode(_proxy.Mode.passing)

    def _crashed(self, endpoint: _endpoints.Endpoint) -> None:
        if endpoint in self.endpoints:
            self.endpoints.remove(endpoint)
            self._nursery.start_soon(self._replace, endpoint)

    async def _replace(self, gone: _endpoints.Endpoint) -> None:
        await trio.sleep(self._rng.uniform(0.2, 2))
        self._drop(gone)
        await self.add(gone.service)

    async def _drain(self) -> None:
        endpoint = self._rng.choice(self.endpoints)
        await self.add(endpoint.service)
        self.endpoints.remove(endpoint)
        endpoint.ready = False
        self.store.list_endpoint(endpoint)
        self._nursery.start_soon(self._leave, endpoint)

    def _drop(self, endpoint: _endpoints.Endpoint) -> None:
        self.gone.append(endpoint)
        self.store.drop_endpoint(endpoint)

    async def _leave(self, endpoint: _endpoints.Endpoint) -> None:
        await trio.sleep(_DRAIN_S)
        self._drop(endpoint)
        endpoint.scope.cancel()

    async def _configure(self) -> None:
        self.store.publish(self._rng.randrange(_MOST_ROUTES))
