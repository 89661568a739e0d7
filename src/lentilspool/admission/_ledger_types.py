"""Limits, request states and answers of the at-most-once ledger."""

import dataclasses
import enum

from lentilspool import kernel
from lentilspool.admission import _tokens


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds of a ledger's memory."""

    max_entries: int = 20_000
    """Maximum number of requests on record."""

    max_answer_bytes: int = 16_000_000
    """Bytes of stored answers, plus those reserved for pending ones."""

    answer_bytes: int = 4096
    """Bytes reserved for each answer; a larger answer is not stored."""

    lifetime_s: float = 600.0
    """Seconds from issuing a token until its request is forgotten."""

    retry_after_s: float = 5.0
    """Retry delay, in seconds, for requests refused by a full ledger."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerUsage:
    """Memory usage of a ledger."""

    entries: int
    """Number of requests on record."""

    open_requests: int
    """Number of requests that are queued or running."""

    held_bytes: int
    """Bytes stored and reserved for answers."""


class RequestState(enum.Enum):
    """Progress of a request in the ledger."""

    issued = 'issued'
    queued = 'queued'
    running = 'running'
    finished = 'finished'


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """The request has a token, but does not run before ``start``."""

    token: _tokens.AdmissionToken
    """Token of the request; repeated calls return the same one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is queued; it may run when ``begin_call`` returns true."""

    token: _tokens.AdmissionToken
    """Token of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """An earlier send is queued or running; wait for its outcome."""

    token: _tokens.AdmissionToken
    """Token of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The request has already ended."""

    outcome: kernel.Outcome
    """Outcome of the request's single run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request will never run at this ledger."""

    outcome: kernel.NotRun | kernel.Unknown
    """``NotRun`` if it never ran, ``Unknown`` if it may have run."""


IssueAnswer = Issued | Refused
StartAnswer = Admitted | AlreadyRunning | Finished | Refused
LookUpAnswer = Issued | StartAnswer
