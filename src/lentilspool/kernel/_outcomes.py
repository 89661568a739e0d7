"""Outcomes of a request: one tagged union of frozen data classes.

An outcome is a value, never an exception. Callers may rely on two rules:

* ``NotRun`` is returned only if no stage of the request ran.
* ``Unknown`` is returned if an unrepeatable stage may have run.
"""

import dataclasses
import enum


class NotRunReason(enum.Enum):
    """Why a request was refused before any of its stages ran."""

    draining = 'draining'
    overloaded = 'overloaded'
    deadline = 'deadline'
    team_limit = 'team_limit'
    no_endpoint = 'no_endpoint'
    ledger_full = 'ledger_full'
    quarantined = 'quarantined'
    expired_token = 'expired_token'
    spend = 'spend'
    not_ready = 'not_ready'
    stale_version = 'stale_version'
    invalid = 'invalid'


class UnknownReason(enum.Enum):
    """Why it cannot be known whether an unrepeatable stage ran."""

    incarnation_lost = 'incarnation_lost'
    connection_lost = 'connection_lost'
    token_expired = 'token_expired'
    timeout = 'timeout'
    endpoint_error = 'endpoint_error'
    earlier_send = 'earlier_send'


@dataclasses.dataclass(frozen=True, slots=True)
class StageCost:
    """Spend of one stage of one request."""

    stage: str
    """Name of the stage in its pipeline."""

    provider: str
    """Provider whose credits paid for the stage."""

    cost: float
    """Spend in credits, summed over all attempts of the stage."""

    attempts: int
    """Number of attempts that reached an endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The request ran to its end; this is its answer."""

    answer: bytes
    """Answer of the last stage, as JSON text."""

    cost_by_stage: tuple[StageCost, ...] = ()
    """Spend of each stage, in the order of the pipeline."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """A refusal: no stage of the request reached an endpoint."""

    reason: NotRunReason
    """Why the request was refused."""

    retry_after_s: float | None = None
    """Seconds after which to retry; ``None`` if a retry cannot succeed."""

    detail: str = ''
    """Explanation for a human reader."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """An unrepeatable stage may or may not have run; it is not run again."""

    token: str
    """Admission token with which the caller can query the request again."""

    reason: UnknownReason
    """Why the result is unknown."""

    detail: str = ''
    """Explanation for a human reader."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A stage ran and failed, and will not be retried."""

    stage: str
    """Name of the stage that failed."""

    reason: str
    """What the stage or its endpoint reported."""

    cost_by_stage: tuple[StageCost, ...] = ()
    """Spend of the stages that ran, the failed one included."""

    retry_after_s: float | None = None
    """Seconds after which a new request may succeed, if known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """The deadline passed before the answer was complete."""

    stage: str
    """Stage that was running when the deadline passed."""

    cost_by_stage: tuple[StageCost, ...] = ()
    """Spend of each stage up to the deadline."""

    retry_after_s: float | None = None
    """Seconds after which a new request may meet its deadline, if known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request was accepted to run later; fetch its answer by token."""

    token: str
    """Token with which any entry host can look up the answer."""


Outcome = Complete | NotRun | Unknown | Failed | Late | Accepted
