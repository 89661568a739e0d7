"""What endpoints answer, decoded."""

import dataclasses

from lentilspool.serving import _calls


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How busy an endpoint says that it is."""

    running: int
    """Requests that it works on."""

    waiting: int
    """Requests that wait there."""

    slots: int
    """Requests that it can work on."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    """HTTP status."""

    headers: _calls.Headers
    """Headers to pass on to the caller."""

    request_id: str
    """Request that the answer belongs to; empty if it does not say."""

    not_run: bool
    """Whether the endpoint states that it did not run the request."""

    load: Load | None
    """Load at the time of the answer, if told."""

    keep_alive_s: float | None
    """Seconds for which the idle connection stays open, if told."""

    length: int | None
    """Length of the body, if it is declared."""
