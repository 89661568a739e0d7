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
        return '' if _broke_off(attempt) else 'no answer'
    if ended.how is not _terms.End.whole or ended.status not in _SUCCESS:
        return ''
    if not ended.stamp:
        return 'no signature'
    if attempt.is_stream:
        return ''
    answers = {
        run.ran.answer
        for run in attempt.runs
        if run.ran.endpoint == ended.stamp
    }
    return '' if ended.answer in answers else 'body'


def _broke_off(attempt: _attempts.Attempt) -> bool:
    return any(
        run.worked is not None and run.worked.how is _terms.Work.broken
        for run in attempt.runs
    )
