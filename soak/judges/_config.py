"""CONFIG: configurations come into force in time, and timeouts are kept."""

import collections
from typing import Final

from soak import _history, _terms
from soak.judges import (
    _attempts,
    _configurations,
    _disruptions,
    _finding,
    _listings,
)

# The platform's figures.
_ACCESS: Final = frozenset((401, 403, 404))
_AFTER_S: Final = 0.5
_HALF: Final = 0.5
_LEAST_LATE: Final = 8
_LATE_SHARE: Final = 0.25
_SLOWED: Final = 8
_LEAST_ADDED: Final = 20
_ADDED_SHARE: Final = 0.25
_SUCCESS: Final = range(200, 300)


class _Config:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._bounds = history.bounds
        self._attempts = _attempts.Attempts(history)
        self._disruptions = _disruptions.Disruptions(history)
        self._listings = _listings.Listings(history)
        self._configurations = _configurations.Configurations(history)

    def old(self) -> list[_finding.Finding]:
        """Find requests that are handled as an older version allows."""
        found = []
        for attempt in self._attempts.all:
            sent = attempt.sent
            newest = self._configurations.in_force(
                sent.at, self._bounds.config_apply_s
            )
            if self._disruptions.in_touch(sent.machine, sent.at):
                found += self._old_runs(attempt, newest)
                found += self._old_denials(attempt, newest)
        return found

    def timeouts(self) -> list[_finding.Finding]:
        """Find requests without an answer after their route's timeout."""
        held = [
            (attempt, ended_at - attempt.sent.at - attempt.sent.timeout_s)
            for attempt, ended_at in self._open_at_timeout()
        ]
        late = [attempt for attempt, over_s in held if over_s > _AFTER_S]
        found = []
        if len(late) > _HALF * len(held):
            found.append(_found('half unanswered', late))
        if len(late) >= _LEAST_LATE and len(late) > _LATE_SHARE * len(held):
            found.append(_found('no final answer', late))
        return found

    def _old_runs(
        self, attempt: _attempts.Attempt, newest: int
    ) -> list[_finding.Finding]:
        return [
            _finding_at('old service', run.ran.at, attempt)
            for run in attempt.runs
            if self._disruptions.in_touch(attempt.sent.machine, run.ran.at)
            and not self._allows(attempt, run, newest)
        ]

    def _old_denials(
        self, attempt: _attempts.Attempt, newest: int
    ) -> list[_finding.Finding]:
        ended = attempt.ended
        if ended is None or ended.status not in _ACCESS or ended.stamp:
            return []
        known = self._configurations.since(newest, ended.at)
        sent = attempt.sent
        is_allowed = all(
            sent.route in one.services and sent.team in one.teams
            for one in known
        )
        if newest and is_allowed:
            return [_finding_at('old denial', ended.at, attempt)]
        return []

    def _allows(
        self, attempt: _attempts.Attempt, run: _attempts.Run, version: int
    ) -> bool:
        """Whether a version or a later one allows a run."""
        entry = self._listings.of(run.ran.endpoint, run.ran.at)
        known = self._configurations.since(version, run.ran.at)
        allowed = _configurations.services_of(known, attempt.sent.route)
        return entry is None or not version or entry.service in allowed

    def _open_at_timeout(self) -> list[tuple[_attempts.Attempt, float]]:
        """Return attempts without answer at their timeout, and their ends."""
        return [
            (attempt, attempt.ended.at)
            for attempt in self._attempts.all
            if attempt.ended
            and _is_open(attempt.sent, attempt.ended)
            and self._disruptions.in_touch(
                attempt.sent.machine,
                attempt.sent.at + attempt.sent.timeout_s + _AFTER_S,
            )
        ]


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge all clauses."""
    config = _Config(history)
    regressions = _Regressions(history).judge()
    added = _Added(history).judge()
    return [*config.old(), *config.timeouts(), *regressions, *added]


class _Added:
    """Compares routes that were added later with the first ones."""

    def __init__(self, history: _history.History) -> None:
        self._bounds = history.bounds
        self._disruptions = _disruptions.Disruptions(history)
        self._configurations = _configurations.Configurations(history)
        self._steady = [
            attempt
            for attempt in _attempts.Attempts(history).all
            if self._is_steady(attempt.sent)
        ]

    def judge(self) -> list[_finding.Finding]:
        """Compare the shares that are served."""
        if not self._configurations.all:
            return []
        first = self._configurations.all[0].services
        old = [one for one in self._steady if one.sent.route in first]
        added = [one for one in self._steady if one.sent.route not in first]
        if len(added) < _LEAST_ADDED:
            return []
        if _served(added) >= _ADDED_SHARE * _served(old):
            return []
        return [_found('added routes', added)]

    def _is_steady(self, sent: _history.Sent) -> bool:
        """Whether every version that may be in force has its route."""
        version = self._configurations.in_force(
            sent.at, self._bounds.config_apply_s
        )
        known = self._configurations.since(version, sent.at)
        return (
            bool(version)
            and all(sent.route in one.services for one in known)
            and self._disruptions.in_touch(sent.machine, sent.at)
        )


def _served(attempts: list[_attempts.Attempt]) -> float:
    """Return the share of attempts that are served."""
    ends = [one.ended for one in attempts if one.ended]
    served = [
        one
        for one in ends
        if one.how is _terms.End.whole and one.status in _SUCCESS
    ]
    return len(served) / max(len(ends), 1)


class _Regressions:
    """Finds machines that go back to an older version."""

    def __init__(self, history: _history.History) -> None:
        self._history = history
        self._attempts = _attempts.Attempts(history)
        self._disruptions = _disruptions.Disruptions(history)
        self._listings = _listings.Listings(history)
        self._configurations = _configurations.Configurations(history)
        # Versions that each machine showed, and when.
        self._shown: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self._sent = {one.sent.request: one for one in self._attempts.all}

    def judge(self) -> list[_finding.Finding]:
        """Follow the runs of each incarnation."""
        found = []
        for seen in self._history.observations:
            match seen:
                case _history.Process(change=_terms.Change.started):
                    self._shown.pop(seen.machine, None)
                case _history.Disrupted(place=_history.STORE):
                    # A copy of before may put older versions in force.
                    self._shown.clear()
                case _history.Ran(request=name) if name in self._sent:
                    found += self._follow(seen, self._sent[name])
        return found

    def _follow(
        self, ran: _history.Ran, attempt: _attempts.Attempt
    ) -> list[_finding.Finding]:
        machine = attempt.sent.machine
        entry = self._listings.of(ran.endpoint, ran.at)
        if entry is None:
            return []
        before = self._shown_before(machine, attempt.sent.at)
        allowing = [
            one.version
            for one in self._configurations.since(before, ran.at)
            if one.services.get(attempt.sent.route) == entry.service
        ]
        if before and not allowing:
            return [_finding_at('regression', ran.at, attempt)]
        if allowing:
            self._shown[machine].append((ran.at, min(allowing)))
        return []

    def _shown_before(self, machine: str, at: float) -> int:
        """Return the version to which a machine must keep."""
        slack_s = self._history.bounds.downgrade_s
        if self._disruptions.hurts(machine, at - slack_s, at):
            slack_s *= _SLOWED
        return max(
            (
                version
                for shown_at, version in self._shown[machine]
                if at > shown_at + slack_s
            ),
            default=0,
        )


def _is_open(sent: _history.Sent, ended: _history.Ended) -> bool:
    """Whether a request is unanswered at its timeout, and its client waits."""
    over_s = ended.at - sent.at - sent.timeout_s
    left_soon = ended.how is _terms.End.left and over_s < _AFTER_S
    return bool(sent.timeout_s) and over_s > 0 and not left_soon


def _finding_at(
    clause: str, at: float, attempt: _attempts.Attempt
) -> _finding.Finding:
    return _finding.Finding('CONFIG', clause, at, (attempt.sent.request,))


def _found(clause: str, attempts: list[_attempts.Attempt]) -> _finding.Finding:
    ends = [one.ended.at for one in attempts if one.ended]
    requests = tuple(one.sent.request for one in attempts)
    return _finding.Finding('CONFIG', clause, max(ends), requests)
