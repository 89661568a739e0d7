"""Frozen views that a routing policy reads, and its outcomes."""

import dataclasses
import types
from collections.abc import Mapping
from typing import Final

_NO_PREFIX: Final[Mapping[str, int]] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """What an entry knows of one endpoint at this moment."""

    name: str
    """Name of the endpoint, unique in its pool."""

    pool: str = ''
    """Pool of the endpoint."""

    zone: str = ''
    """Availability zone of the endpoint."""

    price: float = 1.0
    """Credits for one call or 1,000 tokens, as the pool declares."""

    in_flight: float = 0
    """Work of this entry at the endpoint now, in calls."""

    reported_others: float = 0
    """Work of other entries at the endpoint when it last reported."""

    reported_at: float = 0
    """Time of the measurement in that report, in seconds."""

    capacity: float = 8
    """Calls that the endpoint works on together; its limit if known."""

    model: str = ''
    """Model that is loaded; empty if the pool holds none."""

    adapters: frozenset[str] = frozenset()
    """Adapters that are loaded."""

    model_version: str = ''
    """Version of the loaded model."""

    ejected: bool = False
    """Whether the endpoint is taken out for failures or slowness."""

    weight: float = 1.0
    """Share of its usual work that it may get, below 1 in slow start."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """One attempt of one stage, for which an endpoint is wanted."""

    pool: str = ''
    """Pool that runs the stage."""

    zone: str = ''
    """Availability zone of the entry."""

    service_s: float = 0.1
    """Expected seconds of service without the work on the prompt."""

    prompt_tokens: int = 0
    """Tokens of the prompt, cached or not."""

    cached_tokens: Mapping[str, int] = dataclasses.field(
        default_factory=lambda: _NO_PREFIX
    )
    """Predicted cached tokens of the prompt, by endpoint name."""

    prefix_key: int = 0
    """Hash of the beginning of the prompt; zero if it has none.

    Entries that know of no cached prefix agree on an endpoint by it.
    """

    slack_s: float = 5.0
    """Seconds that the deadline leaves beyond the expected service."""

    model: str = ''
    """Model that the stage needs; empty for any."""

    adapter: str = ''
    """Adapter that the stage needs; empty for none."""

    model_version: str = ''
    """Version that the stage needs; empty for any."""

    excluded: frozenset[str] = frozenset()
    """Endpoints that must not be chosen: tried before, or leaving."""

    solo: bool = False
    """Whether the request must run on an endpoint without other work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint was chosen."""

    endpoint: str
    """Name of the endpoint."""

    score_s: float = 0
    """Predicted seconds until the end of the call, by the policy."""

    cached_tokens: int = 0
    """Tokens of the prompt that the endpoint is predicted to hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No endpoint may be chosen."""

    reason: str
    """Why, in words for a person."""

    retry_after_s: float
    """Seconds after which a new try makes sense."""


Decision = Choice | NoEndpoint
