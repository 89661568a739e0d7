"""ORDER: streams bring each event once, in order, of one run at a time."""

import collections
import itertools
from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _finding, _listings

# The platform's figure.
_MOST_MIXED: Final = 2
_OK: Final = 200


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge all clauses."""
    attempts = _attempts.Attempts(history)
    streams = [one for one in attempts.all if one.is_stream]
    return [
        *_pieces(streams),
        *_joined(streams, attempts.runs),
        *_ends(streams),
        *_versions(history, attempts),
    ]


def _pieces(streams: list[_attempts.Attempt]) -> list[_finding.Finding]:
    """Find events that are missing or come twice."""
    found = []
    for stream in streams:
        expected = stream.sent.after
        for event in stream.events:
            expected += 1
            if event.number != expected:
                clause = 'missing' if event.number > expected else 'doubled'
                found.append(_finding_at(clause, event.at, stream))
                break
    return found


def _joined(
    streams: list[_attempts.Attempt], runs: dict[str, _attempts.Run]
) -> list[_finding.Finding]:
    """Find events of two runs in one answer, but for a run that goes on."""
    return [
        _finding_at('joined', later.at, stream)
        for stream in streams
        for earlier, later in itertools.pairwise(stream.events)
        if later.run != earlier.run
        and not _goes_on(stream, later, runs.get(later.run))
    ]


def _goes_on(
    stream: _attempts.Attempt,
    event: _history.Got,
    run: _attempts.Run | None,
) -> bool:
    """Whether a run was told to go on just before an event."""
    return (
        stream.sent.kind is _terms.Kind.resumable
        and run is not None
        and run.ran.request == stream.sent.request
        and run.ran.after == event.number - 1
    )


def _ends(streams: list[_attempts.Attempt]) -> list[_finding.Finding]:
    """Find streams that end as complete before their last event."""
    return [
        _finding_at('ends early', stream.ended.at, stream)
        for stream in streams
        if stream.ended
        and stream.ended.how is _terms.End.whole
        and stream.ended.status == _OK
        and not _is_complete(stream)
    ]


def _is_complete(stream: _attempts.Attempt) -> bool:
    number = stream.events[-1].number if stream.events else stream.sent.after
    return any(run.ran.last == number for run in stream.runs)


def _versions(
    history: _history.History, attempts: _attempts.Attempts
) -> list[_finding.Finding]:
    """Find streams with events of two software versions of a service."""
    listings = _listings.Listings(history)
    seen: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
    latest = 0.0
    for stream, event in _events(attempts):
        run = attempts.runs.get(event.run)
        maker = run and listings.of(run.ran.endpoint, run.ran.at)
        if maker and maker.version:
            versions = seen[stream.stream, maker.service]
            versions.add(maker.version)
            latest = max(latest, event.at if len(versions) > 1 else 0)
    mixed = {name for (name, _), versions in seen.items() if len(versions) > 1}
    if len(mixed) <= _MOST_MIXED:
        return []
    return [_finding.Finding('ORDER', 'versions', latest, tuple(sorted(mixed)))]


def _events(
    attempts: _attempts.Attempts,
) -> list[tuple[_attempts.Attempt, _history.Got]]:
    """Return the events of all streams."""
    return [
        (stream, event)
        for stream in attempts.all
        if stream.is_stream
        for event in stream.events
    ]


def _finding_at(
    clause: str, at: float, stream: _attempts.Attempt
) -> _finding.Finding:
    return _finding.Finding('ORDER', clause, at, (stream.sent.request,))
