"""Requests to the planner, and the actions that it returns."""

import dataclasses

from lentilspool.serving import _calls, _endpoints


@dataclasses.dataclass(frozen=True, slots=True)
class StageRequest:
    """One stage of a request."""

    service: str
    """Service that runs the pieces."""

    after: tuple[int, ...]
    """Numbers of the stages whose results the pieces read."""

    result_bytes: float
    """Approximate size of one result in bytes."""

    pieces: int
    """Number of pieces; 0 skips the stage."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanRequest:
    """A request to run stages and choose an engine."""

    key: str
    """Identity of the plan, unique among all processes."""

    request_id: str
    """Identity of the request at endpoints and in logs."""

    route: str
    """Name of the route."""

    service: str
    """Name of the service that the engines belong to."""

    stages: tuple[StageRequest, ...]
    """Stages by stage number."""

    piece_key: str
    """Key with which the first stages look up the subject of the request."""

    prompt: _calls.Prompt | None
    """Prompt that the engine reads, if any."""

    target_s: float
    """Seconds left until the target time of the first event."""

    deadline_s: float
    """Seconds left until the caller stops waiting for the answer."""

    priority: int
    """Priority of the request; 0 is the highest."""

    zone: str
    """Availability zone of the gateway that sends the request."""

    avoid: tuple[str, ...] = ()
    """Incarnations of engines that must not be chosen."""

    content: str = ''
    """Digest of the content; empty if the sender has an older release."""

    version: str | None = None
    """Software version that the engine must have; None for any."""

    repeated: bool = False
    """Whether its pieces may have run before, for another plan."""

    planners_lost: int = 0
    """Planners lost lately, as the sender saw it."""

    gateway: str = ''
    """Name of the gateway that sends the request."""

    among: tuple[str, ...] = ()
    """Incarnations of endpoints with limits, one of which a plain request asks
    for; empty for all other requests."""

    has_others: bool = False
    """Whether the plain request goes to another endpoint if it gets none of
    these; otherwise its caller is refused."""

    patience_s: float = 0
    """Seconds for which the plain request may wait for its turn at one."""

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in prompt parts that other requests may share."""
        parts = self.prompt.parts[:-1] if self.prompt else ()
        return sum(part.tokens for part in parts)


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One piece of a stage, within a call."""

    request_id: str
    """Request that the piece belongs to."""

    stage: int
    """Number of the stage."""

    piece: int
    """Number of the piece in its stage."""

    key: str
    """Key of the subject of the request."""

    inputs: tuple[str, ...]
    """Handles of the results that the piece reads."""

    time_left_s: float
    """Seconds after which the result is useless."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Order to send one call with pieces to an endpoint of a stage service."""

    number: int
    """Number of the call."""

    endpoint: _endpoints.Endpoint
    """Endpoint that runs it."""

    pieces: tuple[Piece, ...]
    """Pieces of the call, in order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAt:
    """Order to send a request to an engine."""

    key: str
    """Plan that this answers."""

    endpoint: _endpoints.Endpoint
    """Engine that runs the request."""

    results: tuple[str, ...] | None
    """Result handles for the engine; None for routes without stages."""

    cache_source: str
    """Address of the engine to fetch cached parts from; empty for none."""

    wait_s: float = 0
    """Seconds until the turn of a plain request at an endpoint with a limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Order to refuse a request, which has not run at an engine."""

    key: str
    """Plan that this answers."""

    reason: str
    """Reason for logs and metrics."""

    retry_after_s: float | None
    """Seconds after which the caller may retry; None if unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class FreeResults:
    """Order to tell an endpoint that results are no longer needed."""

    number: int
    """Number of the order, for ``Planner.results_freed``."""

    address: str
    """Address of the endpoint that made them."""

    handles: tuple[str, ...]
    """Results to be freed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PieceResult:
    """Outcome of one piece, in the order of its call."""

    handle: str
    """Handle of the result; empty if there is none."""

    reason: str = ''
    """Why there is no result: ``late``, ``gone``, ``room`` or ``error``.

    ``gone`` means that inputs were lost, ``room`` that the endpoint had no
    memory for the result.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class CheckEndpoint:
    """Order to check whether an endpoint ended under a call."""

    number: int
    """Number of the call, for ``Planner.check_ended``."""

    endpoint: _endpoints.Endpoint
    """Endpoint that has not answered the call."""

    contents: frozenset[str]
    """Digests of the contents whose pieces the call holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """Notice that the first pieces of a request are sent."""

    key: str
    """Plan of the request."""


Action = StartCall | RunAt | Refuse | Begun | FreeResults | CheckEndpoint


@dataclasses.dataclass(frozen=True, slots=True)
class PlanLimits:
    """Parameters of the planner; the same in every process."""

    prefill_tokens_per_s: float = 50_000
    """Assumed speed at which engines read prompts; corrected per engine."""

    first_event_s: float = 0.03
    """Seconds until the first event of a request without a prompt."""

    rank_weight: float = 0.6
    """Worth of a token, relative to the next higher priority."""

    output_token_weight: float = 10
    """Worth of a generated token, in input tokens."""

    read_again_weight: float = 2.5
    """Cost of reading a shared part again, relative to its reading time."""

    fetch_weight: float = 0.8
    """Cost of fetching a shared part, relative to its reading time."""

    cross_zone_s_per_mb: float = 0.015
    """Cost of moving results between availability zones, in s per MB."""

    cross_zone_tokens_per_mb: float = 125
    """The same cost, in tokens of worth per MB."""

    late_share: float = 0.15
    """Worth of a late answer, as a share of its worth on time."""

    zone_affinity_min_tokens: int = 2000
    """Shared tokens from which stages run near the engine that caches them."""

    zone_affinity_min_bytes: float = 1_000_000
    """Bytes of results for the engine from which that applies."""

    overdue_factor: float = 1.7
    """Multiple of its expected time after which a call is overdue.

    ``overdue_s`` is added to it.
    """

    overdue_s: float = 0.12
    """Seconds to add to the multiple of the expected time."""

    block_s: float = 1.0
    """Seconds for which an endpoint that failed gets no work."""

    admit_share: float = 0.75
    """Share of the time to its deadline that a request may need.

    Requests with a longer expected time are refused on arrival.
    """

    busy_s: float = 0.3
    """Wait at a stage service, in s, from which late requests are held back."""

    late_wait_share: float = 0.25
    """Share of the time to its deadline that a late request may wait.

    A late request that has not begun by then is refused.
    """

    retry_share: float = 0.1
    """Retried pieces of a service allowed for each request that it has run."""

    retry_reserve: float = 12
    """Retried pieces of a service allowed in addition."""

    retry_calls: float = 2
    """The same allowance in full calls; the larger of the two applies.

    A call is lost with an endpoint that dies, and possibly another one with
    the endpoint that replaces it.
    """
