"""Endpoints as the service discovery lists them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of a process that runs requests of a service."""

    name: str
    """Identity that the endpoint checks; usually new at each start."""

    service: str
    """Service to which it belongs."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    zone: str
    """Availability zone."""

    slots: int
    """Requests that it runs at the same time."""

    ready: bool
    """Whether it takes new work; False while it drains."""

    born_ms: int
    """Start of the incarnation, Unix milliseconds; 0 if it is not told."""

    @property
    def address(self) -> str:
        """IP address and port, as results name their maker."""
        return f'{self.host}:{self.port}'

    @property
    def incarnation(self) -> str:
        """Name that no other start of an endpoint shares."""
        return f'{self.name}/{self.born_ms}'


class Directory:
    """All endpoints known now, by service.

    ``replace`` takes a whole listing, ``put`` and ``remove`` single changes.
    ``ready`` returns the endpoints of a service that may get new work.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, tuple[Endpoint, ...]] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Number of changes so far."""
        return self._generation

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All endpoints, also those that drain."""
        return tuple(self._endpoints.values())

    def find(self, name: str) -> Endpoint | None:
        """Return the endpoint of a name, if it is listed."""
        return self._endpoints.get(name)

    def ready(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that may get new work."""
        return self._by_service.get(service, ())

    def replace(self, endpoints: dict[str, Endpoint]) -> None:
        """Take a whole listing."""
        if endpoints != self._endpoints:
            self._endpoints = dict(endpoints)
            self._index()

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint, or replace the one of the same name."""
        if self._endpoints.get(endpoint.name) != endpoint:
            self._endpoints[endpoint.name] = endpoint
            self._index()

    def remove(self, name: str) -> None:
        """Drop an endpoint that is no longer listed."""
        if self._endpoints.pop(name, None):
            self._index()

    def _index(self) -> None:
        self._generation += 1
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            if endpoint.ready:
                grouped.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = {
            service: tuple(sorted(found, key=lambda one: one.name))
            for service, found in grouped.items()
        }
