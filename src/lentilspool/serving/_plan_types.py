"""What the planner is asked for, and what it orders."""

import dataclasses

from lentilspool.serving import _calls, _endpoints


@dataclasses.dataclass(frozen=True, slots=True)
class StageAsk:
    """One stage of a request."""

    service: str
    """Service that runs the pieces."""

    after: tuple[int, ...]
    """Stages whose results the pieces read."""

    result_bytes: float
    """Approximate size of one result."""

    pieces: int
    """Number of pieces; 0 leaves the stage out."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanAsk:
    """A request that wants its stages run and an engine chosen."""

    key: str
    """Identity of the plan, unique among all processes."""

    request_id: str
    """Request at the endpoints and in logs."""

    route: str
    """Route of the request."""

    service: str
    """Service of the engines."""

    stages: tuple[StageAsk, ...]
    """Stages by their numbers."""

    piece_key: str
    """Key with which first stages find what the request is about."""

    prompt: _calls.Prompt | None
    """Prompt that the engine reads."""

    target_s: float
    """Seconds left until the first event that the caller wants."""

    deadline_s: float
    """Seconds left until the final answer."""

    priority: int
    """Rank of the request; 0 goes first."""

    zone: str
    """Availability zone of the process that sends the request on."""

    avoid: tuple[str, ...] = ()
    """Incarnations that are not to be chosen."""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the prompt parts that other requests may share."""
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
    """Key of what the request is about."""

    inputs: tuple[str, ...]
    """Handles of the results that the piece reads."""

    time_left_s: float
    """Seconds after which the piece is of no use."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartCall:
    """Send one call with pieces to an endpoint of a stage service."""

    number: int
    """Number of the call."""

    endpoint: _endpoints.Endpoint
    """Endpoint that runs it."""

    pieces: tuple[Piece, ...]
    """Pieces of the call, in order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAt:
    """Send a request to an engine."""

    key: str
    """Plan that this answers."""

    endpoint: _endpoints.Endpoint
    """Engine that runs the request."""

    results: tuple[str, ...] | None
    """Handles that the engine reads; None for routes without stages."""

    cache_source: str
    """Address of an engine to fetch cached parts from; empty for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Give a request up; it has not run at an engine."""

    key: str
    """Plan that this answers."""

    reason: str
    """Why, for logs and metrics."""

    retry_after_s: float | None
    """Seconds after which there is room again, if that is known."""


@dataclasses.dataclass(frozen=True, slots=True)
class FreeResults:
    """Tell an endpoint that results are no longer needed."""

    number: int
    """Number of the order, for ``Planner.freed``."""

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
    """Why there is no result: late, gone, room or error."""


Action = StartCall | RunAt | Refuse | FreeResults


@dataclasses.dataclass(frozen=True, slots=True)
class PlanLimits:
    """Figures of the planner; the same in every process."""

    prefill_tokens_per_s: float = 50_000
    """First estimate of an engine's reading speed; corrected by learning."""

    first_event_s: float = 0.03
    """Time to the first event of a request that reads nothing."""

    rank_weight: float = 0.6
    """Value of a token of one rank, relative to the rank before it."""

    output_token_weight: float = 10
    """Value of a generated token, in tokens that are read."""

    read_again_weight: float = 2.5
    """Cost of reading a shared part again, in seconds for each second."""

    fetch_weight: float = 0.8
    """Cost of fetching a part, relative to reading it."""

    cross_zone_s_per_mb: float = 0.015
    """Cost of a result that crosses availability zones."""

    cross_zone_tokens_per_mb: float = 125
    """The same, in tokens of worth that is lost if a request is late."""

    late_share: float = 0.15
    """Worth of a late answer, as a share of its worth on time."""

    rooted_tokens: int = 2000
    """Shared tokens from which on a request stays near their engine."""

    rooted_bytes: float = 1_000_000
    """Results for the engine from which on that matters."""

    overdue_factor: float = 1.7
    """Multiple of its expected time after which a call is overdue."""

    overdue_s: float = 0.12
    """Time that is added to it."""

    block_s: float = 1.0
    """Time for which an endpoint that failed gets no work."""

    admit_share: float = 0.75
    """Share of its time that a request may be expected to take."""

    busy_s: float = 0.3
    """Wait at a stage service from which on late requests are held back."""

    late_wait_share: float = 0.25
    """Share of its time that a late request may wait before any work."""

    retry_share: float = 0.1
    """Pieces that may be sent again, as a share of those that succeed."""

    retry_reserve: float = 12
    """Pieces of a service that may be sent again besides."""

    retry_calls: float = 2
    """The same as a number of full calls, where that is more: one endpoint
    that dies takes a call with it, and one that replaces it may too."""
