"""Data classes for members, heartbeats and records of the host list."""

import dataclasses
import enum


class Role(enum.Enum):
    """Role of a process in the fleet."""

    entry = 'entry'
    sidecar = 'sidecar'


class HostState(enum.Enum):
    """State of a host according to the host list."""

    live = 'live'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """Record of the host list; only a hint, because the list lags."""

    name: str
    """Name of the process on the host, unique in the fleet."""

    address: str
    """IP address on which the process listens."""

    port: int
    """TCP port on which the process listens."""

    zone: str
    """Availability zone of the host."""

    pool: str = ''
    """Pool of the endpoint; empty for an entry."""

    role: Role = Role.sidecar
    """Role of the process."""

    state: HostState = HostState.live
    """State of the host according to the host list."""


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveConfig:
    """Configuration that is active at a process."""

    version: int = 0
    """Version of the configuration; zero if there is none."""

    digest: str = ''
    """Chained digest of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Request to renew the sender's lease, with its load.

    The fields match those of the wire message with the same name. A
    compact heartbeat leaves ``zone``, ``pool`` and ``address`` empty and
    ``port`` zero; the receiver then keeps the values that it has.
    """

    process: str
    """Name of the sender."""

    incarnation: int
    """Number of the sender's incarnation; each restart increases it."""

    sequence: int
    """Increasing number of the heartbeat within the incarnation."""

    leaving: bool = False
    """Whether the sender is leaving and accepts no new work."""

    config: ActiveConfig = ActiveConfig()
    """Configuration active at the sender."""

    in_flight: int = 0
    """Calls in flight at the sender's endpoint."""

    queued: int = 0
    """Calls queued at the sender."""

    limit: int = 0
    """Calls that the sender can run concurrently; zero if unknown."""

    lease_ms: int = 6000
    """Milliseconds for which the heartbeat renews the lease."""

    suspects: tuple[str, ...] = ()
    """Digests of requests suspected of crashing endpoints."""

    zone: str = ''
    """Availability zone of the sender."""

    pool: str = ''
    """Pool of the sender's endpoint; empty for an entry."""

    address: str = ''
    """IP address on which the sender listens."""

    port: int = 0
    """TCP port on which the sender listens."""

    @property
    def compact(self) -> bool:
        """Whether the constant fields of the sender are left out."""
        return not self.address


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Process with a live or ended lease."""

    name: str
    """Name of the process, unique in the fleet."""

    address: str
    """IP address on which the process listens."""

    port: int
    """TCP port on which the process listens."""

    zone: str
    """Availability zone of the process."""

    pool: str
    """Pool of its endpoint; empty for an entry."""

    role: Role
    """Role of the process."""

    incarnation: int
    """Number of the process's incarnation."""

    sequence: int
    """Highest sequence number received from the incarnation."""

    leaving: bool
    """Whether the process is leaving and accepts no new work."""

    config: ActiveConfig
    """Configuration active at the process, as last reported."""

    in_flight: int
    """Calls in flight at its endpoint, as last reported."""

    queued: int
    """Calls queued at the process, as last reported."""

    limit: int
    """Calls that it can run concurrently; zero if unknown."""

    renewed_at: float
    """Time of the last renewal on the receiver's clock, in seconds.

    Heartbeats and answers to calls both renew the lease.
    """

    suspects: tuple[str, ...] = ()
    """Digests of requests suspected of crashing endpoints."""
