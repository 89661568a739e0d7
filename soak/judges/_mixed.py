"""MIXED: answers are those of the endpoint that signed them.

Judged for plain requests; ORDER judges the events of streams. Pieces and
streams are given all results of their own stages. That a request goes on from
another's memory is not judged.
"""

from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _finding

_SUCCESS: Final = range(200, 300)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge signatures, bodies, bytes that are no answer, and inputs."""
    attempts = _attempts.Attempts(history)
    found = _inputs(history, attempts)
    for attempt in attempts.all:
        clause = _clause(attempt)
        if clause and attempt.ended:
            request = attempt.sent.request
            found.append(
                _finding.Finding('MIXED', clause, attempt.ended.at, (request,))
            )
    return found


def _inputs(
    history: _history.History, attempts: _attempts.Attempts
) -> list[_finding.Finding]:
    """Find pieces and streams whose inputs are not those of their stage."""
    sent = {one.sent.request: one.sent for one in attempts.all}
    made: dict[str, _history.Piece] = {}
    found = []
    for seen in history.observations:
        if not isinstance(seen, _history.Piece | _history.Ran):
            continue
        if isinstance(seen, _history.Piece):
            made[seen.handle] = seen
        if seen.request in sent and not _has_whole_inputs(
            seen, sent[seen.request], made
        ):
            found.append(
                _finding.Finding('MIXED', 'inputs', seen.at, (seen.request,))
            )
    return found


def _has_whole_inputs(
    seen: _history.Piece | _history.Ran,
    sent: _history.Sent,
    made: dict[str, _history.Piece],
) -> bool:
    """Whether the inputs are all results of the stage before, each once."""
    stage = len(sent.pieces) - 1
    if isinstance(seen, _history.Piece):
        stage = seen.stage - 1
    count = sent.pieces[stage] if 0 <= stage < len(sent.pieces) else 0
    wanted = [(seen.request, stage, number) for number in range(count)]
    given = [made[one] for one in seen.inputs if one in made]
    found = sorted((one.request, one.stage, one.piece) for one in given)
    return found == wanted and len(given) == len(seen.inputs)


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
