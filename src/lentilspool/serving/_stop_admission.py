"""Which requests a process still takes that is about to end.

While many hosts of an availability zone stop at the same time, requests keep
coming to each of them until its process ends. Those that end in time are
served; the others are refused before any endpoint has them, since a stream
that has begun can only be cut off. What recent streams took says little about
the next one, as a few are many times longer than the others: what a request may take at
most decides, once balancers know of the stop.
"""

import dataclasses
from typing import Final

from lentilspool.serving import _run_times

_USUAL_MARGIN: Final = 1.25
_CAREFUL_MARGIN: Final = 2.0
_ANSWER_S: Final = 0.1
_USUAL_QUANTILE: Final = 0.5
_CAREFUL_QUANTILE: Final = 1.0
# A sound endpoint may be silent for a second or so and then go on.
_SILENCE_S: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdmission:
    """How sure it must be that a request ends before the process.

    Pass the run that its ``estimate`` foresees to the other methods.
    """

    quantile: float
    """Share of the recent runs that a request must outlast."""

    margin: float
    """Factor of the expected time, as engines may turn slower."""

    silence_s: float
    """Reserve for an endpoint that is silent for a while and goes on."""

    usual_length: bool
    """Whether a stream is as long as recent ones; else as long as it may be."""

    def estimate(
        self, service: str, incarnation: str = ''
    ) -> _run_times.Estimate:
        """Return the estimate of runs at a service, or at one endpoint."""
        return _run_times.Estimate(
            service, self.quantile, incarnation, self.usual_length
        )

    def needed_s(
        self, expected_run: _run_times.ExpectedRun, *, streaming: bool
    ) -> float:
        """Return the seconds for which the process must live for a run."""
        return (
            self.margin * expected_run.first_event_s
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
        return self.margin * expected_run.rest_s + _ANSWER_S + reserve_s


# For requests that come while balancers may not know of the stop. Most of them
# end in time, and other gateways may be stopping too.
USUAL: Final = StopAdmission(
    _USUAL_QUANTILE, _USUAL_MARGIN, silence_s=0, usual_length=True
)
# For requests that come later, which must not be cut off.
CAREFUL: Final = StopAdmission(
    _CAREFUL_QUANTILE, _CAREFUL_MARGIN, _SILENCE_S, usual_length=False
)
