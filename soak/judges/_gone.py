"""GONE: work on requests whose client has left."""

from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _disruptions, _finding

# The platform's figures; "a few" requests are as many as in LOST and BUDGET.
_AFTER_S: Final = 0.5
_MOST_LATE: Final = 3
_MOST_SHARE: Final = 0.25


class _Gone:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._disruptions = _disruptions.Disruptions(history)
        self._left = [
            (attempt, attempt.ended.at)
            for attempt in _attempts.Attempts(history).all
            if attempt.ended
            and attempt.ended.how is _terms.End.left
            and not attempt.sent.keyed
        ]

    def arrivals(self) -> list[_finding.Finding]:
        """Find requests that reach an endpoint after their client has left."""
        late = [
            attempt
            for attempt, left_at in self._left
            if any(
                run.ran.at > left_at + _AFTER_S
                and self._is_told(attempt, left_at, run.ran.at)
                and not self._disruptions.holds_up(run.ran.endpoint, run.ran.at)
                for run in attempt.runs
            )
        ]
        if len(late) <= _MOST_LATE:
            return []
        return [_found('arrival', late)]

    def work(self) -> list[_finding.Finding]:
        """Find work that goes on after the client has left."""
        lasting = [
            (attempt, self._goes_on(attempt, left_at))
            for attempt, left_at in self._left
            if attempt.sent.kind is not _terms.Kind.unsafe
            and self._would_last(attempt, left_at)
        ]
        at_work = [attempt for attempt, goes_on in lasting if goes_on]
        if len(at_work) <= _MOST_SHARE * len(lasting):
            return []
        return [_found('at work', at_work)]

    def _is_told(
        self, attempt: _attempts.Attempt, left_at: float, at: float
    ) -> bool:
        """Whether the machine is in touch since the close reached it."""
        machine = attempt.sent.machine
        return self._disruptions.in_touch(
            machine, left_at
        ) and not self._disruptions.hurts(machine, left_at, at)

    def _would_last(self, attempt: _attempts.Attempt, left_at: float) -> bool:
        """Whether work that goes on as the client leaves is long enough."""
        last = left_at + _AFTER_S
        return self._is_told(attempt, left_at, last) and any(
            run.active(left_at, left_at)
            and run.ran.at + run.ran.lasts_s > last
            and not self._disruptions.hurts(run.ran.endpoint, run.ran.at, last)
            for run in attempt.runs
        )

    def _goes_on(self, attempt: _attempts.Attempt, left_at: float) -> bool:
        last = left_at + _AFTER_S
        return any(run.active(last, last) for run in attempt.runs)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge all clauses."""
    gone = _Gone(history)
    return [*gone.arrivals(), *gone.work()]


def _found(clause: str, attempts: list[_attempts.Attempt]) -> _finding.Finding:
    ends = [one.ended.at for one in attempts if one.ended]
    requests = tuple(one.sent.request for one in attempts)
    return _finding.Finding('GONE', clause, max(ends), requests)
