"""ROUTE: requests run at services to which a configuration lets them go."""

from soak import _history
from soak.judges import _attempts, _configurations, _finding, _listings


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge the services and the keys of runs."""
    listings = _listings.Listings(history)
    configurations = _configurations.Configurations(history)
    found = []
    for attempt in _attempts.Attempts(history).all:
        for run in attempt.runs:
            sent = configurations.since(0, run.ran.at)
            entry = listings.of(run.ran.endpoint, run.ran.at)
            allowed = _configurations.services_of(sent, attempt.sent.route)
            if entry and entry.service not in allowed:
                found.append(_finding_at('service', attempt, run))
            if not any(attempt.sent.team in one.teams for one in sent):
                found.append(_finding_at('key', attempt, run))
    return found


def _finding_at(
    clause: str, attempt: _attempts.Attempt, run: _attempts.Run
) -> _finding.Finding:
    request = attempt.sent.request
    return _finding.Finding('ROUTE', clause, run.ran.at, (request,))
