"""Which requests a process still takes that is about to end.

While many hosts of an availability zone stop at the same time, requests keep
coming to each of them until its process ends. Those that end in time are
served; the others are refused before any endpoint has them, since a stream
that has begun can only be cut off.
"""

from typing import Final

from lentilspool.serving import _run_times

_MARGIN: Final = 1.25
# A sound endpoint may be silent for about a second and then go on.
_SILENCE_S: Final = 1.0
_ANSWER_S: Final = 0.1


def needed_s(expected_run: _run_times.ExpectedRun, *, streaming: bool) -> float:
    """Return the seconds for which a process must live to serve a run."""
    return _MARGIN * expected_run.first_event_s + needed_after_first_event_s(
        expected_run, streaming=streaming
    )


def needed_after_first_event_s(
    expected_run: _run_times.ExpectedRun, *, streaming: bool
) -> float:
    """Return the seconds for which it must live after the first event.

    An answer that is not a stream can still be replaced by an error, so it
    needs no reserve for a silence.
    """
    reserve_s = _SILENCE_S if streaming else _ANSWER_S
    return _MARGIN * expected_run.rest_s + reserve_s
