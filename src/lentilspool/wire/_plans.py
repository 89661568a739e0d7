"""Messages between gateways: plans, heartbeats and published state."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCall:
    """Requests that another gateway plan a request."""

    call_id: int
    """Number of the plan, unique on its connection."""

    ask: bytes
    """``serving.PlanRequest`` encoded as MessagePack."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanAnswer:
    """Answer to a ``PlanCall``."""

    call_id: int
    """Number of the plan that is answered."""

    answer: bytes
    """``serving.RunAt`` or ``serving.Refuse`` encoded as MessagePack."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanNote:
    """Notifies the planner of the progress of a planned request.

    With call 0 it is a note about streams, in either direction.
    """

    call_id: int
    """Number of the plan of the request; 0 for a note about streams."""

    event: str
    """One of ``started``, ``ended``, ``failed`` and ``cancelled``.

    A note about streams is JSON.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayBeat:
    """Heartbeat of a gateway, with its view of the other gateways."""

    number: int
    """Number of the heartbeat on its connection; the answer repeats it."""

    view: bytes
    """``View`` of ``lentilspool.gateway`` encoded as MessagePack."""

    answer: bool
    """Whether this message answers a heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedAsk:
    """Requests published state that is newer than a revision."""

    kind: str
    """Either ``configuration`` or ``endpoints``."""

    revision: int
    """Revision up to which the sender has the state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """Published state as known to the sender."""

    kind: str
    """Either ``configuration`` or ``endpoints``."""

    revision: int
    """Store revision up to which the state is complete."""

    content: bytes
    """Keys, contents and revisions encoded as MessagePack."""
