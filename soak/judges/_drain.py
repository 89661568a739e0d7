"""DRAIN: endpoints that leave get no more work.

That a fleet stays ready beside SIGTERM is not judged.
"""

from soak import _history
from soak.judges import _attempts, _disruptions, _finding


class _Drain:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._bounds = history.bounds
        self._attempts = _attempts.Attempts(history)
        self._disruptions = _disruptions.Disruptions(history)
        self._leaving: dict[str, list[_history.Listed]] = {}
        for seen in history.observations:
            if isinstance(seen, _history.Listed):
                self._list(seen)

    def judge(self) -> list[_finding.Finding]:
        """Find work that reaches an endpoint too late."""
        return [
            _finding.Finding(
                'DRAIN', 'late work', run.ran.at, (attempt.sent.request,)
            )
            for attempt in self._attempts.all
            for run in attempt.runs
            if self._is_late(run.ran) and self._is_in_touch(attempt, run)
        ]

    def _list(self, seen: _history.Listed) -> None:
        """Keep the entries since an endpoint last said that it is ready."""
        if seen.ready:
            self._leaving[seen.endpoint] = []
        else:
            self._leaving.setdefault(seen.endpoint, []).append(seen)

    def _is_late(self, ran: _history.Ran) -> bool:
        """Whether the store, while stable, had taken its leaving by then."""
        store = _history.STORE
        stable_s = self._bounds.stable_window_s
        return any(
            ran.at > seen.at + self._bounds.drain_s
            and not self._disruptions.hurts(store, seen.at - stable_s, seen.at)
            for seen in self._leaving.get(ran.endpoint, ())
        )

    def _is_in_touch(
        self, attempt: _attempts.Attempt, run: _attempts.Run
    ) -> bool:
        machine = attempt.sent.machine
        moments = (attempt.sent.at, run.ran.at)
        return all(self._disruptions.in_touch(machine, at) for at in moments)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge work that arrives after an endpoint's leaving."""
    return _Drain(history).judge()
