"""BUDGET: how often, and with how much time, requests are passed on.

The clause of repeats in a window has a module of its own.
"""

import collections
import math
from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _disruptions, _finding

# The platform's figures.
_MOST_BEYOND: Final = 3
_SLACK_S: Final = 0.5
_MOST_LONG: Final = 20
_LONG_SHARE: Final = 0.2
_CRASHES: Final = 3
_MOST_RETRIES: Final = 3
_KINDS: Final = (_terms.Kind.safe, _terms.Kind.unsafe)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge attempts, deadlines and crashes."""
    budget = _Budget(history)
    return [*budget.attempts(), *budget.deadlines(), *budget.crashes()]


class _Budget:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._stable_window_s = history.bounds.stable_window_s
        self._attempts = _attempts.Attempts(history)
        self._disruptions = _disruptions.Disruptions(history)

    def attempts(self) -> list[_finding.Finding]:
        """Find requests that run on more endpoints than their route allows."""
        beyond = [
            attempt
            for attempt in self._attempts.all
            if len(self._endpoints(attempt)) > attempt.sent.attempts
        ]
        if len(beyond) <= _MOST_BEYOND:
            return []
        return [_found('attempts', beyond)]

    def deadlines(self) -> list[_finding.Finding]:
        """Find requests that are handed more time than is left."""
        counted = [
            attempt
            for attempt in self._attempts.all
            if attempt.sent.kind in _KINDS or attempt.sent.keyed
        ]
        too_long = [one for one in counted if self._is_too_long(one)]
        late = [
            one
            for one in counted
            if one not in too_long
            and any(_is_late(one, run) for run in one.runs)
        ]
        most = _LONG_SHARE * (len(too_long) + len(late))
        if len(too_long) <= max(_MOST_LONG, most):
            return []
        return [_found('deadline', too_long)]

    def crashes(self) -> list[_finding.Finding]:
        """Find requests that run again after they have crashed endpoints."""
        repeats: dict[tuple[str, str], list[_attempts.Attempt]] = (
            collections.defaultdict(list)
        )
        for attempt in self._attempts.all:
            repeats[attempt.sent.team, attempt.sent.content].append(attempt)
        found = []
        for same in repeats.values():
            known_at = _known_at(same) + self._stable_window_s
            late = [one for one in same if self._runs_after(one, known_at)]
            if len(late) > _MOST_RETRIES:
                found.append(_found('crashes', late))
        return found

    def _runs_after(self, attempt: _attempts.Attempt, at: float) -> bool:
        return any(
            run.ran.at > at
            and self._disruptions.in_touch(attempt.sent.machine, run.ran.at)
            for run in attempt.runs
        )

    def _endpoints(self, attempt: _attempts.Attempt) -> set[str]:
        """Return the endpoints of an attempt that neither end nor are cut."""
        last = attempt.ended.at if attempt.ended else attempt.sent.at
        return {
            run.ran.endpoint
            for run in attempt.runs
            if not run.broke_off
            and not self._disruptions.hurts(
                run.ran.endpoint, run.ran.at, max(run.ran.at, last)
            )
        }

    def _is_too_long(self, attempt: _attempts.Attempt) -> bool:
        return any(
            _has_too_long(attempt, run)
            and self._disruptions.in_touch(attempt.sent.machine, run.ran.at)
            for run in attempt.runs
        )


def _known_at(same: list[_attempts.Attempt]) -> float:
    """Return when the third endpoint was crashed; infinity for never."""
    crashed_at = sorted(
        run.worked.at
        for attempt in same
        for run in attempt.runs
        if run.worked and run.worked.how is _terms.Work.crashed
    )
    too_few = len(crashed_at) < _CRASHES
    return math.inf if too_few else crashed_at[_CRASHES - 1]


def _is_late(attempt: _attempts.Attempt, run: _attempts.Run) -> bool:
    """Whether it was sent once more, well after the first time."""
    return run.ran.at > attempt.runs[0].ran.at + _SLACK_S


def _has_too_long(attempt: _attempts.Attempt, run: _attempts.Run) -> bool:
    """Whether a run was told no deadline, or one that is too late."""
    left_s = run.ran.left_s
    if left_s is None or left_s > attempt.sent.deadline_s + _SLACK_S:
        return True
    first = attempt.runs[0].ran
    first_end = first.at + (first.left_s or 0)
    own_end = attempt.sent.at + attempt.sent.deadline_s
    end = run.ran.at + left_s
    return _is_late(attempt, run) and end > max(first_end, own_end) + _SLACK_S


def _found(clause: str, attempts: list[_attempts.Attempt]) -> _finding.Finding:
    latest = max(run.ran.at for one in attempts for run in one.runs)
    requests = tuple(one.sent.request for one in attempts)
    return _finding.Finding('BUDGET', clause, latest, requests)
