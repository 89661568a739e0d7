"""Messages about stage calls and admission, as frozen data classes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection, in both directions."""

    version: int
    """Protocol version of the sender."""

    process: str
    """Name of the sending process."""

    incarnation: int
    """Number of this life of the process; grows with each start."""

    zone: str
    """Availability zone of the sender."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageCall:
    """Asks a sidecar to run one attempt of one stage."""

    call_id: int
    """Number of the call on its connection."""

    request_id: str
    """Identity of the request in every log."""

    pipeline: str
    """Name of the pipeline."""

    stage: str
    """Name of the stage."""

    attempt: int
    """Number of the attempt of this stage, from one."""

    config_version: int
    """Configuration version at which the request was admitted."""

    digest: str
    """Content digest of the body."""

    body: bytes
    """Input of the stage as JSON text."""

    repeatable: bool
    """Whether the stage is idempotent."""

    deadline_ms: int
    """Milliseconds left until the answer is due."""

    team: str
    """Team whose share pays for the call."""

    stream: bool
    """Whether partial answers are wanted as chunks."""

    priority: int
    """Class of the queue: 0 has a deadline, 1 may wait."""

    operation: str
    """What the endpoint is asked to do."""

    max_output_tokens: int
    """Upper bound of generated tokens."""

    later_ms: int
    """Milliseconds that all later stages are expected to take at least."""

    may_queue: bool
    """Whether the call may wait for its turn, or is refused instead."""

    alone: bool
    """Whether nothing else may run at the endpoint meanwhile."""

    token: str | None = None
    """Admission token, for a stage that is not repeatable."""

    traceparent: str | None = None
    """W3C trace context of the caller."""

    incarnation: int | None = None
    """Incarnation that must run the call, if any."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageChunk:
    """A part of a streamed answer."""

    call_id: int
    """Call to which the part belongs."""

    sequence: int
    """Position of the part, from zero."""

    text: str
    """Generated text."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageAnswer:
    """Final answer to a stage call."""

    call_id: int
    """Call that is answered."""

    request_id: str
    """Request of the call, repeated for checking."""

    stage: str
    """Stage of the call, repeated for checking."""

    attempt: int
    """Attempt of the call, repeated for checking."""

    digest: str
    """Content digest of the call, repeated for checking."""

    outcome: str
    """One of complete, not_run, unknown and failed."""

    body: bytes
    """Output of the stage as JSON text."""

    cost: float
    """Spend in credits."""

    reason: str
    """Explanation if the outcome is not complete."""

    retry_after_ms: int
    """Milliseconds until a new try makes sense; 0 if not known."""

    service_ms: int
    """Milliseconds that the endpoint worked."""

    queued: int
    """Calls waiting at the sidecar."""

    death: str
    """Name of the endpoint's death that ended the call; empty if none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Ends a stage call whose answer is no longer wanted."""

    call_id: int
    """Call to end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks the receiver to send the same message back."""

    number: int
    """Number of the probe on its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitCall:
    """Asks a sidecar for an admission token, or about one."""

    call_id: int
    """Number of the call on its connection."""

    request_id: str
    """Identity of the request."""

    digest: str
    """Content digest of the request."""

    config_version: int
    """Configuration version of the request."""

    team: str
    """Team of the request."""

    token: str | None = None
    """Token to ask about; none to get a new one."""

    idempotency_key: str | None = None
    """Key of the caller, if it has one."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitAnswer:
    """Answer to an ``AdmitCall``."""

    call_id: int
    """Call that is answered."""

    state: str
    """One of issued, running, finished, never_seen, refused and unknown."""

    token: str
    """Admission token."""

    reason: str
    """Explanation of a refusal."""

    retry_after_ms: int
    """Milliseconds until a new try makes sense; 0 if not known."""

    body: bytes | None = None
    """Finished answer, if there is one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refuses a message that cannot be served."""

    call_id: int
    """Call that is refused; 0 if it has no number."""

    reason: str
    """Explanation for a person."""
