"""Settings of the entry and sidecar daemons."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform services, and how often they are polled."""

    configuration_url: str
    """Base URL of the configuration service, such as http://10.0.0.9:8500."""

    host_list_url: str
    """Base URL of the host list."""

    host_list_interval_s: float = 2.0
    """Seconds between polls of the host list."""

    read_timeout_s: float = 3.0
    """Seconds after which a read times out."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits that apply to callers before a request is admitted."""

    max_body_bytes: int = 1_048_576
    """Maximum size of a request body."""

    max_header_bytes: int = 16_384
    """Maximum size of request line and headers together."""

    body_timeout_s: float = 5.0
    """Seconds within which the whole body must arrive."""

    header_timeout_s: float = 5.0
    """Seconds within which request line and headers must arrive."""

    max_open_requests: int = 2000
    """Maximum number of requests processed at the same time."""

    backlog: int = 2000
    """Maximum number of connections waiting to be accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Connections between lentilspool's own processes."""

    heartbeat_interval_s: float = 0.5
    """Seconds between two heartbeats on a connection."""

    lease_s: float = 2.0
    """Seconds after a heartbeat for which its sender counts as alive."""

    connect_timeout_s: float = 1.0
    """Seconds after which an attempt to connect times out."""

    max_frame_bytes: int = 4_194_304
    """Maximum size of a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeySettings:
    """Keys that sign admission tokens; identical in every process."""

    current: str
    """Key for new tokens, at least 32 characters."""

    previous: str = ''
    """Old key that is still accepted during key rotation; empty if none."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of ``lentilspool-entry``."""

    name: str
    """Name of the process in logs, dumps and the host list."""

    zone: str
    """Availability zone of the host."""

    address: str
    """IP address at which the process listens."""

    port: int
    """Port for callers (HTTP)."""

    peer_port: int
    """Port for lentilspool's own processes."""

    platform: PlatformSettings
    """Addresses of the platform services and polling intervals."""

    keys: KeySettings
    """Keys of admission tokens."""

    callers: CallerLimits = CallerLimits()
    """Limits that apply to callers."""

    links: LinkSettings = LinkSettings()
    """Connections to sidecars and to other entries."""

    drain_limit_s: float = 30.0
    """Seconds for which a graceful stop waits for in-flight requests."""

    log_level: str = 'INFO'
    """Lowest level of records that are logged."""


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of ``lentilspool-sidecar``."""

    name: str
    """Name of the process in logs, dumps and the host list."""

    zone: str
    """Availability zone of the host."""

    address: str
    """IP address at which the process listens."""

    port: int
    """Port for entries (thrift)."""

    http_port: int
    """Port for state dumps and metrics (HTTP)."""

    pool: str
    """Pool to which the endpoint belongs."""

    endpoint_url: str
    """Base URL of the endpoint, such as http://127.0.0.1:8000."""

    platform: PlatformSettings
    """Addresses of the platform services and polling intervals."""

    keys: KeySettings
    """Keys of admission tokens."""

    links: LinkSettings = LinkSettings()
    """Connections to entries."""

    ledger_entries: int = 10_000
    """Maximum number of unrepeatable calls kept in the ledger."""

    token_lifetime_s: float = 60.0
    """Seconds within which a request must start with its admission token."""

    drain_limit_s: float = 30.0
    """Seconds for which a graceful stop waits for in-flight calls."""

    log_level: str = 'INFO'
    """Lowest level of records that are logged."""
