"""UNASKED: endpoints run what clients sent, and nothing else.

Headers of memory are not judged.
"""

from soak import _history
from soak.judges import _attempts, _finding


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge requests, their bodies, prompts, teams, keys and pieces."""
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
    for seen in history.observations:
        if isinstance(seen, _history.Piece) and not _is_asked(
            seen, sent.get(seen.request)
        ):
            found.append(
                _finding.Finding('UNASKED', 'piece', seen.at, (seen.request,))
            )
    return found


def _is_asked(piece: _history.Piece, sent: _history.Sent | None) -> bool:
    """Whether a request has a piece, with the key that it is told."""
    if sent is None or piece.stage >= len(sent.pieces):
        return False
    # Only stages that take no results are told the key.
    right_key = bool(piece.stage) or piece.key == sent.key
    return piece.piece < sent.pieces[piece.stage] and right_key


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
