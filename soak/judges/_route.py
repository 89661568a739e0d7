"""ROUTE: requests run at services to which a configuration lets them go."""

from soak import _history
from soak.judges import _attempts, _configurations, _finding, _listings


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge the services of runs; keys are not judged."""
    listings = _listings.Listings(history)
    configurations = _configurations.Configurations(history)
    found = []
    for attempt in _attempts.Attempts(history).all:
        for run in attempt.runs:
            sent = configurations.since(0, run.ran.at)
            entry = listings.of(run.ran.endpoint, run.ran.at)
            allowed = _configurations.services_of(sent, attempt.sent.route)
            if entry and entry.service not in allowed:
                request = attempt.sent.request
                found.append(
                    _finding.Finding('ROUTE', 'service', run.ran.at, (request,))
                )
    return found
