"""Data classes that limit policies take and return."""

import dataclasses
import enum

from lentilspool import kernel


class Urgency(enum.Enum):
    """Class of a request in queues."""

    deadline = 'deadline'
    may_wait = 'may_wait'


@dataclasses.dataclass(frozen=True, slots=True)
class StageNeed:
    """What one remaining stage of a request is expected to take."""

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
    """A request as the admission policy sees it."""

    request_id: str
    """Identity of the request in this process."""

    team: str
    """Team that sent the request."""

    deadline: float
    """Monotonic time in seconds at which the whole answer is due."""

    needs: tuple[StageNeed, ...]
    """All stages, in the order in which they run."""

    may_wait: bool = False
    """Whether the request may be answered after its deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool as last reported by its sidecars."""

    slots: float
    """Calls that the pool runs at once: the sum of endpoint limits."""

    entries: float = 1
    """Entries that share each of these endpoints, on average."""

    wait_s: float = 0
    """Reported time until a new call would start, in seconds."""

    age_s: float = 0
    """Seconds since the report was made."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageDue:
    """Share of the deadline that belongs to one stage."""

    stage: str
    """Name of the stage."""

    due: float
    """Monotonic time in seconds at which the stage should have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The request is expected to end on time."""

    finish: float
    """Predicted monotonic time of the end, in seconds."""

    dues: tuple[StageDue, ...]
    """The deadline split over the remaining stages."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitWaiting:
    """The request runs in the class that may wait."""

    retry_after_s: float
    """Seconds after which the answer may be there to collect."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The request can no longer end on time; answer the caller now."""

    stage: str
    """Next stage, which is not run."""

    retry_after_s: float
    """Seconds after which a new request may be on time."""


Admission = Admit | AdmitWaiting | kernel.NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A stage call that waits at a sidecar."""

    call_id: int
    """Identity of the call at this sidecar."""

    team: str
    """Team that pays for the call."""

    cost: float
    """Expected cost, in seconds of one slot."""

    deadline: float
    """Monotonic time in seconds at which the whole request is due."""

    least_s: float = 0
    """Least time that this and all later stages take, in seconds."""

    urgency: Urgency = Urgency.deadline
    """Class of the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A call that left the queue without being started."""

    call: QueuedCall
    """The call."""

    outcome: kernel.NotRun
    """Answer for its sender, to be sent at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Outcome of asking a queue for its next call."""

    call: QueuedCall | None
    """Call to start now, if any."""

    dropped: tuple[Dropped, ...] = ()
    """Calls that can no longer end on time."""


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySample:
    """One finished call at an endpoint."""

    service_s: float
    """Time from start to end at the endpoint, in seconds."""

    expected_s: float
    """Service time of calls of its size without congestion, in seconds."""

    in_flight: int
    """Calls in flight at the endpoint when this one started."""

    failed: bool = False
    """Whether the endpoint refused or failed from overload."""
