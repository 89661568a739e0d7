"""REFUSED: a refusal promises that a request has not run and never will."""

from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _finding

_NOT_RUN: Final = frozenset((408, 421, 429, 503))
_ONCE: Final = (_terms.Kind.unsafe, _terms.Kind.stream)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge its only clause."""
    return [
        _finding.Finding(
            'REFUSED',
            'ran',
            max(attempt.ended.at, attempt.runs[0].ran.at),
            (attempt.sent.request,),
        )
        for attempt in _attempts.Attempts(history).all
        if attempt.sent.kind in _ONCE
        and attempt.runs
        and attempt.ended
        and attempt.ended.status in _NOT_RUN
    ]
