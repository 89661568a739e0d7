"""TWICE: requests that run a second time, or at two endpoints at once."""

from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _disruptions, _finding

# The platform's figure.
_OVERLAP_S: Final = 0.4
_ONCE: Final = (_terms.Kind.unsafe, _terms.Kind.stream)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge all clauses."""
    attempts = _attempts.Attempts(history)
    disruptions = _disruptions.Disruptions(history)
    found = [
        _finding_at('second run', attempt, attempt.runs[1])
        for attempt in attempts.all
        if attempt.sent.kind in _ONCE and len(attempt.runs) > 1
    ]
    return found + [
        _finding_at('still at work', attempt, run)
        for attempt in attempts.all
        for run in attempt.runs
        if run.ran.after and _overlaps(attempt, run, disruptions)
    ]


def _overlaps(
    attempt: _attempts.Attempt,
    later: _attempts.Run,
    disruptions: _disruptions.Disruptions,
) -> bool:
    """Whether an earlier run still goes on though its sender reaches it."""
    at = later.ran.at + _OVERLAP_S
    return disruptions.in_touch(attempt.sent.machine, at) and any(
        run.active(at, at)
        and not disruptions.hurts(run.ran.endpoint, run.ran.at, at)
        for run in attempt.runs
        if run.ran.at < later.ran.at and run.ran.endpoint != later.ran.endpoint
    )


def _finding_at(
    clause: str, attempt: _attempts.Attempt, run: _attempts.Run
) -> _finding.Finding:
    request = attempt.sent.request
    return _finding.Finding('TWICE', clause, run.ran.at, (request,))
