"""BUDGET and LOST: parts of prompts that crash the engines that read them."""

import collections
import dataclasses
from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _disruptions, _finding

# The platform's figures.
_CRASHES: Final = 5
_MOST_ARRIVALS: Final = 3
_WINDOWS: Final = 2
_LEAST_SOUND: Final = 20
_LEAST_SHARE: Final = 0.5
_SUCCESS: Final = range(200, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class _FatalPart:
    """A part that crashes engines, and the requests that hold it."""

    holders: tuple[_attempts.Attempt, ...]
    """Requests, in the order in which they were sent."""

    @property
    def crashed_at(self) -> list[float]:
        """Moments of the crashes that make it known, at most five."""
        ends = {
            run.ran.endpoint: run.worked.at
            for attempt in self.holders
            for run in attempt.runs
            if run.worked and run.worked.how is _terms.Work.crashed
        }
        return sorted(ends.values())[:_CRASHES]

    def lasts(self, at: float) -> bool:
        """Whether its requests come at a moment."""
        return self.holders[0].sent.at <= at <= self.holders[-1].sent.at

    def is_neighbour(self, sent: _history.Sent) -> bool:
        """Whether a request has a route of it, and its key or first part."""
        return any(
            one.sent.route == sent.route
            and (
                one.sent.team == sent.team
                or one.sent.parts[:1] == sent.parts[:1]
            )
            for one in self.holders
        )


class _FatalParts:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._window_s = history.bounds.stable_window_s
        self._disruptions = _disruptions.Disruptions(history)
        holders = collections.defaultdict(list)
        for attempt in _attempts.Attempts(history).all:
            holders[attempt.sent.fatal_part].append(attempt)
        # A request that goes on with a stream is not a first attempt.
        self._sound = [
            sound
            for sound in holders.pop('', [])
            if sound.sent.team and not sound.sent.resumes
        ]
        self._parts = [_FatalPart(tuple(found)) for found in holders.values()]

    def arrivals(self) -> list[_finding.Finding]:
        """Find requests that reach engines though their part is known."""
        found = []
        for part in self._parts:
            crashed_at = part.crashed_at
            late = [
                (attempt, run)
                for attempt in part.holders
                for run in attempt.runs
                if len(crashed_at) == _CRASHES
                and run.ran.at > crashed_at[-1] + self._window_s
                and self._in_touch(attempt, run.ran.at)
            ]
            if len(late) > _MOST_ARRIVALS:
                latest = max(run.ran.at for _, run in late)
                requests = [attempt for attempt, _ in late]
                found.append(_found('BUDGET', 'fatal part', latest, requests))
        return found

    def neighbours(self) -> list[_finding.Finding]:
        """Find sound requests that seldom begin beside a fatal part."""
        found = []
        for part in self._parts:
            beside = self._beside(part)
            apart = self._apart(part)
            enough = min(len(beside), len(apart)) >= _LEAST_SOUND
            if enough and _share(beside) < _LEAST_SHARE * _share(apart):
                missed = [one for one in beside if not _begins(one)]
                latest = missed[-1].sent.at
                found.append(_found('LOST', 'fatal part', latest, missed))
        return found

    def _beside(self, part: _FatalPart) -> list[_attempts.Attempt]:
        """Return the neighbours that come once the part is known."""
        crashed_at = part.crashed_at
        if not crashed_at:
            return []
        known_at = crashed_at[-1] + _WINDOWS * self._window_s
        return [
            one
            for one in self._sound
            if one.sent.at >= known_at
            and part.lasts(one.sent.at)
            and part.is_neighbour(one.sent)
            and self._in_touch(one, one.sent.at)
        ]

    def _apart(self, part: _FatalPart) -> list[_attempts.Attempt]:
        """Return the neighbours that come outside unplanned disruption."""
        return [
            one
            for one in self._sound
            if self._disruptions.is_calm(one.sent.at)
            and not any(other.lasts(one.sent.at) for other in self._parts)
            and part.is_neighbour(one.sent)
            and self._in_touch(one, one.sent.at)
        ]

    def _in_touch(self, attempt: _attempts.Attempt, at: float) -> bool:
        return self._disruptions.in_touch(attempt.sent.machine, at)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge both clauses."""
    parts = _FatalParts(history)
    return [*parts.arrivals(), *parts.neighbours()]


def _begins(attempt: _attempts.Attempt) -> bool:
    """Whether a request brings an event or is answered with success."""
    ended = attempt.ended
    return bool(attempt.events) or (
        ended is not None and ended.status in _SUCCESS
    )


def _share(attempts: list[_attempts.Attempt]) -> float:
    return sum(map(_begins, attempts)) / max(len(attempts), 1)


def _found(
    rule: str, clause: str, at: float, attempts: list[_attempts.Attempt]
) -> _finding.Finding:
    requests = tuple(one.sent.request for one in attempts)
    return _finding.Finding(rule, clause, at, requests)
