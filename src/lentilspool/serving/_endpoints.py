"""Endpoints that the service discovery lists."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One start of a process that runs requests of a service."""

    name: str
    """Identity that the endpoint verifies; usually new at each start."""

    service: str
    """Service to which it belongs."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    zone: str
    """Availability zone."""

    slots: int
    """Number of requests that it runs at the same time."""

    ready: bool
    """Whether it accepts new requests; False while it drains."""

    born_ms: int
    """Start of the process, Unix milliseconds; 0 if unknown."""

    version: str = ''
    """Version of its software; empty if not stated."""

    @property
    def address(self) -> str:
        """IP address and port; results name their endpoint by it."""
        return f'{self.host}:{self.port}'

    @property
    def incarnation(self) -> str:
        """Identity that is unique to this start of the endpoint."""
        return f'{self.name}/{self.born_ms}'


class EndpointIndex:
    """Index of the endpoints that are listed now, by service.

    ``replace`` applies a full listing, ``put`` and ``remove`` single changes.
    ``apply_leaving`` applies what endpoints state of themselves, which holds
    whatever they are listed as.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, tuple[Endpoint, ...]] = {}
        self._generation = 0
        self._leaving: frozenset[str] = frozenset()
        self._last_resorts: frozenset[str] = frozenset()

    @property
    def generation(self) -> int:
        """Number of changes so far; compare it to detect a change."""
        return self._generation

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All endpoints, including those that drain."""
        return tuple(self._endpoints.values())

    def find(self, name: str) -> Endpoint | None:
        """Return the endpoint of that name, or None if it is not listed."""
        return self._endpoints.get(name)

    def ready(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that accept new requests.

        Endpoints that leave are among them only if there is no other, and only
        for a time.
        """
        return self._by_service.get(service, ())

    def replace(self, endpoints: dict[str, Endpoint]) -> None:
        """Replace all endpoints by those of a full listing."""
        if endpoints != self._endpoints:
            self._endpoints = dict(endpoints)
            self._index()

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint, or replace the one with the same name."""
        if self._endpoints.get(endpoint.name) != endpoint:
            self._endpoints[endpoint.name] = endpoint
            self._index()

    def remove(self, name: str) -> None:
        """Remove an endpoint that is no longer listed."""
        if self._endpoints.pop(name, None):
            self._index()

    def apply_leaving(
        self, leaving: frozenset[str], last_resorts: frozenset[str]
    ) -> None:
        """Apply the incarnations of endpoints that leave.

        ``last_resorts`` are those that may get work if there is no other.
        """
        if (leaving, last_resorts) != (self._leaving, self._last_resorts):
            self._leaving = leaving
            self._last_resorts = last_resorts
            self._index()

    def _index(self) -> None:
        self._generation += 1
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            if endpoint.ready:
                grouped.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = {
            service: tuple(
                sorted(self._usable(found), key=lambda one: one.name)
            )
            for service, found in grouped.items()
        }

    def _usable(self, found: list[Endpoint]) -> list[Endpoint]:
        staying = [one for one in found if one.incarnation not in self._leaving]
        return staying or [
            one for one in found if one.incarnation in self._last_resorts
        ]
