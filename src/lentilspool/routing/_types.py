"""Immutable inputs of a routing policy, and its decisions."""

import dataclasses
import types
from collections.abc import Mapping
from typing import Final

_NO_CACHED_TOKENS: Final[Mapping[str, int]] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """State of one endpoint as the entry knows it."""

    name: str
    """Name of the endpoint, unique in its pool."""

    pool: str = ''
    """Pool of the endpoint."""

    zone: str = ''
    """Availability zone of the endpoint."""

    price: float = 1.0
    """Credits for one call or for 1,000 tokens, as the pool declares."""

    in_flight: float = 0
    """Current in-flight work of this entry at the endpoint, in calls."""

    reported_other_work: float = 0
    """Work of other entries in the last load report, in calls."""

    reported_at: float = 0
    """Time at which that load was measured, in seconds."""

    capacity: float = 8
    """Calls that the endpoint runs concurrently; its limit if known."""

    model: str = ''
    """Model that is loaded; empty if the pool has none."""

    adapters: frozenset[str] = frozenset()
    """Adapters that are loaded."""

    model_version: str = ''
    """Version of the loaded model."""

    ejected: bool = False
    """Whether the endpoint gets no work because it failed or was slow."""

    weight: float = 1.0
    """Share of its usual work that it gets; below 1 in slow start."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """One attempt of one stage that needs an endpoint."""

    pool: str = ''
    """Pool that runs the stage."""

    zone: str = ''
    """Availability zone of the entry."""

    service_s: float = 0.1
    """Expected service time in seconds, without the prefill."""

    prompt_tokens: int = 0
    """Tokens of the prompt, cached or not."""

    cached_tokens: Mapping[str, int] = dataclasses.field(
        default_factory=lambda: _NO_CACHED_TOKENS
    )
    """Predicted cached tokens of the prompt, by endpoint name."""

    prefix_key: int = 0
    """Hash of the beginning of the prompt; zero if it has none.

    Entries that know no endpoint with a cached prefix use it to prefer the
    same endpoint.
    """

    slack_s: float = 5.0
    """Seconds to the deadline in excess of the expected service time."""

    model: str = ''
    """Model that the stage needs; empty for any."""

    adapter: str = ''
    """Adapter that the stage needs; empty for none."""

    model_version: str = ''
    """Version that the stage needs; empty for any."""

    excluded: frozenset[str] = frozenset()
    """Names of endpoints that must not be chosen: tried before, or leaving."""

    requires_idle: bool = False
    """Whether the endpoint must have no other work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint was chosen."""

    endpoint: str
    """Name of the endpoint."""

    score_s: float = 0
    """Score in seconds that the policy gave the endpoint; lower is better."""

    cached_tokens: int = 0
    """Tokens of the prompt that the endpoint is predicted to have cached."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No endpoint may be chosen."""

    reason: str
    """Explanation for people, not to be parsed."""

    retry_after_s: float
    """Seconds after which the caller may try again."""


Decision = Choice | NoEndpoint
