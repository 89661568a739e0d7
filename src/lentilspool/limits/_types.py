"""Arguments and results of the limit policies."""

import dataclasses
import enum

from lentilspool import kernel


class Urgency(enum.Enum):
    """Queue class of a request or call.

    Calls with a deadline start first. The others may end after their
    deadline.
    """

    deadline = 'deadline'
    may_wait = 'may_wait'


@dataclasses.dataclass(frozen=True, slots=True)
class StageEstimate:
    """Expected service time of one remaining stage of a request."""

    stage: str
    """Name of the stage."""

    pool: str
    """Name of the pool that runs the stage."""

    expected_s: float
    """Mean service time, in seconds of one slot."""

    high_s: float
    """High quantile of the service time, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Properties of a request that the admission policy uses."""

    request_id: str
    """Identity of the request in this process."""

    team: str
    """Team that sent the request."""

    deadline: float
    """Monotonic time in seconds by which the whole answer is due."""

    stage_estimates: tuple[StageEstimate, ...]
    """All stages, in the order in which they run."""

    may_wait: bool = False
    """Whether the request may be answered after its deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool according to the latest reports of its sidecars."""

    slots: float
    """Concurrent calls of the pool: the sum of its endpoint limits."""

    entries: float = 1
    """Mean number of entries that share each of these endpoints."""

    wait_s: float = 0
    """Reported time until a new call would start, in seconds."""

    age_s: float = 0
    """Seconds since the report was made."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageDueTime:
    """Due time of one stage, derived from the deadline of the request."""

    stage: str
    """Name of the stage."""

    due: float
    """Monotonic time in seconds by which the stage should end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The request is expected to end on time."""

    finish: float
    """Predicted monotonic completion time, in seconds."""

    due_times: tuple[StageDueTime, ...]
    """Due time of each remaining stage, in the same order."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitWaiting:
    """The request runs in the class that may end after its deadline."""

    retry_after_s: float
    """Seconds after which the answer may be ready to collect."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The request cannot end on time; the caller gets its answer now."""

    stage: str
    """Next stage, which will not run."""

    retry_after_s: float
    """Seconds after which a new request may end on time."""


Admission = Admit | AdmitWaiting | kernel.NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A stage call in the queue of a sidecar."""

    call_id: int
    """Identity of the call at this sidecar."""

    team: str
    """Team to whose share the call is charged."""

    cost: float
    """Expected cost, in seconds of one slot."""

    deadline: float
    """Monotonic time in seconds by which the whole request is due."""

    min_remaining_s: float = 0
    """Minimum time for this and all later stages, in seconds."""

    urgency: Urgency = Urgency.deadline
    """Queue class of the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A call that left the queue without being started."""

    call: QueuedCall
    """The call that was removed."""

    outcome: kernel.NotRun
    """Answer to send to the caller at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dequeued:
    """Next call of a queue, and the calls dropped in finding it."""

    call: QueuedCall | None
    """Call to start now, if any."""

    dropped: tuple[Dropped, ...] = ()
    """Calls that were removed because they cannot end on time."""


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySample:
    """One finished call at an endpoint."""

    service_s: float
    """Time that the endpoint took for the call, in seconds."""

    expected_s: float
    """Service time of a call of this size without congestion, in seconds."""

    in_flight: int
    """Calls in flight at the endpoint when this one started."""

    failed: bool = False
    """Whether the endpoint refused the call or failed under overload."""
