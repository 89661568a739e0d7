"""Which requests a process still takes that is about to end.

While many hosts of an availability zone stop at the same time, requests keep
coming to each of them until its process ends. Those that end in time are
served; the others are refused before any endpoint has them, since a stream
that has begun can only be cut off.
"""

import dataclasses
from typing import Final

from lentilspool.serving import _run_times

_MARGIN: Final = 1.25
_ANSWER_S: Final = 0.1
_USUAL_QUANTILE: Final = 0.5
_CAREFUL_QUANTILE: Final = 0.9
# A sound endpoint may be silent for about a second and then go on.
_SILENCE_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdmission:
    """How sure it must be that a request ends before the process.

    Add its margins to the expected run of the estimate with its ``quantile``.
    """

    quantile: float
    """Share of the recent runs that a request must outlast."""

    silence_s: float
    """Reserve for an endpoint that is silent for a while and goes on."""

    def needed_s(
        self, expected_run: _run_times.ExpectedRun, *, streaming: bool
    ) -> float:
        """Return the seconds for which the process must live for a run."""
        return (
            _MARGIN * expected_run.first_event_s
            + self.needed_after_first_event_s(expected_run, streaming=streaming)
        )

    def needed_after_first_event_s(
        self, expected_run: _run_times.ExpectedRun, *, streaming: bool
    ) -> float:
        """Return the seconds for which it must live after the first event.

        An answer that is not a stream can still be replaced by an error, so
        it needs no reserve for a silence.
        """
        reserve_s = self.silence_s if streaming else 0
        return _MARGIN * expected_run.rest_s + _ANSWER_S + reserve_s


# For requests that come while balancers may not know of the stop. Most of them
# end in time, and other gateways may be stopping too.
USUAL: Final = StopAdmission(_USUAL_QUANTILE, silence_s=0)
# For requests that come later, which must not be cut off.
CAREFUL: Final = StopAdmission(_CAREFUL_QUANTILE, _SILENCE_S)
