"""MIXED: answers are those of the endpoint that signed them.

Judged for plain requests; ORDER judges the events of streams. That a request
goes on from another's memory, and the inputs of pieces, are not judged.
"""

from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _finding

_SUCCESS: Final = range(200, 300)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge signatures, bodies and bytes that are no answer."""
    found = []
    for attempt in _attempts.Attempts(history).all:
        clause = _clause(attempt)
        if clause and attempt.ended:
            request = attempt.sent.request
            found.append(
                _finding.Finding('MIXED', clause, attempt.ended.at, (request,))
            )
    return found


def _clause(attempt: _attempts.Attempt) -> str:
    """Return the clause that an attempt breaks; empty for none."""
    ended = attempt.ended
    if ended is None:
        return ''
    if ended.how is _terms.End.garbled:
        broke_off = any(run.broke_off for run in attempt.runs)
        return '' if broke_off else 'no answer'
    if ended.how is not _terms.End.whole:
        return ''
    signed = [
        run.ran for run in attempt.runs if run.ran.endpoint == ended.stamp
    ]
    return _signature_clause(ended, signed, is_stream=attempt.is_stream)


def _signature_clause(
    ended: _history.Ended, signed: list[_history.Ran], *, is_stream: bool
) -> str:
    """Compare a whole answer with those of the endpoint that signed it."""
    if ended.status not in _SUCCESS:
        statuses = {ran.status for ran in signed}
        is_right = not ended.stamp or ended.status in statuses
        return '' if is_right else 'status'
    if not ended.stamp:
        return 'no signature'
    if is_stream or any(ran.answer == ended.answer for ran in signed):
        return ''
    return 'body'
