"""Messages about configuration and membership."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDigest:
    """Identifies the configuration in force at the sender."""

    number: int
    """Position in the published configuration log."""

    digest: str
    """Chained digest of the log up to this position, in hexadecimal."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPull:
    """Requests all configuration entries after a position."""

    number: int
    """Position up to which the sender has the log."""

    digest: str
    """Chained digest of the log up to that position."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPush:
    """Sends configuration entries in the order of the log."""

    number: int
    """Position of the log after the last entry."""

    digest: str
    """Chained digest of the log up to that position."""

    entries: tuple[bytes, ...]
    """Entries exactly as published, since the digest covers their bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Renews the lease of a process and reports its load."""

    process: str
    """Name of the sending process."""

    incarnation: int
    """Incarnation of the sending process."""

    sequence: int
    """Number of the heartbeat within this incarnation."""

    leaving: bool
    """Whether the process is shutting down and accepts no new work."""

    config: ConfigDigest
    """Configuration in force at the sender."""

    in_flight: int
    """Number of calls in flight."""

    queued: int
    """Number of queued calls."""

    limit: int
    """Maximum number of concurrent calls that the sender allows."""

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
    """Shares suspicions about contents that may crash endpoints."""

    suspicions: tuple[str, ...]
    """Suspicions as encoded by ``admission.encode_suspicion``."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderProgress:
    """Reports whether the sender's engine has reached its target state."""

    name: str
    """Name of the sidecar."""

    version: int
    """Configuration version in force at the sidecar."""

    target: int
    """Digest of the target state, as a signed integer."""

    done: bool
    """Whether the engine was observed in the target state."""

    busy: bool
    """Whether an order to the engine is in progress."""
