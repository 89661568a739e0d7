"""Input and result of the decision after a failed attempt."""

import dataclasses

from lentilspool import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt of a stage that ended without an answer."""

    outcome: kernel.Outcome
    """How the attempt ended."""

    stage: str
    """Name of the stage."""

    repeatable: bool
    """Whether the stage is idempotent and may be run again."""

    number: int
    """Number of this attempt, from 1."""

    remaining_s: float
    """Seconds until the deadline of the stage."""

    expected_s: float
    """Seconds that another attempt is expected to take."""

    other_endpoints: bool = True
    """Whether the pool has an endpoint that the request has not tried."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again, preferably on an endpoint that was not tried yet."""

    delay_s: float
    """Seconds to wait before the next attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Make no further attempt; the caller gets the outcome at once."""

    outcome: kernel.Outcome
    """Final outcome of the stage; may carry ``retry_after_s``."""


NextStep = Retry | GiveUp
