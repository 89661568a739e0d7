"""Configuration in force: routes, services, teams and caller limits."""

import dataclasses
import enum
import math


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated, or are streams."""

    safe = 'safe'
    unsafe = 'unsafe'
    streaming = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
    """Capacity and expected speed of one endpoint of a stage service."""

    slots: int
    """Number of calls that run at the same time."""

    queue: int
    """Number of calls that may queue at the endpoint."""

    batch: int
    """Largest number of pieces in one call."""

    call_s: float
    """Approximate fixed seconds of a call, without its pieces."""

    piece_s: float
    """Approximate seconds that each piece adds to a call."""

    room_bytes: float
    """Memory for results at the endpoint, in bytes."""

    keep_s: float
    """Seconds for which a result is kept after its call."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of one model engine."""

    slots: int
    """Largest batch of running requests."""

    memory_tokens: int
    """Capacity of the KV cache in tokens."""

    can_fetch: bool
    """Whether an engine can fetch cached prompt parts from another one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable endpoints."""

    name: str
    """Name, unique in the configuration."""

    max_connections: int
    """Connections that one endpoint accepts from all clients together."""

    batches: BatchLimits | None = None
    """Set for services that run pieces of stages."""

    engine: EngineLimits | None = None
    """Set for model engines."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Work that has to be done before an engine runs a request."""

    service: str
    """Service that runs the pieces of the stage."""

    after: tuple[int, ...]
    """Numbers of the stages whose results the pieces read."""

    result_bytes: float
    """Approximate size of the result of one piece, in bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that goes to one service."""

    service: str
    """Name of the service."""

    weight: float
    """Relative weight, above zero."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of one host and path prefix."""

    name: str
    """Name in logs and metrics."""

    host: str
    """Host of the requests, lower case."""

    prefix: str
    """Path prefix, beginning and ending with a slash."""

    kind: RouteKind
    """Whether requests may be repeated, or are streams."""

    shares: tuple[ServiceShare, ...]
    """Services that run the requests."""

    timeout_s: float
    """Seconds until the final answer, at most."""

    target_s: float
    """Target for the time to the answer or its first event, in seconds."""

    attempts: int = 1
    """Number of endpoints to which one request may be sent."""

    priority: int = 0
    """Priority of the requests; 0 is the highest."""

    public: bool = False
    """Whether requests need no API key."""

    resumable: bool = False
    """Whether a stream may be resumed at another endpoint."""

    longest_pause_s: float = 0
    """Longest pause between two events that counts as on time, in seconds."""

    patience_s: float = math.inf
    """Seconds without an event after which callers leave a stream."""

    stages: tuple[Stage, ...] = ()
    """Stages to run before the engine, by stage number."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.safe or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Callers that share API keys."""

    name: str
    """Name that is passed on to endpoints."""

    keys: frozenset[str]
    """Valid API keys."""

    priority: int | None = None
    """Priority that replaces that of the route; None keeps the latter."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on the connections and requests of callers."""

    max_header_bytes: int = 16384
    """Largest request head in bytes."""

    max_body_bytes: int = 1048576
    """Largest request body in bytes."""

    header_timeout_s: float = 3.0
    """Seconds in which a request head must arrive."""

    idle_timeout_s: float = 15.0
    """Seconds after which an idle connection is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One numbered version of the settings that operators publish."""

    version: int
    """Version number; it grows with each version."""

    routes: tuple[Route, ...]
    """All routes."""

    services: dict[str, Service]
    """All services by name."""

    teams: tuple[Team, ...] = ()
    """All teams; without any, no request needs an API key."""

    limits: CallLimits = CallLimits()
    """Limits on the connections and requests of callers."""
