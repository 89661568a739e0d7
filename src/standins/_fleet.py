"""A small fleet in one event loop, over real loopback sockets."""

import dataclasses
import itertools
import json
import socket
from typing import Any, Final

import httpcore
import trio

from lentilspool import daemons, settings
from standins import _endpoints, _engine, _faults, _platform, _relay

_ADDRESS: Final = '127.0.0.1'
_KEY: Final = 'a key for demonstrations and tests only'
_READY_S: Final = 10
_POLL_S: Final = 0.02
_OK: Final = 200
_FIRST_PORT: Final = 16_000
_LAST_PORT: Final = 32_000
_PORTS: Final = itertools.cycle(range(_FIRST_PORT, _LAST_PORT))


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a fleet consists of."""

    document: dict[str, Any]
    """Configuration to publish."""

    endpoints: dict[str, int]
    """Number of endpoints of each pool."""

    texts: dict[str, str] = dataclasses.field(default_factory=dict)
    """Text files that retrieval searches."""

    entries: int = 1
    """Number of entries."""

    zones: int = 2
    """Number of availability zones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A response to a caller."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Headers by lower-case name."""

    body: bytes
    """Body."""

    @property
    def plain(self) -> Any:
        """Body as plain JSON types."""
        return json.loads(self.body)


class Place:
    """One endpoint with its sidecar."""

    def __init__(self, name: str, app: Any, pool: str) -> None:
        self.name = name
        self.pool = pool
        self.app = app
        self.port = free_port()
        self.relay_port = free_port()
        self.relay: _relay.Relay | None = None
        self.faults = _faults.Faulty(app, die=self.kill_endpoint)
        self.server: daemons.HttpServer | None = None
        self.sidecar: daemons.Daemon | None = None

    def kill_endpoint(self) -> None:
        """End the endpoint as a process does that dies."""
        if self.server:
            self.server.kill()


