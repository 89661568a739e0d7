"""Messages between gateways: plans, signs of life and published state."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCall:
    """Asks another gateway to plan a request."""

    call_id: int
    """Number of the plan on its connection."""

    ask: bytes
    """``serving.PlanRequest`` as MessagePack."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanAnswer:
    """Answer to a ``PlanCall``."""

    call_id: int
    """Plan that is answered."""

    answer: bytes
    """``serving.RunAt`` or ``serving.Refuse`` as MessagePack."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanNote:
    """Tells the planner what became of a request."""

    call_id: int
    """Plan that is meant."""

    event: str
    """One of started, ended, failed and cancelled."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayBeat:
    """Sign of life of a gateway, with what it knows of others."""

    number: int
    """Number of the beat on its connection; an answer repeats it."""

    view: bytes
    """``View`` of ``lentilspool.gateway`` as MessagePack."""

    answer: bool
    """Whether this answers a beat."""


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedAsk:
    """Asks for published state that is newer than a revision."""

    kind: str
    """One of configuration and endpoints."""

    revision: int
    """Revision that the sender has."""


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """Published state, as its sender has it."""

    kind: str
    """One of configuration and endpoints."""

    revision: int
    """Revision of the store up to which it is complete."""

    content: bytes
    """Keys, contents and revisions as MessagePack."""
