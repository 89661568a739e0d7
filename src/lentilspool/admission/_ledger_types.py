"""Limits and answers of the at-most-once ledger."""

import dataclasses
import enum

from lentilspool import kernel
from lentilspool.admission import _tokens


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds of a ledger's memory."""

    max_entries: int = 20_000
    """Requests remembered at one time."""

    max_answer_bytes: int = 16_000_000
    """Bytes of answers held, and reserved for requests without answer."""

    answer_bytes: int = 4096
    """Bytes reserved for one answer; a larger one is not kept."""

    lifetime_s: float = 600.0
    """Seconds from issue until a request is forgotten."""

    retry_after_s: float = 5.0
    """Seconds after which a request refused for want of room may return."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerUsage:
    """Memory that a ledger uses."""

    entries: int
    """Requests remembered."""

    open_requests: int
    """Requests that are queued or run."""

    held_bytes: int
    """Bytes of answers held and reserved."""


class EntryState(enum.Enum):
    """How far a request of the ledger has come."""

    issued = 'issued'
    queued = 'queued'
    running = 'running'
    finished = 'finished'


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """The request has a token; nothing of it runs before ``start``."""

    token: _tokens.AdmissionToken
    """Token of the request; the same one for the same request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is queued: run it once ``begin_call`` says so."""

    token: _tokens.AdmissionToken
    """Token of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRunning:
    """An earlier send of the request is queued or runs; wait for it."""

    token: _tokens.AdmissionToken
    """Token of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The request ended earlier; this is its outcome."""

    outcome: kernel.Outcome
    """Outcome of the only run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request does not run here, now or later."""

    outcome: kernel.NotRun | kernel.Unknown
    """``NotRun`` if it never ran, ``Unknown`` if that is not known."""


IssueAnswer = Issued | Refused
StartAnswer = Admitted | AlreadyRunning | Finished | Refused
LookAnswer = Issued | StartAnswer
