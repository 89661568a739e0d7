"""Messages about configuration and membership."""

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
class Suspicions:
    """What is held against contents that may crash endpoints."""

    suspicions: tuple[str, ...]
    """Suspicions, as ``admission.encode_suspicion`` writes them."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderProgress:
    """How far the sender's engine is with the state it was ordered to."""

    name: str
    """Name of the sidecar."""

    version: int
    """Configuration in force at the sidecar."""

    target: int
    """Digest of the state wanted, as a signed number."""

    done: bool
    """Whether the engine was seen in that state."""

    busy: bool
    """Whether an order is under way."""
