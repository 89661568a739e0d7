"""Requests that may wait, and what entries decide about their copies."""

import dataclasses
import enum

from lentilspool import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class HandOffLimits:
    """Bounds and times of held requests."""

    max_held: int = 1000
    """Requests that an entry holds, as owner or standby."""

    max_bytes: int = 16_000_000
    """Bytes of their contents and answers, beyond which none is taken."""

    lease_s: float = 3.0
    """Seconds without a renewal until the standby takes over."""

    renew_s: float = 1.0
    """Seconds between two renewals."""

    keep_s: float = 900.0
    """Seconds for which an outcome can be collected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry."""

    name: str
    """Name of the entry."""

    zone: str
    """Its availability zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that may wait, as its copies carry it."""

    request_id: str
    """Request, unique in the fleet."""

    pipeline: str
    """Name of its pipeline."""

    team: str
    """Team that sent it."""

    body: bytes
    """Content of the request."""

    tokens: tuple[tuple[str, str], ...] = ()
    """Admission token of each unrepeatable stage, by the stage's name.

    They are obtained before the request is accepted, so that whoever takes
    over resolves these stages by token and never asks for a second one.
    """

    epoch: int = 0
    """Number of takeovers and transfers so far."""


class Role(enum.Enum):
    """What an entry is to a request that it holds."""

    owner = 'owner'
    suspended = 'suspended'
    standby = 'standby'
    finished = 'finished'


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """Send a copy; the request is accepted once it is acknowledged."""

    request: HeldRequest
    """Request to copy."""

    to: str
    """Entry that is to stand by."""

    outcome: kernel.Outcome | None = None
    """Outcome, if the request has finished."""


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Tell a standby that the owner lives, and all that it holds there."""

    to: str
    """Standby."""

    held: tuple[tuple[str, int], ...]
    """Requests and their epochs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """A standby's answer to a renewal."""

    taken: tuple[str, ...] = ()
    """Requests that have another owner, or have ended."""

    missing: tuple[str, ...] = ()
    """Requests of which the standby has no copy."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Go on with a request: this entry is its owner now.

    Stages with a token are resolved by it: started if they never ran, and
    answered or ``Unknown`` if they did.
    """

    request: HeldRequest
    """Request, with its new epoch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop working on a request; another entry owns it."""

    request_id: str
    """Request to cancel here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Move a request to a peer before a planned stop."""

    request: HeldRequest
    """Request, with its new epoch."""

    to: str
    """Entry that is to own it."""

    outcome: kernel.Outcome | None = None
    """Its outcome, if it has finished and waits to be collected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Collected:
    """What an entry knows of a request that a caller asks for."""

    outcome: kernel.Outcome | None
    """Final outcome; none while it runs or is held elsewhere."""

    ask: str = ''
    """Entry to ask instead; empty if this one holds the request."""
