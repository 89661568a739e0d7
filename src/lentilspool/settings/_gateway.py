"""Settings of the gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store in which operators and endpoints publish."""

    address: str
    """IP address and port."""

    watch_s: float = 10.0
    """Seconds for which a watch waits; each watch is a priced call."""

    gather_s: float = 0.25
    """Seconds after changes of endpoints until the next watch: changes come
    in groups, and each watch is a priced call."""

    read_timeout_s: float = 1.5
    """Seconds after which a read is given up."""

    retry_s: float = 0.25
    """Seconds between a failed read and the next one."""

    lapse_s: float = 1.3
    """Seconds for which an endpoint that lapsed in an outage is kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Connections between gateways."""

    beat_s: float = 0.25
    """Seconds between two signs of life on a connection."""

    silent_s: float = 0.7
    """Seconds without an answer after which a connection is given up."""

    forget_s: float = 8.0
    """Seconds after which a gateway that nobody heard is forgotten."""

    links: int = 6
    """Gateways with which each one keeps a connection."""

    connect_s: float = 0.4
    """Seconds after which an attempt to connect is given up."""

    catch_up_after_s: float = 0.5
    """Seconds behind others after which state is asked of one of them; the
    store usually brings it sooner."""

    catch_up_limit_s: float = 1.0
    """Seconds after which the next one is asked."""

    max_frame_bytes: int = 8_388_608
    """Largest message."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendSettings:
    """Connections to endpoints."""

    connect_s: float = 0.3
    """Seconds after which an attempt to connect is given up."""

    idle_s: float = 8.0
    """Seconds after which an idle connection is no longer used."""

    idle_unsafe_s: float = 1.0
    """The same for requests that must not run twice: a connection that was
    closed unseen would leave their outcome unknown."""

    silent_s: float = 1.5
    """Seconds without an event after which a stream goes on elsewhere."""

    attempt_share: float = 0.45
    """Share of the time left that the first attempt of a safe request gets."""

    max_answer_bytes: int = 8_388_608
    """Largest answer that is not a stream."""

    retry_share: float = 0.1
    """Retries of a service, as a share of its successes; half of what the
    platform bears, since clients' requests are counted otherwise there."""

    retry_slack: float = 50.0
    """Retries of a service in a window of 10 s that the platform bears
    besides, from all gateways together."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopSettings:
    """The planned stop."""

    lame_s: float = 3.0
    """Seconds for which new connections are still served."""

    last_stream_s: float = 4.5
    """Seconds after which streams are refused, since they would be cut."""

    last_request_s: float = 6.3
    """Seconds after which every request is refused."""

    limit_s: float = 7.3
    """Seconds after which the process ends with work in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of ``lentilspool-gateway``."""

    name: str
    """Name of the host in logs and among gateways."""

    zone: str
    """Availability zone of the host."""

    callers: str
    """IP address and port for callers."""

    readiness: str
    """IP address and port at which readiness is asked."""

    peers: str
    """IP address and port for other gateways."""

    metrics: str
    """IP address and port of metrics and state dump."""

    known_peers: tuple[str, ...]
    """Addresses of gateways to begin with; they may be down."""

    store: StoreSettings
    """Where operators and endpoints publish."""

    processor_share: float = 1.0
    """Share of a processor core that the host gives."""

    processor_speed: float = 1.0
    """Speed of that core, in usual cores."""

    link: PeerSettings = PeerSettings()
    """Connections between gateways."""

    send: SendSettings = SendSettings()
    """Connections to endpoints."""

    stop: StopSettings = StopSettings()
    """The planned stop."""

    log_level: str = 'INFO'
    """Lowest level of log records."""
