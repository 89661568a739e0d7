"""Decoded responses of endpoints."""

import dataclasses

from lentilspool.serving import _calls


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an endpoint reports about itself."""

    running: int
    """Number of requests that run."""

    waiting: int
    """Number of requests in its queue."""

    slots: int
    """Number of requests that it can run at the same time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What an endpoint states of itself in one answer."""

    limit_per_s: float | None = None
    """Requests a second that it takes from all hosts together; None for no
    limit."""

    backoff_s: float | None = None
    """Seconds for which it wants nothing from this host, if it has rejected a
    request; None if it does not say."""

    leaving: bool = False
    """Whether it is about to end, and wants no new work."""

    unreadable: tuple[str, ...] = ()
    """Values that cannot be read; they state nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    """HTTP status."""

    headers: _calls.Headers
    """Headers to pass on to the caller."""

    request_id: str
    """Identity of the answered request; empty if not stated."""

    not_run: bool
    """Whether the endpoint states that it did not run the request."""

    load: ReportedLoad | None
    """Load at the time of the answer; None if not reported."""

    keep_alive_s: float | None
    """Seconds until an idle connection is closed; None if not stated."""

    length: int | None
    """Length of the body in bytes; None if not declared."""

    statement: Statement = Statement()
    """What the endpoint states of itself."""

    signed: bool = False
    """Whether the endpoint has signed the answer."""

    encoded: bool = False
    """Whether the body has a content coding, for which no caller asks."""
