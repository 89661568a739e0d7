"""Messages about configuration, membership and hand-off."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDigest:
    """Configuration that the sender has in force."""

    number: int
    """Position in the published log."""

    digest: str
    """Chained digest at the position, in hexadecimal."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPull:
    """Asks for every configuration entry after a position."""

    number: int
    """Position that the sender holds."""

    digest: str
    """Chained digest at that position."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPush:
    """Configuration entries in the order of the log."""

    number: int
    """Position after the last of the entries."""

    digest: str
    """Chained digest at that position."""

    entries: tuple[bytes, ...]
    """Published entries in order, byte for byte."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Renews the lease of a process and reports its load."""

    process: str
    """Name of the sending process."""

    incarnation: int
    """Incarnation of the sending process."""

    sequence: int
    """Number of the heartbeat in this incarnation."""

    leaving: bool
    """Whether the process takes no new work."""

    config: ConfigDigest
    """Configuration in force at the sender."""

    in_flight: int
    """Calls that run."""

    queued: int
    """Calls that wait."""

    limit: int
    """Concurrent calls that the sender allows."""

    lease_ms: int
    """Milliseconds for which the heartbeat is valid."""

    suspects: tuple[str, ...]
    """Content digests suspected of crashing endpoints."""

    zone: str
    """Availability zone of the sender."""

    pool: str
    """Pool that the sender serves; empty for an entry."""

    address: str
    """Address at which the sender listens."""

    port: int
    """Port at which the sender listens."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A copy of a request that may wait, for its standby."""

    token: str
    """Token with which the caller collects the answer."""

    pipeline: str
    """Name of the pipeline."""

    body: bytes
    """Request as JSON text."""

    team: str
    """Team of the request."""

    remaining_ms: int
    """Milliseconds for which the request is worked on."""

    lease_ms: int
    """Milliseconds after which the standby takes over."""

    transfer: bool
    """Whether the receiver owns the request from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class CollectCall:
    """Asks a peer for the answer of a request that waits."""

    call_id: int
    """Number of the call on its connection."""

    token: str
    """Token of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class CollectAnswer:
    """Answer to a ``CollectCall``."""

    call_id: int
    """Call that is answered."""

    state: str
    """One of unknown, running and finished."""

    body: bytes
    """Finished answer as JSON text, or nothing."""
