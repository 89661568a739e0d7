"""Members, heartbeats and entries of the host list, as plain data."""

import dataclasses
import enum


class Role(enum.Enum):
    """What a process does."""

    entry = 'entry'
    sidecar = 'sidecar'


class HostState(enum.Enum):
    """What the host list says of a host."""

    live = 'live'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class HostHint:
    """One line of the host list, which lags and is only a hint."""

    name: str
    """Name of the process on the host, unique in the fleet."""

    address: str
    """IP number on which the process listens."""

    port: int
    """TCP port on which the process listens."""

    zone: str
    """Availability zone of the host."""

    pool: str = ''
    """Pool of the endpoint; empty for an entry."""

    role: Role = Role.sidecar
    """What the process does."""

    state: HostState = HostState.live
    """What the host list says of the host."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldVersion:
    """Configuration that a process has in force."""

    version: int = 0
    """Number of the configuration; zero if it holds none."""

    digest: str = ''
    """Chained digest of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Renewal of a lease, with the sender's load.

    Field for field the message of the same name between processes.
    ``zone``, ``pool`` and ``address`` may be empty and ``port`` zero in a
    compact heartbeat: the receiver keeps what it holds.
    """

    process: str
    """Name of the sender."""

    incarnation: int
    """Number of the sender's life; higher for each restart."""

    sequence: int
    """Number of the heartbeat within the incarnation, rising."""

    leaving: bool = False
    """Whether the sender takes no new work."""

    config: HeldVersion = HeldVersion()
    """Configuration in force at the sender."""

    in_flight: int = 0
    """Calls that run at the sender's endpoint."""

    queued: int = 0
    """Calls that wait at the sender."""

    limit: int = 0
    """Calls that the sender runs at once; zero if it does not say."""

    lease_ms: int = 6000
    """Milliseconds for which the heartbeat renews the lease."""

    suspects: tuple[str, ...] = ()
    """Digests of requests that are suspected of crashing endpoints."""

    zone: str = ''
    """Availability zone of the sender."""

    pool: str = ''
    """Pool of the sender's endpoint; empty for an entry."""

    address: str = ''
    """IP number on which the sender listens."""

    port: int = 0
    """TCP port on which the sender listens."""

    @property
    def compact(self) -> bool:
        """Whether the fields that never change were left out."""
        return not self.address


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process that holds, or has held, a lease."""

    name: str
    """Name of the process, unique in the fleet."""

    address: str
    """IP number on which the process listens."""

    port: int
    """TCP port on which the process listens."""

    zone: str
    """Availability zone of the process."""

    pool: str
    """Pool of its endpoint; empty for an entry."""

    role: Role
    """What the process does."""

    incarnation: int
    """Number of the process's life."""

    sequence: int
    """Highest sequence number heard from the incarnation."""

    leaving: bool
    """Whether the process takes no new work."""

    config: HeldVersion
    """Configuration in force at the process, as last heard."""

    in_flight: int
    """Calls running at its endpoint, as last heard."""

    queued: int
    """Calls waiting at it, as last heard."""

    limit: int
    """Calls that it runs at once, as last heard; zero if unknown."""

    heard_at: float
    """Time of the last heartbeat in the receiver's clock, seconds."""

    suspects: tuple[str, ...] = ()
    """Digests of requests suspected of crashing endpoints."""
