"""Messages that replicate, transfer and collect requests that may wait."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCall:
    """Copies a request to a standby, or transfers it to a new owner."""

    call_id: int
    """Number of the call, unique on its connection."""

    action: str
    """Either ``copy`` or ``transfer``."""

    request_id: str
    """Identifier of the request."""

    pipeline: str
    """Name of the pipeline."""

    team: str
    """Team of the request."""

    body: bytes
    """Body of the request as received from the caller."""

    stages: tuple[str, ...]
    """Names of the unrepeatable stages that have admission tokens."""

    tokens: tuple[str, ...]
    """Admission tokens of these stages, in the same order."""

    epoch: int
    """Number of takeovers and transfers of the request so far."""

    outcome: bytes | None = None
    """Final outcome as JSON, if the request has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAnswer:
    """Answer to a ``HeldCall``."""

    call_id: int
    """Number of the call that is answered."""

    stored: bool
    """Whether the receiver now has the copy or owns the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class RenewCall:
    """Renews ownership of requests at their standby."""

    call_id: int
    """Number of the call, unique on its connection."""

    request_ids: tuple[str, ...]
    """Identifiers of the requests that the sender owns."""

    epochs: tuple[int, ...]
    """Epochs in which the sender owns them, in the same order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RenewAnswer:
    """Answer to a ``RenewCall``."""

    call_id: int
    """Number of the call that is answered."""

    taken: tuple[str, ...]
    """Requests that now have another owner, or have ended."""

    missing: tuple[str, ...]
    """Requests that the standby has no copy of."""


@dataclasses.dataclass(frozen=True, slots=True)
class CollectCall:
    """Requests the outcome of a request that may wait."""

    call_id: int
    """Number of the call, unique on its connection."""

    request_id: str
    """Identifier of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CollectAnswer:
    """Answer to a ``CollectCall``."""

    call_id: int
    """Number of the call that is answered."""

    state: str
    """One of ``unknown``, ``running``, ``finished`` and ``moved``."""

    outcome: bytes
    """Final outcome as JSON, if the state is finished."""

    ask: str
    """Name of the entry that has the request, if the state is moved."""
