"""Settings of the entry and sidecar daemons."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform publishes, and how often it is read."""

    configuration_url: str
    """Base URL of the configuration service, such as http://10.0.0.9:8500."""

    host_list_url: str
    """Base URL of the host list."""

    host_list_interval_s: float = 2.0
    """Seconds between two reads of the host list."""

    read_timeout_s: float = 3.0
    """Seconds after which a read is given up."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits towards callers, before a request is admitted."""

    max_body_bytes: int = 1_048_576
    """Largest request body."""

    max_header_bytes: int = 16_384
    """Largest sum of request line and headers."""

    body_timeout_s: float = 5.0
    """Seconds in which the whole body must arrive."""

    header_timeout_s: float = 5.0
    """Seconds in which the request line and headers must arrive."""

    max_open_requests: int = 2000
    """Requests worked on at the same time."""

    backlog: int = 2000
    """Connections of callers that wait to be accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Connections between lentilspool's own processes."""

    heartbeat_interval_s: float = 0.5
    """Seconds between two heartbeats on a connection."""

    lease_s: float = 2.0
    """Seconds for which a heartbeat keeps its sender in use."""

    connect_timeout_s: float = 1.0
    """Seconds after which an attempt to connect is given up."""

    max_frame_bytes: int = 4_194_304
    """Largest message."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeySettings:
    """Keys that sign admission tokens; the same on every process."""

    current: str
    """Key for new tokens, at least 32 characters."""

    previous: str = ''
    """Key that is still accepted while keys are changed; empty if none."""


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
    """Where the platform publishes."""

    keys: KeySettings
    """Keys of admission tokens."""

    callers: CallerLimits = CallerLimits()
    """Limits towards callers."""

    links: LinkSettings = LinkSettings()
    """Connections to sidecars and to other entries."""

    drain_limit_s: float = 30.0
    """Seconds for which a planned stop waits for requests in flight."""

    log_level: str = 'INFO'
    """Lowest level of log records."""


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
    """Where the platform publishes."""

    keys: KeySettings
    """Keys of admission tokens."""

    links: LinkSettings = LinkSettings()
    """Connections to entries."""

    ledger_entries: int = 10_000
    """Unrepeatable calls remembered at the same time."""

    token_lifetime_s: float = 60.0
    """Seconds for which an admission token may start its request."""

    drain_limit_s: float = 30.0
    """Seconds for which a planned stop waits for calls in flight."""

    log_level: str = 'INFO'
    """Lowest level of log records."""
