"""Faults in series that overlap, drawn from a seed."""

import random
from typing import Final

import trio

from soak import (
    _drills,
    _endpoints,
    _findings,
    _gateways,
    _history,
    _planned_work,
    _proxy,
    _published,
    _repeat_drills,
    _statement_drills,
)

_SERVICES: Final = (('desk', 3), ('counter', 2), ('prepare', 3), ('model', 4))
_MODES: Final = (
    _proxy.Mode.delayed,
    _proxy.Mode.reset,
    _proxy.Mode.silent,
    _proxy.Mode.one_way,
    _proxy.Mode.endless,
)


_UNPLANNED: Final = tuple(
    'kill pause link store_link crash restore harm fatal_part'.split()
)
NAMES: Final = (
    *_planned_work.NAMES,
    *_statement_drills.NAMES,
    _repeat_drills.NAME,
    *_UNPLANNED,
)


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
        self.store.recorder = findings.recorder
        self.gateways: list[_gateways.Gateway] = []
        self.endpoints: list[_endpoints.Endpoint] = []
        self.gone: list[_endpoints.Endpoint] = []
        self._drills = _drills.Drills(self, findings, rng, nursery)
        self._stating = _statement_drills.StatementDrills(self, rng, nursery)
        self._repeating = _repeat_drills.RepeatDrill(self, rng, nursery)
        self._planned = _planned_work.PlannedWork(self, rng, nursery)

    async def start(self) -> None:
        """Start store and endpoints, and publish the first configuration."""
        await self._nursery.start(self.store.server.serve)
        versions = _findings.VERSIONS
        for service, count in _SERVICES:
            for index in range(count):
                await self.add(service, versions[index % len(versions)])
        self.store.publish(0)

    def write_again(self) -> None:
        """Write what the operator and the endpoints last wrote."""
        self.store.publish_again()
        for endpoint in self.gone:
            self.store.drop_endpoint(endpoint)
        for endpoint in self.endpoints:
            self.store.list_endpoint(endpoint)

    def drop(self, endpoint: _endpoints.Endpoint) -> None:
        """Remove the entry of an endpoint that is gone."""
        self.gone.append(endpoint)
        self.store.drop_endpoint(endpoint)

    @property
    def kinds(self) -> _planned_work.Kinds:
        """All kinds of disruption, by name."""
        drills = self._drills
        signals = (self._kill, self._pause)
        links = (self._hurt_link, self._hurt_store)
        requests = (drills.restore, drills.harm, drills.crash_by_part)
        unplanned = (*signals, *links, self.crash, *requests)
        stating = self._stating
        statements = dict(
            zip(
                _statement_drills.NAMES,
                (stating.limit, stating.rest, stating.leave),
                strict=True,
            )
        )
        planned = self._planned.kinds
        return {
            **planned,
            **statements,
            _repeat_drills.NAME: self._repeating.begin,
            **dict(zip(_UNPLANNED, unplanned, strict=True)),
        }

    @property
    def drawn(self) -> tuple[str, ...]:
        """Names from which disruptions are drawn, some of them more often."""
        return (*self.kinds, 'link')

    async def disturb(self, names: tuple[str, ...]) -> None:
        """Do one disruption of those named; some go on in the background."""
        name = self._rng.choice(names)
        self._findings.drawn[name] += 1
        await self.kinds[name]()

    async def add(self, service: str, version: str) -> None:
        """Start an endpoint and list it."""
        endpoint = _endpoints.Endpoint(
            service, self._findings, self._crashed, version
        )
        await self._nursery.start(endpoint.serve)
        self.endpoints.append(endpoint)
        self.store.list_endpoint(endpoint)

    async def crash(self) -> None:
        """End an endpoint with all its results; another one starts."""
        endpoint = _endpoints.pick(self.endpoints, self._rng)
        endpoint.crash()
        self._crashed(endpoint)

    async def _kill(self) -> None:
        self._rng.choice(self.gateways).kill()

    async def _pause(self) -> None:
        gateway = self._rng.choice(self.gateways)
        self._nursery.start_soon(gateway.pause, self._rng.uniform(0.5, 3))

    async def _hurt_link(self) -> None:
        endpoint = _endpoints.pick(self.endpoints, self._rng)
        self._nursery.start_soon(self._hurt, endpoint.proxy, endpoint.name)

    async def _hurt_store(self) -> None:
        gateway = self._rng.choice(self.gateways)
        self._nursery.start_soon(self._hurt, gateway.store_way, gateway.name)

    async def _hurt(self, way: _proxy.Proxy, place: str) -> None:
        mode = self._rng.choice(_MODES)
        way.set_mode(mode)
        recorder = self._findings.recorder
        hurt = _history.Disrupted(recorder.now(), place, mode.value)
        recorder.note(hurt)
        await trio.sleep(self._rng.uniform(0.3, 3))
        way.set_mode(_proxy.Mode.passing)
        over = _history.Disrupted(recorder.now(), place, mode.value, over=True)
        recorder.note(over)

    def _crashed(self, endpoint: _endpoints.Endpoint) -> None:
        if endpoint in self.endpoints:
            self.endpoints.remove(endpoint)
            self._nursery.start_soon(self._replace, endpoint)

    async def _replace(self, gone: _endpoints.Endpoint) -> None:
        await trio.sleep(self._rng.uniform(0.2, 2))
        self.drop(gone)
        await self.add(gone.service, gone.version)
