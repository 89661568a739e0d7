"""Histories of a few lines, for tests of judges."""

import dataclasses
import itertools
from collections.abc import Sequence

from soak import _history, _history_head, _terms
from soak.judges import _finding

EVENTS = 4
Lines = list[_history.Observation]
Clauses = list[tuple[str, tuple[str, ...]]]


def history(*parts: Sequence[_history.Observation]) -> _history.History:
    """Return the history of all lines, ordered by time."""
    lines = list(itertools.chain.from_iterable(parts))
    lines.sort(key=lambda one: one.at)
    return _history.History(_history_head.Bounds(), tuple(lines))


def clauses(
    judge: _finding.Judge, *parts: Sequence[_history.Observation]
) -> Clauses:
    """Return clauses that are broken, and by which requests."""
    return [(one.clause, one.requests) for one in judge(history(*parts))]


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A request at machine m that ends without an answer."""

    request: str = 'req'
    at: float = 10
    held_s: float = 1
    passed_on: bool = True
    work: _terms.Work = _terms.Work.dropped
    kind: _terms.Kind = _terms.Kind.unsafe
    kept: bool = False
    time_s: float = 20
    how: _terms.End = _terms.End.closed

    @property
    def lines(self) -> Lines:
        """What is seen of it."""
        last = self.at + self.held_s
        sent = _history.Sent(
            self.at,
            self.request,
            'm',
            'route',
            self.kind,
            self.time_s,
            team='team',
            kept=self.kept,
        )
        ended = _history.Ended(last, self.request, self.how)
        run = f'e/{self.request}'
        ran = _history.Ran(self.at, self.request, run, 'e', team='team')
        worked = _history.Worked(last, run, self.work)
        return [sent, ended, ran, worked] if self.passed_on else [sent, ended]

    def times(self, count: int) -> Lines:
        """Return the lines of several such requests, shortly one by one."""
        cuts = (
            dataclasses.replace(
                self, request=f'{self.request}{index}', at=self.at + index / 100
            )
            for index in range(count)
        )
        return list(itertools.chain.from_iterable(one.lines for one in cuts))


def answered(count: int, at: float) -> Lines:
    """Return requests at machine m that are answered."""
    lines: Lines = []
    for index in range(count):
        name = f'answered{index}-{at}'
        kind = _terms.Kind.unsafe
        whole = _terms.End.whole
        lines += [
            _history.Sent(at, name, 'm', 'route', kind, 20),
            _history.Ended(at, name, whole, 200, 'e'),
        ]
    return lines


def signal(at: float, change: _terms.Change) -> Lines:
    """Return a signal to machine m."""
    return [_history.Process(at, 'm', change)]


def listed(endpoint: str, version: str, at: float = 0) -> _history.Listed:
    """Return the entry of an endpoint that is ready."""
    return _history.Listed(at, endpoint, 'model', version, ready=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream at machine m, its events as number and endpoint."""

    request: str
    at: float
    events: tuple[tuple[int, str], ...]
    kind: _terms.Kind = _terms.Kind.resumable
    how: _terms.End = _terms.End.whole
    after: int = 0
    resumes: str = ''

    @property
    def lines(self) -> Lines:
        """What is seen of it."""
        sent = _history.Sent(
            self.at,
            self.request,
            'm',
            'route',
            self.kind,
            20,
            after=self.after,
            resumes=self.resumes,
        )
        lines: Lines = [sent]
        begun: dict[str, int] = {}
        for number, endpoint in self.events:
            run = f'{endpoint}/{self.request}'
            if endpoint not in begun:
                begun[endpoint] = number - 1
                ran = _history.Ran(
                    self.at, self.request, run, endpoint, number - 1, EVENTS
                )
                lines.append(ran)
            lines.append(_history.Got(self.at, self.request, number, run))
        status = 200 if self.events else 0
        ended = _history.Ended(self.at, self.request, self.how, status)
        return [*lines, ended]
