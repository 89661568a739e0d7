"""Decides whether to retry a request after an attempt.

Endpoints crash, shed load, fail or lose answers. A request is only retried
if it certainly did not run, or if it may run more than once.
"""

import dataclasses
import enum
from typing import Final

from lentilspool.serving import _configuration

_MIN_SERVER_ERROR_STATUS: Final = 500
# Endpoints that may be unreachable before the request is refused.
_MAX_UNSENT: Final = 4


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt, as far as the gateway can know it."""

    answered = 'answered'
    rejected = 'rejected'
    unsent = 'unsent'
    unknown = 'unknown'


class AttemptStep(enum.Enum):
    """Action that follows an attempt."""

    deliver = 'deliver'
    again = 'again'
    refuse = 'refuse'
    fail = 'fail'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Counts of the attempts of one request so far."""

    sent: int = 0
    """Number of endpoints to which it was sent."""

    unsent: int = 0
    """Number of endpoints that could not be reached."""

    may_have_run: bool = False
    """Whether any endpoint may have started to run it."""

    def add(self, end: AttemptOutcome) -> 'AttemptCounts':
        """Return the counts with one more attempt."""
        if end is AttemptOutcome.unsent:
            return dataclasses.replace(self, unsent=self.unsent + 1)
        ran = end in {AttemptOutcome.unknown, AttemptOutcome.answered}
        return dataclasses.replace(
            self, sent=self.sent + 1, may_have_run=self.may_have_run or ran
        )


def next_step(
    route: _configuration.Route,
    tally: AttemptCounts,
    end: AttemptOutcome,
    status: int,
    *,
    may_retry: bool,
) -> AttemptStep:
    """Return the action after an attempt that ``tally`` already includes.

    ``may_retry`` is whether the service's retry budget allows a retry.
    Unreachable endpoints do not use up the budget or the route's attempts.
    """
    if end is AttemptOutcome.unsent and tally.unsent < _MAX_UNSENT:
        return AttemptStep.again
    left = tally.sent < route.attempts and may_retry
    if end in {AttemptOutcome.unsent, AttemptOutcome.rejected}:
        if left and end is AttemptOutcome.rejected:
            return AttemptStep.again
        return AttemptStep.fail if tally.may_have_run else AttemptStep.refuse
    failed = end is AttemptOutcome.unknown or status >= _MIN_SERVER_ERROR_STATUS
    if failed and left and route.repeatable:
        return AttemptStep.again
    return (
        AttemptStep.fail
        if end is AttemptOutcome.unknown
        else AttemptStep.deliver
    )
