"""DRAIN: endpoints and machines that leave get no more work."""

import collections
from typing import Final

from soak import _history, _terms
from soak.judges import _attempts, _disruptions, _finding

# The platform's figures.
_READY_S: Final = 4.0
_MISSES: Final = 2
_LEAST_READY: Final = 2
_READY_SHARE: Final = 0.25


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
            if self._is_late(run.ran)
            and self._is_in_touch(attempt, run)
            and not self._disruptions.holds_up(run.ran.endpoint, run.ran.at)
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
    """Judge all clauses."""
    return [*_Drain(history).judge(), *_Readiness(history).judge()]


class _Readiness:
    """Judges machines that are ready though they stop."""

    def __init__(self, history: _history.History) -> None:
        self._probes: dict[str, list[_history.Probed]] = (
            collections.defaultdict(list)
        )
        self._changes: dict[str, list[_history.Process]] = (
            collections.defaultdict(list)
        )
        for seen in history.observations:
            if isinstance(seen, _history.Probed):
                self._probes[seen.machine].append(seen)
            elif isinstance(seen, _history.Process):
                self._changes[seen.machine].append(seen)

    def judge(self) -> list[_finding.Finding]:
        """Count machines that are ready some time after SIGTERM."""
        signals = [
            seen
            for changes in self._changes.values()
            for seen in changes
            if seen.change is _terms.Change.terminated
            and self._is_ready(seen.machine, seen.at)
        ]
        late = [
            seen
            for seen in signals
            if self._is_ready(seen.machine, seen.at + _READY_S)
            and not self._has_ended(seen.machine, seen.at)
        ]
        few = len(late) < _LEAST_READY
        if few or len(late) <= _READY_SHARE * len(signals):
            return []
        latest = max(seen.at for seen in late) + _READY_S
        return [_finding.Finding('DRAIN', 'ready', latest, ())]

    def _is_ready(self, machine: str, at: float) -> bool:
        """Whether it counts as ready: two misses in a row take it out."""
        probes = [one.ready for one in self._probes[machine] if one.at <= at]
        return any(probes[-_MISSES:])

    def _has_ended(self, machine: str, signal_at: float) -> bool:
        ends = (_terms.Change.ended, _terms.Change.killed)
        return any(
            signal_at <= one.at <= signal_at + _READY_S and one.change in ends
            for one in self._changes[machine]
        )
