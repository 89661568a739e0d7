"""Endpoints known to an entry, and connections to their sidecars."""

import dataclasses
from typing import Any

import trio

from lentilspool import config, dialects, settings, wire
from lentilspool.daemons import _link, _targets


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint, as its sidecar last described it."""

    name: str
    """Name of the sidecar in the host list."""

    zone: str
    """Availability zone."""

    pool: str
    """Pool to which the endpoint belongs."""

    target: tuple[str, int]
    """Address and port of the sidecar."""


class Directory:
    """Reads the host list and keeps connections to sidecars."""

    def __init__(
        self,
        platform: settings.PlatformSettings,
        hello: wire.Hello,
        links: settings.LinkSettings,
        nursery: trio.Nursery,
    ) -> None:
        self._platform = platform
        self._nursery = nursery
        self._client = dialects.HttpClient(platform.host_list_url, 2)
        self._targets = _targets.Targets(hello, links, self._heard, nursery)
        self._endpoints: dict[tuple[str, int], Endpoint] = {}
        self._heartbeats: dict[tuple[str, int], wire.Heartbeat] = {}

    async def start(self) -> None:
        """Begin to read the host list."""
        self._nursery.start_soon(self._follow)

    async def drain(self) -> None:
        """Nothing is in flight."""

    async def stop(self) -> None:
        """Close connections."""
        await self._client.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            endpoint.name: {
                'pool': endpoint.pool,
                'usable': endpoint.target in self._targets.usable,
            }
            for endpoint in self._endpoints.values()
        }

    def usable(self, pool: str) -> list[tuple[Endpoint, _link.Link]]:
        """Return the endpoints of a pool that may get new work."""
        live = self._targets.usable
        return [
            (endpoint, live[target])
            for target, endpoint in self._endpoints.items()
            if endpoint.pool == pool
            and target in live
            and not self._leaving(target)
        ]

    def ready(self, document: config.Document | None) -> bool:
        """Tell whether every pool has an endpoint that may get work."""
        if document is None:
            return False
        return all(self.usable(pool) for pool in document.pools)

    def _leaving(self, target: tuple[str, int]) -> bool:
        heartbeat = self._heartbeats.get(target)
        return heartbeat is None or heartbeat.leaving

    async def _follow(self) -> None:
        while True:
            reply = await self._client.get_json(
                '/v1/hosts', self._platform.read_timeout_s
            )
            self._adopt(reply)
            interval_s = self._platform.host_list_interval_s
            await trio.sleep(interval_s if self._endpoints else 0.1)

    def _adopt(self, reply: Any) -> None:
        if not reply:
            return
        for host in reply['hosts']:
            if host['role'] == 'sidecar':
                target = (host['address'], host['port'])
                self._endpoints[target] = Endpoint(
                    host['name'], host['zone'], host['pool'], target
                )
        self._targets.want(self._endpoints)

    async def _heard(self, link: _link.Link, message: wire.Message) -> None:
        if isinstance(message, wire.Heartbeat):
            target = (message.address, message.port)
            self._heartbeats[target] = message
