"""LOST: requests that were read and end without an answer."""

from typing import Final

from soak import _history, _terms
from soak.judges import (
    _attempts,
    _disruptions,
    _finding,
    _listings,
    _planned,
)

# The platform's figures.
_MOST_KEPT: Final = 3
_EARLY_S: Final = 3.0
_LAST_SHARE: Final = 5 / 6
_LEAST_RESUMED: Final = 12
_LEAST_SHARE: Final = 0.5
_LEAST_SERVING: Final = 2
_KINDS_WITHOUT_STORE: Final = (_terms.Kind.safe, _terms.Kind.unsafe)


class Lost:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._bounds = history.bounds
        self._attempts = _attempts.Attempts(history)
        self._disruptions = _disruptions.Disruptions(history)
        self._planned = _planned.PlannedWork(history)

    def kept(self) -> list[_finding.Finding]:
        """Connections that are closed after a request was passed on."""
        closed = [
            attempt
            for attempt in self._attempts.all
            if attempt.sent.kept and self._is_closed_in_touch(attempt)
        ]
        return _found('kept connection', closed, _MOST_KEPT)

    def planned(self) -> list[_finding.Finding]:
        """Requests that planned work cuts off."""
        cuts = [
            _planned.Cut(attempt.sent, attempt.ended.at)
            for attempt in self._attempts.all
            if attempt.ended and self._is_cut(attempt, attempt.ended)
        ]
        by_clause = {
            'SIGTERM': [
                cut for cut in cuts if self._planned.terminated(cut) is not None
            ],
            'SIGHUP': [cut for cut in cuts if self._planned.is_reloaded(cut)],
            'configuration': self._planned.configured(cuts, self._attempts),
        }
        return [
            _finding.Finding('LOST', clause, cut.at, (cut.sent.request,))
            for clause, found in by_clause.items()
            for cut in found
        ]

    def _is_closed_in_touch(self, attempt: _attempts.Attempt) -> bool:
        ended = attempt.ended
        if ended is None or ended.how is not _terms.End.closed:
            return False
        machine = attempt.sent.machine
        return (
            not ended.status
            and self._disruptions.in_touch(machine, ended.at)
            and any(self._is_sound(run, ended.at) for run in attempt.runs)
        )

    def _is_sound(self, run: _attempts.Run, at: float) -> bool:
        """Whether the endpoint of a run did not break off, and is reached."""
        return not run.broke_off and not self._disruptions.hurts(
            run.ran.endpoint, run.ran.at - self._bounds.stable_window_s, at
        )

    def _is_cut(
        self, attempt: _attempts.Attempt, ended: _history.Ended
    ) -> bool:
        """Whether an attempt was read, ends without answer, and has no excuse.

        An endpoint's own end, a deadline and unplanned disruptions excuse it.
        """
        sent = attempt.sent
        held_s = ended.at - sent.at
        if ended.how is not _terms.End.closed or held_s >= sent.time_s:
            return False
        read = bool(attempt.runs) or held_s > self._bounds.loss_slack_s
        return (
            read
            and all(self._is_sound(run, ended.at) for run in attempt.runs)
            and not self._is_disrupted(sent, ended.at)
            and not self._is_late_in_grace(attempt, ended.at)
        )

    def _is_disrupted(self, sent: _history.Sent, last: float) -> bool:
        """Whether an unplanned disruption accounts for the end."""
        first = sent.at - self._bounds.stable_window_s
        places = [sent.machine]
        if sent.keyed or sent.kind not in _KINDS_WITHOUT_STORE:
            places.append(_history.STORE)
        return any(
            self._disruptions.hurts(place, first, last, unplanned_only=True)
            for place in places
        )

    def _is_late_in_grace(
        self, attempt: _attempts.Attempt, cut_at: float
    ) -> bool:
        """Whether an endpoint still worked on it as the grace time ran out."""
        cut = _planned.Cut(attempt.sent, cut_at)
        signal = self._planned.terminated(cut)
        if signal is None or attempt.sent.at > signal + _EARLY_S:
            return False
        first = signal + self._bounds.grace_s * _LAST_SHARE
        last = signal + self._bounds.grace_s
        return any(run.active(first, last) for run in attempt.runs)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge all clauses."""
    lost = Lost(history)
    return [*lost.kept(), *lost.planned(), *_Resumed(history).judge()]


class _Resumed:
    """Judges streams that clients take up again against new ones."""

    def __init__(self, history: _history.History) -> None:
        self._attempts = _attempts.Attempts(history)
        self._disruptions = _disruptions.Disruptions(history)
        self._listings = _listings.Listings(history)
        self._first_runs = {
            attempt.sent.request: attempt.events[0].run
            for attempt in self._attempts.all
            if attempt.events
        }

    def judge(self) -> list[_finding.Finding]:
        """Compare the shares of both that bring an event."""
        streams = [one for one in self._attempts.all if self._counts(one)]
        new = [one for one in streams if not one.sent.resumes]
        resumed = [
            one
            for one in streams
            if one.sent.resumes and self._may_go_on(one.sent)
        ]
        if len(resumed) < _LEAST_RESUMED:
            return []
        if _share(resumed) >= _LEAST_SHARE * _share(new):
            return []
        return _found(
            'resumed streams', [one for one in resumed if not one.events], 0
        )

    def _counts(self, attempt: _attempts.Attempt) -> bool:
        """Whether it is a stream whose end was seen, at a machine in touch."""
        return (
            attempt.is_stream
            and attempt.ended is not None
            and self._disruptions.in_touch(
                attempt.sent.machine, attempt.sent.at
            )
        )

    def _may_go_on(self, sent: _history.Sent) -> bool:
        """Whether enough endpoints of the stream's version serve."""
        run = self._attempts.runs.get(self._first_runs.get(sent.resumes, ''))
        began = run and self._listings.of(run.ran.endpoint, run.ran.at)
        serving = [
            state
            for state in self._listings.all(sent.at)
            if began
            and state.ready
            and _is_like(state, began)
            and not self._disruptions.hurts(state.endpoint, sent.at, sent.at)
        ]
        return len(serving) >= _LEAST_SERVING


def _is_like(one: _history.Listed, other: _history.Listed) -> bool:
    """Whether two endpoints have one service and software version."""
    return (one.service, one.version) == (other.service, other.version)


def _share(streams: list[_attempts.Attempt]) -> float:
    begun = sum(bool(one.events) for one in streams)
    return begun / max(len(streams), 1)


def _found(
    clause: str, attempts: list[_attempts.Attempt], most: int
) -> list[_finding.Finding]:
    if len(attempts) <= most:
        return []
    ends = [one.ended.at for one in attempts if one.ended]
    requests = tuple(one.sent.request for one in attempts)
    return [_finding.Finding('LOST', clause, max(ends), requests)]
