"""When machines, endpoints and the store are disrupted, and who is in touch."""

import collections
import dataclasses
import itertools
import math
from typing import Final

from soak import _history, _terms

# The platform's figure.
_OWN_END_S: Final = 1.0


@dataclasses.dataclass(slots=True)
class Span:
    """A span of time in which a place is disrupted."""

    begin: float
    """Its begin."""

    end: float = math.inf
    """Its end."""

    planned: bool = False
    """Whether it belongs to planned work."""


class Disruptions:
    """Spans of disruption by place."""

    def __init__(self, history: _history.History) -> None:
        self._bounds = history.bounds
        self._spans: dict[str, list[Span]] = collections.defaultdict(list)
        self._open: dict[tuple[str, str], Span] = {}
        self._ended_alone: set[str] = set()
        for observation in history.observations:
            if isinstance(observation, _history.Process):
                self._process(observation)
            elif isinstance(observation, _history.Disrupted):
                self._link(observation)

    def hurts(
        self,
        place: str,
        first: float,
        last: float,
        *,
        unplanned_only: bool = False,
    ) -> bool:
        """Whether the place is disrupted at some moment of a span."""
        return any(
            span.begin <= last and span.end >= first
            for span in self._spans[place]
            if not (unplanned_only and span.planned)
        )

    def holds_up(self, endpoint: str, at: float) -> bool:
        """Whether a request may be late as the link was harmed shortly ago."""
        first = at - self._bounds.stable_window_s
        return self.hurts(endpoint, first, at)

    def in_touch(self, machine: str, at: float) -> bool:
        """Whether a machine and the store were calm long enough."""
        first = at - self._bounds.stable_window_s
        return not any(
            self.hurts(place, first, at) for place in (machine, _history.STORE)
        )

    def is_calm(self, at: float) -> bool:
        """Whether nothing is disrupted at a moment, but for planned work.

        What is gone for good counts for the stable window.
        """
        window_s = self._bounds.stable_window_s
        spans = itertools.chain.from_iterable(self._spans.values())
        return not any(
            span.begin <= at <= span.end
            and (span.end < math.inf or at <= span.begin + window_s)
            for span in spans
            if not span.planned
        )

    def last(self) -> Span | None:
        """Return the span of machines or endpoints that ends last.

        A span without an end is that of a process or endpoint that is gone.
        """
        spans = [
            Span(span.begin, span.begin if span.end == math.inf else span.end)
            for place, of_place in self._spans.items()
            for span in of_place
            if place != _history.STORE
        ]
        return max(spans, key=lambda span: span.end, default=None)

    def _link(self, seen: _history.Disrupted) -> None:
        if seen.how in {_terms.QUIET, _terms.SLOW}:
            return
        if seen.over:
            self._shut(seen.place, seen.how, seen.at)
        else:
            self._begin(seen.place, seen.how, Span(seen.at))

    def _process(self, seen: _history.Process) -> None:
        machine = seen.machine
        stop = self._open.get((machine, 'stop'))
        match seen.change:
            case _terms.Change.paused:
                self._begin(machine, 'pause', Span(seen.at))
            case _terms.Change.resumed:
                self._shut(machine, 'pause', seen.at)
            case _terms.Change.killed:
                late = stop is not None and (
                    seen.at >= stop.begin + self._bounds.grace_s
                )
                self._begin(machine, 'kill', Span(seen.at, planned=late))
            case _terms.Change.terminated:
                self._begin(machine, 'stop', Span(seen.at, planned=True))
            case _terms.Change.ended if not self._is_stopping(machine):
                self._end(machine, seen.at)
            case _terms.Change.started:
                self._start(machine, seen.at)

    def _end(self, machine: str, at: float) -> None:
        """Note a process that ended by itself.

        It counts as running on, unless a disruption may have ended it.
        """
        if self.hurts(machine, at - _OWN_END_S, at):
            self._begin(machine, 'kill', Span(at))
        else:
            self._ended_alone.add(machine)

    def _is_stopping(self, machine: str) -> bool:
        return any((machine, how) in self._open for how in ('kill', 'stop'))

    def _start(self, machine: str, at: float) -> None:
        """Close what a new process ends; a start is a disruption itself."""
        cause = self._open.get((machine, 'kill'))
        cause = cause or self._open.get((machine, 'stop'))
        planned = cause is not None and cause.planned
        for how in ('kill', 'stop', 'pause'):
            self._shut(machine, how, at)
        if machine in self._ended_alone:
            self._ended_alone.discard(machine)
        else:
            self._spans[machine].append(Span(at, at, planned=planned))

    def _begin(self, place: str, how: str, span: Span) -> None:
        if (place, how) not in self._open:
            self._open[place, how] = span
            self._spans[place].append(span)

    def _shut(self, place: str, how: str, at: float) -> None:
        span = self._open.pop((place, how), None)
        if span:
            span.end = at
