"""Data classes of a configuration document.

Published documents are JSON objects; ``settings.convert`` turns one into a
``Document``. Fields that most installations leave alone have a default.
"""

import dataclasses
from typing import Literal

PoolKind = Literal['engine', 'stage', 'service']
FencingMode = Literal['checked', 'ignored']


@dataclasses.dataclass(frozen=True, slots=True)
class StageDocument:
    """One stage of a pipeline."""

    name: str
    """Name of the stage, unique in its pipeline."""

    pool: str
    """Name of the pool whose endpoints run the stage."""

    repeatable: bool = True
    """Whether the stage is idempotent and may be run more than once."""

    operation: str = ''
    """Operation to request from the endpoint; the stage's name if empty."""

    max_output_tokens: int = 256
    """Upper bound of generated tokens, for pools of kind engine."""

    expected_cost: float = 1.0
    """Estimated cost in credits, used until costs have been observed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineDocument:
    """Ordered stages, and the deadlines and access of their requests."""

    stages: tuple[StageDocument, ...]
    """Stages in the order in which they run."""

    deadline_s: float = 5.0
    """Seconds from admission by which the answer must be complete."""

    may_wait: bool = False
    """Whether a request may be queued and its answer collected later."""

    wait_limit_s: float = 600.0
    """Seconds after which a queued request is given up, if it may wait."""

    teams: tuple[str, ...] = ()
    """Teams that may use the pipeline; empty for every team."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDocument:
    """Endpoints that are interchangeable for a stage."""

    kind: PoolKind
    """Kind of its endpoints, which decides how they are called."""

    provider: str = 'own'
    """Provider whose credits pay for the pool's work."""

    price: float = 1.0
    """Credits for one call, or for 1,000 tokens if the kind is engine."""

    routing: str = 'default'
    """Name of the routing policy."""

    limit: str = 'default'
    """Name of the concurrency-limit policy."""

    max_in_flight: int = 8
    """Upper bound of concurrent calls to one endpoint."""

    max_queued: int = 64
    """Upper bound of calls in one sidecar's queue."""

    fencing: FencingMode = 'ignored'
    """Whether engines reject an order with an outdated fencing number."""

    model: str = ''
    """Model that the pool's engines load; empty for none."""

    adapters: tuple[str, ...] = ()
    """Adapters that the pool's engines load in addition to the model."""

    model_version: str = ''
    """Version of the model."""

    min_capacity_share: float = 0.75
    """Share of the pool that stays in service during a rolling order."""


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDocument:
    """A team and its share of the capacity."""

    share: float = 1.0
    """Weight of the team in fair sharing, which is measured in cost."""

    max_waiting: int = 1000
    """Upper bound of the team's requests that wait for an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProviderDocument:
    """A provider's credits."""

    credits: float
    """Credits available at ``starts_at``."""

    starts_at: str
    """Time from which the credits can be spent, ISO 8601 with offset."""

    expires_at: str
    """Time at which unused credits expire, ISO 8601 with offset."""


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyDocument:
    """Names of the policies in force, and their parameters."""

    admission: str = 'default'
    """Name of the admission policy of entries."""

    queue: str = 'default'
    """Name of the queue policy of sidecars."""

    spend: str = 'default'
    """Name of the spend policy."""

    retry_budget_share: float = 0.1
    """Retry budget of each pool, as a share of its successful calls."""

    parameters: dict[str, float] = dataclasses.field(default_factory=dict)
    """Numeric parameters of the policies, by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The whole configuration in force at one version."""

    pipelines: dict[str, PipelineDocument]
    """Pipelines by name."""

    pools: dict[str, PoolDocument]
    """Pools by name."""

    teams: dict[str, TeamDocument]
    """Teams by name."""

    providers: dict[str, ProviderDocument] = dataclasses.field(
        default_factory=dict
    )
    """Providers by name; a provider not listed has unlimited credits."""

    policies: PolicyDocument = PolicyDocument()
    """Policies in force."""

    key_slots: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    """Addresses of the sidecars that store idempotency keys, by pool.

    A name is a pool, or ``pool@start/end`` for a period of time.
    """
