"""Configuration in force: routes, services, teams and caller limits."""

import dataclasses
import enum
import math


class Kind(enum.Enum):
    """What may be repeated of the requests on a route."""

    safe = 'safe'
    unsafe = 'unsafe'
    streaming = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
    """What one endpoint of a batching stage service takes."""

    slots: int
    """Calls worked on at the same time."""

    queue: int
    """Calls that may wait at the endpoint."""

    batch: int
    """Largest number of pieces in one call."""

    call_s: float
    """Approximate seconds of a call without its pieces."""

    piece_s: float
    """Approximate seconds that each piece adds to a call."""

    room_bytes: float
    """Memory for results at the endpoint."""

    keep_s: float
    """Seconds for which a result is kept after its call."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one model engine takes."""

    slots: int
    """Largest batch of running requests."""

    memory_tokens: int
    """Tokens that fit into the memory of the KV cache."""

    can_fetch: bool
    """Whether an engine can fetch cached parts from another one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable endpoints."""

    name: str
    """Name, unique in the configuration."""

    max_connections: int
    """Connections that one endpoint accepts from all callers together."""

    batches: BatchLimits | None = None
    """Set for services that run pieces of stages."""

    engine: EngineLimits | None = None
    """Set for model engines."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Work that is done before a request of the route can run."""

    service: str
    """Service that runs the pieces of the stage."""

    after: tuple[int, ...]
    """Stages whose results the pieces read."""

    result_bytes: float
    """Approximate size of the result of one piece."""


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's requests that goes to a service."""

    service: str
    """Name of the service."""

    weight: float
    """Relative weight, above zero."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are served."""

    name: str
    """Name in logs and metrics."""

    host: str
    """Host of the requests, lower case."""

    prefix: str
    """Path prefix, beginning and ending with a slash."""

    kind: Kind
    """What may be repeated."""

    shares: tuple[Share, ...]
    """Services that run the requests."""

    timeout_s: float
    """Longest time until the final answer, in seconds."""

    target_s: float
    """Time until the answer, or its first event, that callers want."""

    attempts: int = 1
    """Endpoints to which one request may be sent."""

    priority: int = 0
    """Rank of the requests; 0 goes first."""

    public: bool = False
    """Whether requests need no API key."""

    resumable: bool = False
    """Whether a stream may go on at another endpoint."""

    longest_pause_s: float = 0
    """Pause between two events that is still on time."""

    patience_s: float = math.inf
    """Time without an event after which callers leave a stream."""

    stages: tuple[Stage, ...] = ()
    """Work that comes first, by stage number."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.safe or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Callers that share API keys."""

    name: str
    """Name that endpoints get to see."""

    keys: frozenset[str]
    """API keys in force."""

    priority: int | None = None
    """Rank that replaces the rank of the route."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits towards callers."""

    max_header_bytes: int = 16384
    """Largest request head."""

    max_body_bytes: int = 1048576
    """Largest request body."""

    header_timeout_s: float = 3.0
    """Seconds in which a request head must arrive."""

    idle_timeout_s: float = 15.0
    """Seconds for which a connection may be idle."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One numbered version of everything that operators decide."""

    version: int
    """Number of the version; later ones are higher."""

    routes: tuple[Route, ...]
    """All routes."""

    services: dict[str, Service]
    """All services by name."""

    teams: tuple[Team, ...] = ()
    """Teams; if there are none, no request needs a key."""

    limits: CallLimits = CallLimits()
    """Limits towards callers."""
