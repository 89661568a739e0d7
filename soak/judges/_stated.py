"""BUDGET and DRAIN: endpoints that ask a machine for rest, or leave."""

from collections.abc import Callable, Iterator
from typing import Final

from soak import _history
from soak.judges import _disruptions, _finding, _senders

# The platform's figures.
_UNDER_WAY_S: Final = 0.5
_MOST_IN_REST: Final = 2
# Answers to requests that one machine has sent to one endpoint.
_Answers = list[_history.Answered]
# Whether an answer is to a request that came too late after another answer.
_IsLate = Callable[[_history.Answered, _history.Answered], bool]


def judge(history: _history.History) -> list[_finding.Finding]:
    """Judge both clauses."""
    stated = _Stated(history)
    return [*stated.rests(), *stated.leaving()]


class _Stated:
    """Judges one history."""

    def __init__(self, history: _history.History) -> None:
        self._drain_s = history.bounds.drain_s
        self._disruptions = _disruptions.Disruptions(history)
        self._senders = _senders.Senders(history)
        self._sent_at = {
            seen.request: seen.at
            for seen in history.observations
            if isinstance(seen, _history.Sent)
        }
        # Calls of pieces are left out: which machine plans is not seen.
        self._answers: dict[tuple[str, str], _Answers] = {}
        for endpoint, answers in _senders.answers_by_endpoint(history).items():
            for answer in answers:
                machine = self._senders.machine(answer.request)
                if machine != _senders.PLANNER:
                    key = (endpoint, machine)
                    self._answers.setdefault(key, []).append(answer)

    def rests(self) -> list[_finding.Finding]:
        """Find requests that a machine sends into a rest."""
        return [
            _found('BUDGET', 'rest', late)
            for late in self._late(_is_in_rest, _MOST_IN_REST)
        ]

    def leaving(self) -> list[_finding.Finding]:
        """Find requests that a machine sends to an endpoint that leaves."""
        return [
            _found('DRAIN', 'stated leaving', late)
            for late in self._late(self._is_after_leaving, 0)
        ]

    def _late(self, is_late: _IsLate, allowed: int) -> Iterator[_Answers]:
        """Return the late requests of machines that send too many."""
        for (_, machine), answers in self._answers.items():
            for stated in answers:
                late = [
                    one
                    for one in answers
                    if is_late(stated, one)
                    and not self._disruptions.hurts(
                        machine, stated.at, one.arrived_at
                    )
                ]
                if len(late) > allowed:
                    yield late
                    break

    def _is_after_leaving(
        self, stated: _history.Answered, answer: _history.Answered
    ) -> bool:
        sent_at = self._sent_at[answer.request]
        return stated.leaving and sent_at > stated.at + self._drain_s


def _is_in_rest(stated: _history.Answered, answer: _history.Answered) -> bool:
    begin = stated.at + _UNDER_WAY_S
    return begin < answer.arrived_at < stated.at + stated.rest_s


def _found(rule: str, clause: str, late: _Answers) -> _finding.Finding:
    requests = tuple(one.request for one in late)
    return _finding.Finding(rule, clause, late[-1].at, requests)
