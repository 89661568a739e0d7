"""What follows the end of an attempt.

Answers endpoints that crash, shed, fail or lose answers: only what surely
did not run, or may run twice, is sent again.
"""

import dataclasses
import enum
from typing import Final

from lentilspool.serving import _configuration

_MIN_SERVER_ERROR_STATUS: Final = 500
_MAX_UNSENT: Final = 4


class End(enum.Enum):
    """How an attempt has ended, as far as it can be known."""

    answered = 'answered'
    rejected = 'rejected'
    unsent = 'unsent'
    unknown = 'unknown'


class Step(enum.Enum):
    """What to do next."""

    deliver = 'deliver'
    again = 'again'
    refuse = 'refuse'
    fail = 'fail'


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Attempts of one request so far."""

    sent: int = 0
    """Endpoints to which it was sent."""

    unsent: int = 0
    """Endpoints that could not be reached."""

    may_have_run: bool = False
    """Whether an endpoint may have begun to run it."""

    def add(self, end: End) -> 'Tally':
        """Return the tally with one attempt more."""
        if end is End.unsent:
            return dataclasses.replace(self, unsent=self.unsent + 1)
        ran = end in {End.unknown, End.answered}
        return dataclasses.replace(
            self, sent=self.sent + 1, may_have_run=self.may_have_run or ran
        )


def next_step(
    route: _configuration.Route,
    tally: Tally,
    end: End,
    status: int,
    *,
    may_retry: bool,
) -> Step:
    """Decide what follows an attempt that ``tally`` already counts.

    ``may_retry`` tells whether the service's retry budget has room.
    """
    if end is End.unsent and tally.unsent < _MAX_UNSENT:
        return Step.again
    left = tally.sent < route.attempts and may_retry
    if end in {End.unsent, End.rejected}:
        if left and end is End.rejected:
            return Step.again
        return Step.fail if tally.may_have_run else Step.refuse
    failed = end is End.unknown or status >= _MIN_SERVER_ERROR_STATUS
    if failed and left and route.repeatable:
        return Step.again
    return Step.fail if end is End.unknown else Step.deliver
