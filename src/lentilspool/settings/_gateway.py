"""Settings of the gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Store in which configuration and endpoints are published."""

    address: str
    """IP address and port."""

    watch_s: float = 10.0
    """Seconds for which a watch waits for changes; each watch is billed."""

    gather_s: float = 0.25
    """Seconds between a change of endpoints and the next watch; changes come
    in groups and each watch is billed, so one watch reads several changes."""

    read_timeout_s: float = 1.5
    """Seconds after which a read times out; up to four times that after reads
    that timed out."""

    retry_s: float = 0.25
    """Seconds between a failed read and its retry."""

    lapse_s: float = 1.3
    """Seconds for which endpoints that expired in a store outage are kept."""

    restore_s: float = 2.0
    """Seconds for which endpoints are kept that the store lacks after it came
    back from an older copy; by then they have written their entries again."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Connections between gateways."""

    beat_s: float = 0.25
    """Seconds between two heartbeats on a connection."""

    silent_s: float = 0.7
    """Seconds without an answer after which a connection is closed."""

    forget_s: float = 8.0
    """Seconds without a heartbeat after which a gateway is forgotten."""

    links: int = 6
    """Number of other gateways to which each gateway stays connected."""

    connect_s: float = 0.4
    """Seconds after which an attempt to connect times out."""

    catch_up_after_s: float = 0.5
    """Seconds behind other gateways after which state is requested from one of
    them; the store usually delivers it sooner."""

    catch_up_limit_s: float = 1.0
    """Seconds without its answer after which the next gateway is asked."""

    max_frame_bytes: int = 8_388_608
    """Maximum size of a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendSettings:
    """Connections to endpoints."""

    connect_s: float = 0.3
    """Seconds after which an attempt to connect times out."""

    idle_s: float = 8.0
    """Seconds after which an idle connection is not reused."""

    idle_unsafe_s: float = 1.0
    """The same for requests that must not run twice; if the endpoint had closed
    the connection unnoticed, their outcome would be unknown."""

    silent_s: float = 1.5
    """Seconds without an event after which a stream fails over."""

    attempt_share: float = 0.45
    """Share of the remaining time given to a safe request's first attempt."""

    max_answer_bytes: int = 8_388_608
    """Maximum size of an answer that is not streamed."""

    drain_ms: float = 2000.0
    """Milliseconds for which an endpoint that leaves certainly goes on serving;
    in half of them it may get work if there is no other endpoint."""

    retry_share: float = 0.1
    """Retries of a service as a share of its successes; half of what the platform
    allows, because the platform counts clients' requests differently."""

    retry_slack: float = 50.0
    """Additional retries of a service that the platform allows in a window of
    10 s, for all gateways together."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Quarantine of contents and prompt parts under which endpoints ended."""

    deaths: int = 3
    """Endpoints that must have ended before a content is refused; an innocent
    content may lose two in a row to other requests and ordinary crashes."""

    suspicion_s: float = 60.0
    """Seconds for which a death counts against a content."""

    refusal_s: float = 600.0
    """Seconds for which a content is refused."""

    max_contents: int = 1000
    """Maximum number of contents on record."""

    part_deaths: int = 3
    """Endpoints that must have ended before a prompt part is refused."""

    sound_part_deaths: int = 5
    """The same for a part with which a request has completed lately."""

    part_refusal_s: float = 60.0
    """Seconds for which a part is refused at first; each further death doubles
    them, up to ``refusal_s``."""

    max_part_deaths: int = 8000
    """Maximum number of pairs of a prompt part and a death on record."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopSettings:
    """Time limits of a graceful stop."""

    lame_s: float = 3.0
    """Minimum seconds for which new connections are still accepted."""

    usual_s: float = 2.5
    """Seconds for which a request is admitted that probably ends in time; one
    that comes later must almost certainly. Less than the 3 s by the clock of
    callers for which the platform excuses that an answer is cut off."""

    grace_s: float = 8.0
    """Seconds after the signal at which the platform kills the process."""

    exit_s: float = 0.7
    """Seconds of these in which the process exits even with requests in
    flight; a signal may be handled late. At most half of ``grace_s``."""

    @property
    def limit_s(self) -> float:
        """Seconds after which the process exits."""
        return self.grace_s - min(self.exit_s, self.grace_s / 2)


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
    """IP address and port of the readiness check."""

    peers: str
    """IP address and port for other gateways."""

    metrics: str
    """IP address and port for metrics and state dumps."""

    known_peers: tuple[str, ...]
    """Addresses of gateways to contact at start; they may be down."""

    store: StoreSettings
    """Store in which configuration and endpoints are published."""

    processor_share: float = 1.0
    """Share of a processor core available to the process."""

    processor_speed: float = 1.0
    """Speed of that core relative to a standard core."""

    link: PeerSettings = PeerSettings()
    """Connections between gateways."""

    send: SendSettings = SendSettings()
    """Connections to endpoints."""

    quarantine: QuarantineSettings = QuarantineSettings()
    """Contents under which endpoints ended."""

    stop: StopSettings = StopSettings()
    """Time limits of a graceful stop."""

    log_level: str = 'INFO'
    """Lowest level of records that are logged."""
