"""UNASKED: endpoints run what clients sent, and nothing else.

Pieces and headers of memory are not judged.
"""

from soak import _history
from soak.judges import _attempts, _finding


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge requests, their bodies, teams and keys."""
    attempts = _attempts.Attempts(history)
    sent = {one.sent.request: one.sent for one in attempts.all}
    found = []
    for run in attempts.runs.values():
        clause = _clause(run.ran, sent.get(run.ran.request))
        if clause:
            found.append(
                _finding.Finding(
                    'UNASKED', clause, run.ran.at, (run.ran.request,)
                )
            )
    return found


def _clause(ran: _history.Ran, sent: _history.Sent | None) -> str:
    """Return the clause that a run breaks; empty for none."""
    if sent is None:
        return 'no client'
    if ran.content != sent.content:
        return 'changed'
    if ran.team != sent.team:
        return 'team'
    if ran.prompt != sent.prompt:
        return 'prompt'
    return 'key' if ran.has_key else ''