class Fleet:
    """Starts platform, endpoints, sidecars and entries in a nursery.

    Await ``start``, then send requests with ``post``. The nursery's cancel
    scope ends everything.
    """

    def __init__(self, plan: Plan, nursery: trio.Nursery) -> None:
        self._plan = plan
        self._nursery = nursery
        self._pool = httpcore.AsyncConnectionPool(max_connections=1000)
        self.configuration = _platform.ConfigurationService(plan.document)
        self.hosts = _platform.HostList()
        self.places: dict[str, Place] = {}
        self.entries: dict[str, tuple[daemons.Daemon, int]] = {}
        self.peer_ports: dict[str, int] = {}
        self._listed: dict[str, dict[str, Any]] = {}
        self._platform: settings.PlatformSettings | None = None

    @property
    def keys(self) -> settings.KeySettings:
        """Keys that every process uses."""
        return settings.KeySettings(_KEY)

    @property
    def platform(self) -> settings.PlatformSettings:
        """Where the stand-ins of the platform listen."""
        if self._platform is None:
            raise RuntimeError('the fleet is not started')
        return self._platform

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        configuration = await self._serve(self.configuration)
        hosts = await self._serve(self.hosts)
        self._platform = settings.PlatformSettings(
            f'http://{_ADDRESS}:{configuration.port}',
            f'http://{_ADDRESS}:{hosts.port}',
            host_list_interval_s=0.5,
        )
        for pool, count in self._plan.endpoints.items():
            for index in range(count):
                await self.add_place(pool, f'{pool}-{index}', index)
        for index in range(self._plan.entries):
            await self.add_entry(f'entry-{index}', index)
        await self.wait_ready()

    async def add_place(self, pool: str, name: str, index: int = 0) -> Place:
        """Start an endpoint with its sidecar and list it."""
        place = Place(name, self._endpoint(pool), pool)
        place.server = await self._serve(place.faults)
        place.relay = _relay.Relay((_ADDRESS, place.port), self._nursery)
        await place.relay.start(place.relay_port)
        self.places[name] = place
        await self.start_sidecar(place, index)
        return place

    async def start_sidecar(self, place: Place, index: int = 0) -> None:
        """Start the sidecar of a place, or a new incarnation of it."""
        if place.server is None:
            raise RuntimeError(f'the endpoint of {place.name} is not started')
        place.sidecar = daemons.sidecar(
            settings.SidecarSettings(
                name=place.name,
                zone=self._zone(index),
                address=_ADDRESS,
                port=place.port,
                http_port=0,
                pool=place.pool,
                endpoint_url=f'http://{_ADDRESS}:{place.server.port}',
                platform=self.platform,
                keys=self.keys,
            )
        )
        await self._nursery.start(place.sidecar.run)
        self._list(place.name, place.relay_port, index, 'sidecar', place.pool)

    async def add_entry(self, name: str, index: int = 0) -> None:
        """Start an entry and list it."""
        port = free_port()
        peer_port = free_port()
        daemon = daemons.entry(
            settings.EntrySettings(
                name=name,
                zone=self._zone(index),
                address=_ADDRESS,
                port=port,
                peer_port=peer_port,
                platform=self.platform,
                keys=self.keys,
            )
        )
        await self._nursery.start(daemon.run)
        self.entries[name] = (daemon, port)
        self.peer_ports[name] = peer_port
        self._list(name, peer_port, index, 'entry', '')

    async def wait_ready(self) -> None:
        """Wait until every entry says that it is ready."""
        with trio.fail_after(_READY_S):
            for name in self.entries:
                while (await self.get(name, '/readyz')).status != _OK:
                    await trio.sleep(_POLL_S)

    async def get(self, entry: str, path: str) -> Reply:
        """Send a GET request to an entry."""
        return await self._request('GET', entry, path, b'', {})

    async def delete(self, entry: str, path: str) -> Reply:
        """Send a DELETE request to an entry."""
        return await self._request('DELETE', entry, path, b'', {})

    async def post(
        self,
        entry: str,
        path: str,
        plain: object,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a POST request with a JSON body to an entry."""
        body = json.dumps(plain).encode()
        return await self._request('POST', entry, path, body, headers or {})

    async def request(
        self, pipeline: str, team: str, fields: dict[str, Any]
    ) -> Reply:
        """Send a request for a pipeline to the first entry."""
        return await self.post(
            next(iter(self.entries)),
            f'/v1/pipelines/{pipeline}/requests',
            {'team': team, 'input': fields},
        )

    async def aclose(self) -> None:
        """Close the caller's connections."""
        await self._pool.aclose()

    def unlist(self, name: str) -> None:
        """Take a process off the host list."""
        self._listed.pop(name, None)
        self.hosts.publish(list(self._listed.values()))

    async def _request(
        self,
        method: str,
        entry: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Reply:
        port = self.entries[entry][1]
        response = await self._pool.request(
            method,
            f'http://{_ADDRESS}:{port}{path}',
            headers=list(headers.items()),
            content=body,
        )
        names = {
            name.decode().lower(): text.decode()
            for name, text in response.headers
        }
        return Reply(response.status, names, response.content)

    async def _serve(self, app: Any) -> daemons.HttpServer:
        server = daemons.HttpServer(app, _ADDRESS, 0, self._nursery)
        await server.start()
        return server

    def _endpoint(self, pool: str) -> Any:
        kind = self._plan.document['pools'][pool]['kind']
        if kind == 'engine':
            return _engine.Engine()
        if kind == 'service':
            return _endpoints.ServiceEndpoint()
        return _endpoints.StageEndpoint(self._plan.texts)

    def _zone(self, index: int) -> str:
        return f'zone-{index % self._plan.zones}'

    def _list(
        self, name: str, port: int, index: int, role: str, pool: str
    ) -> None:
        self._listed[name] = {
            'name': name,
            'address': _ADDRESS,
            'port': port,
            'dump_port': 0,
            'zone': self._zone(index),
            'role': role,
            'pool': pool,
            'state': 'live',
        }
        self.hosts.publish(list(self._listed.values()))


def free_port() -> int:
    """Return a port that nothing listens at.

    It lies below the ports that the system gives to outgoing connections,
    so that none of these takes it before it is used.
    """
    return next(port for port in _PORTS if _is_free(port))


def _is_free(port: int) -> bool:
    try:
        with socket.create_server((_ADDRESS, port)):
            return True
    except OSError:
        return False
