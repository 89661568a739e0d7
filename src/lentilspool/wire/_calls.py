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
    """Incarnation of the process; it increases with each start."""

    zone: str
    """Availability zone of the sender."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageCall:
    """Requests that a sidecar run one attempt of one stage."""

    call_id: int
    """Number of the call, unique on its connection."""

    request_id: str
    """Identifier of the request in all logs."""

    pipeline: str
    """Name of the pipeline."""

    stage: str
    """Name of the stage."""

    attempt: int
    """Number of the attempt at this stage, counted from one."""

    config_version: int
    """Configuration version at which the request was admitted."""

    digest: str
    """Content digest of the body."""

    body: bytes
    """Input of the stage as JSON text."""

    repeatable: bool
    """Whether the stage is idempotent and may run more than once."""

    deadline_ms: int
    """Milliseconds left until the answer is due."""

    team: str
    """Team to whose share the call is charged."""

    stream: bool
    """Whether to send partial answers as ``StageChunk`` messages."""

    priority: int
    """Priority class: 0 for calls with a deadline, 1 for calls that may wait."""

    operation: str
    """Name of the operation requested of the endpoint."""

    max_output_tokens: int
    """Maximum number of tokens to generate."""

    later_ms: int
    """Expected minimum time of all later stages together, in milliseconds."""

    may_queue: bool
    """Whether the call may be queued; if not, a busy sidecar refuses it."""

    alone: bool
    """Whether the call must have the endpoint to itself while it runs."""

    token: str | None = None
    """Admission token, for a stage that is not repeatable."""

    traceparent: str | None = None
    """W3C trace context of the caller."""

    incarnation: int | None = None
    """The only incarnation of the sidecar that may run the call, if set."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageChunk:
    """One part of a streamed answer."""

    call_id: int
    """Number of the call to which the part belongs."""

    sequence: int
    """Position of the part, counted from zero."""

    text: str
    """Generated text."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageAnswer:
    """Final answer to a stage call."""

    call_id: int
    """Number of the call that is answered."""

    request_id: str
    """Request of the call, echoed so that the caller can verify the match."""

    stage: str
    """Stage of the call, echoed for the same purpose."""

    attempt: int
    """Attempt of the call, echoed for the same purpose."""

    digest: str
    """Content digest of the call, echoed for the same purpose."""

    outcome: str
    """One of ``complete``, ``not_run``, ``unknown`` and ``failed``."""

    body: bytes
    """Output of the stage as JSON text."""

    cost: float
    """Spend in credits."""

    reason: str
    """Explanation if the outcome is not complete."""

    retry_after_ms: int
    """Milliseconds after which a retry may succeed; 0 if not known."""

    service_ms: int
    """Processing time at the endpoint, in milliseconds."""

    queued: int
    """Number of calls queued at the sidecar."""

    death: str
    """Identifier of the endpoint crash that ended the call; empty if none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a stage call whose answer is no longer needed."""

    call_id: int
    """Number of the call to cancel."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks the receiver to echo the message, to check the connection."""

    number: int
    """Number of the probe, unique on its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitCall:
    """Requests a new admission token from a sidecar, or the state of one."""

    call_id: int
    """Number of the call, unique on its connection."""

    request_id: str
    """Identifier of the request."""

    digest: str
    """Content digest of the request."""

    config_version: int
    """Configuration version of the request."""

    team: str
    """Team of the request."""

    token: str | None = None
    """Token whose state is requested; ``None`` to request a new one."""

    idempotency_key: str | None = None
    """Idempotency key that the caller sent, if any."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitAnswer:
    """Answer to an ``AdmitCall``."""

    call_id: int
    """Number of the call that is answered."""

    state: str
    """State of the token.

    One of ``issued``, ``running``, ``finished``, ``never_seen``, ``refused``
    and ``unknown``.
    """

    token: str
    """Admission token."""

    reason: str
    """Reason of a refusal."""

    retry_after_ms: int
    """Milliseconds after which a retry may succeed; 0 if not known."""

    body: bytes | None = None
    """Stored answer, if the request has finished."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reports that a message cannot be processed."""

    call_id: int
    """Number of the refused call; 0 if the message has none."""

    reason: str
    """Explanation for a human reader."""
