"""Messages about requests that may wait."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCall:
    """Gives a standby a copy of a request, or a peer the request itself."""

    call_id: int
    """Number of the call on its connection."""

    action: str
    """One of copy and transfer."""

    request_id: str
    """Identity of the request."""

    pipeline: str
    """Name of the pipeline."""

    team: str
    """Team of the request."""

    body: bytes
    """Request as the caller sent it."""

    stages: tuple[str, ...]
    """Unrepeatable stages that have tokens."""

    tokens: tuple[str, ...]
    """Admission tokens of these stages, in the same order."""

    epoch: int
    """Number of takeovers and transfers so far."""

    outcome: bytes | None = None
    """Final outcome as JSON, if the request has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAnswer:
    """Answer to a ``HeldCall``."""

    call_id: int
    """Call that is answered."""

    stored: bool
    """Whether the receiver holds the request now."""


@dataclasses.dataclass(frozen=True, slots=True)
class RenewCall:
    """Tells a standby that the owner of requests lives."""

    call_id: int
    """Number of the call on its connection."""

    request_ids: tuple[str, ...]
    """Requests of the owner."""

    epochs: tuple[int, ...]
    """Epochs under which it owns them, in the same order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RenewAnswer:
    """Answer to a ``RenewCall``."""

    call_id: int
    """Call that is answered."""

    taken: tuple[str, ...]
    """Requests that have another owner, or have ended."""

    missing: tuple[str, ...]
    """Requests of which the standby has no copy."""


@dataclasses.dataclass(frozen=True, slots=True)
class CollectCall:
    """Asks for the outcome of a request that may wait."""

    call_id: int
    """Number of the call on its connection."""

    request_id: str
    """Request that is asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class CollectAnswer:
    """Answer to a ``CollectCall``."""

    call_id: int
    """Call that is answered."""

    state: str
    """One of unknown, running, finished and moved."""

    outcome: bytes
    """Final outcome as JSON, if the state is finished."""

    ask: str
    """Entry to ask instead, if the state is moved."""
