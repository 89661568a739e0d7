"""The observations of a history, gathered by the attempts of clients."""

import dataclasses

from soak import _history, _terms


@dataclasses.dataclass(slots=True)
class Run:
    """Work of an endpoint on an attempt."""

    ran: _history.Ran
    """Its begin."""

    worked: _history.Worked | None = None
    """Its end, if it was seen."""

    @property
    def broke_off(self) -> bool:
        """Whether its endpoint ended it."""
        ends = (_terms.Work.broken, _terms.Work.crashed)
        return self.worked is not None and self.worked.how in ends

    def active(self, first: float, last: float) -> bool:
        """Whether it was at work in that span."""
        return self.ran.at <= last and (
            self.worked is None or self.worked.at >= first
        )


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt of a client."""

    sent: _history.Sent
    """Its request."""

    events: list[_history.Got] = dataclasses.field(default_factory=list)
    """Events that it brought."""

    runs: list[Run] = dataclasses.field(default_factory=list)
    """Work on it."""

    ended: _history.Ended | None = None
    """Its end, if it was seen."""

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a series of events."""
        kinds = (_terms.Kind.stream, _terms.Kind.resumable)
        return self.sent.kind in kinds

    @property
    def stream(self) -> str:
        """Attempt that began the stream."""
        return self.sent.resumes or self.sent.request


class Attempts:
    """All attempts and runs of a history."""

    def __init__(self, history: _history.History) -> None:
        self._gathered: dict[str, Attempt] = {}
        self.runs: dict[str, Run] = {}
        self._ran_early: dict[str, list[Run]] = {}
        for observation in history.observations:
            self._gather(observation)

    @property
    def all(self) -> tuple[Attempt, ...]:
        """Attempts in the order in which they were sent."""
        return tuple(self._gathered.values())

    def _gather(self, observation: _history.Observation) -> None:
        match observation:
            case _history.Sent(request=request):
                early = self._ran_early.pop(request, [])
                self._gathered[request] = Attempt(observation, runs=early)
            case _history.Got(request=request) if request in self._gathered:
                self._gathered[request].events.append(observation)
            case _history.Ended(request=request) if request in self._gathered:
                self._gathered[request].ended = observation
            case _history.Ran():
                self._add_run(Run(observation))
            case _history.Worked(run=name) if name in self.runs:
                self.runs[name].worked = observation

    def _add_run(self, run: Run) -> None:
        """Add a run; it may begin before its client has noted the request."""
        self.runs[run.ran.run] = run
        attempt = self._gathered.get(run.ran.request)
        if attempt:
            attempt.runs.append(run)
        else:
            early = self._ran_early.setdefault(run.ran.request, [])
            early.append(run)
