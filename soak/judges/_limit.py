"""LIMIT: endpoints get no more than they state that they take."""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator
from typing import Final

from soak import _history
from soak.judges import _disruptions, _finding, _senders

# The platform's figures.
_WINDOW_S: Final = 4.0
_FACTOR: Final = 1.5
_SLACK: Final = 5
_TOLD_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Span:
    """Answers of an endpoint in a row that state a limit."""

    answers: tuple[_history.Answered, ...]
    """The answers, in the order in which they began."""

    end: float
    """When the next answer without a limit began."""

    @property
    def most_per_s(self) -> float:
        """Highest limit that is stated."""
        return max(one.limit_per_s or 0 for one in self.answers)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Find windows in which an endpoint gets too many requests."""
    limits = _Limits(history)
    found = (
        limits.first_excess(span)
        for answers in _senders.answers_by_endpoint(history).values()
        for span in _spans(answers)
    )
    return [one for one in found if one is not None]


def _spans(answers: Iterable[_history.Answered]) -> Iterator[_Span]:
    """Return the spans of an endpoint's answers that state limits."""
    groups = [
        (limited, tuple(group))
        for limited, group in itertools.groupby(
            answers, lambda one: one.limit_per_s is not None
        )
    ]
    following = [*groups[1:], (False, ())]
    for (limited, group), (_, after) in zip(groups, following, strict=True):
        if limited:
            yield _Span(group, after[0].at if after else math.inf)


class _Limits:
    """Judges the spans of one history."""

    def __init__(self, history: _history.History) -> None:
        self._stable_s = history.bounds.stable_window_s
        self._disruptions = _disruptions.Disruptions(history)
        self._senders = _senders.Senders(history)

    def first_excess(self, span: _Span) -> _finding.Finding | None:
        """Return the first window that holds too many requests."""
        told: dict[str, float] = {}
        for answer in span.answers:
            told.setdefault(self._senders.machine(answer.request), answer.at)
        begin = span.answers[0].at + self._stable_s
        counted = sorted(
            one.arrived_at
            for one in span.answers
            if begin <= one.arrived_at < span.end and self._counts(one, told)
        )
        allowed = _FACTOR * span.most_per_s * _WINDOW_S + _SLACK
        for index, first in enumerate(counted):
            window = [at for at in counted[index:] if at < first + _WINDOW_S]
            if len(window) > allowed:
                requests = tuple(
                    one.request
                    for one in span.answers
                    if first <= one.arrived_at <= window[-1]
                )
                return _finding.Finding('LIMIT', 'window', window[-1], requests)
        return None

    def _counts(
        self, answer: _history.Answered, told: dict[str, float]
    ) -> bool:
        """Whether its sender was told, and has not been disrupted since."""
        machine = self._senders.machine(answer.request)
        told_at = told[machine]
        return told_at + _TOLD_S <= answer.arrived_at and not any(
            self._disruptions.hurts(place, told_at, answer.arrived_at)
            for place in self._senders.places(machine)
        )
