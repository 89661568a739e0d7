"""Held requests, and the messages and actions that hand them over.

A held request may wait: its caller collects the outcome later. One entry
owns it, and an entry in another availability zone holds a copy as standby.
"""

import dataclasses
import enum

from lentilspool import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class HandOffLimits:
    """Memory bounds and times of held requests."""

    max_held: int = 1000
    """Maximum number of requests that an entry holds, as owner or standby."""

    max_bytes: int = 16_000_000
    """Bytes of contents and answers above which no request is added."""

    lease_s: float = 3.0
    """Seconds without a renewal after which the standby takes over."""

    renewal_interval_s: float = 1.0
    """Interval between renewals, in seconds."""

    outcome_retention_s: float = 900.0
    """Seconds for which an outcome stays available to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry."""

    name: str
    """Name of the entry."""

    zone: str
    """Its availability zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that may wait; its caller collects the outcome later."""

    request_id: str
    """Id of the request, unique in the fleet."""

    pipeline: str
    """Name of its pipeline."""

    team: str
    """Team that sent it."""

    body: bytes
    """Content of the request."""

    tokens: tuple[tuple[str, str], ...] = ()
    """Pairs of stage name and admission token, one per unrepeatable stage.

    They are obtained before the request is accepted, so that an entry that
    takes over reuses them and never requests a second token for a stage.
    """

    epoch: int = 0
    """Number of takeovers and transfers so far."""


class Role(enum.Enum):
    """Role of an entry for a request that it holds.

    The owner runs the request. It is suspended after a pause, until its
    standby answers a renewal, and finished once it has stored the outcome.
    A standby holds a copy.
    """

    owner = 'owner'
    suspended = 'suspended'
    standby = 'standby'
    finished = 'finished'


@dataclasses.dataclass(frozen=True, slots=True)
class SendCopy:
    """Send a copy to a standby.

    A new request is accepted once the standby has acknowledged its copy.
    """

    request: HeldRequest
    """Request to copy."""

    to: str
    """Name of the standby entry."""

    outcome: kernel.Outcome | None = None
    """Outcome, if the request has finished."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Renew the leases of all copies that an owner has at one standby."""

    to: str
    """Name of the standby entry."""

    held: tuple[tuple[str, int], ...]
    """Request id and epoch of each copy."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewalAnswer:
    """Standby's answer to a renewal."""

    taken: tuple[str, ...] = ()
    """Ids of requests that have another owner or have ended."""

    missing: tuple[str, ...] = ()
    """Ids of requests of which the standby has no copy."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """Run or resume a request that this entry now owns.

    Stages with a token are sent with it: they start if they never ran;
    otherwise the result is their stored answer or ``Unknown``.
    """

    request: HeldRequest
    """Request with its current epoch."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequest:
    """Stop running a request that this entry may no longer own."""

    request_id: str
    """Id of the request to cancel on this entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Move a request to a peer before a planned stop."""

    request: HeldRequest
    """Request with its new epoch."""

    to: str
    """Name of the entry that becomes its owner."""

    outcome: kernel.Outcome | None = None
    """Outcome, if the request has finished but was not collected."""


@dataclasses.dataclass(frozen=True, slots=True)
class CollectResult:
    """What an entry knows about a request that a caller collects."""

    outcome: kernel.Outcome | None
    """Final outcome; ``None`` while it runs or if another entry owns it."""

    ask: str = ''
    """Entry to ask instead; empty if this entry owns the request."""
