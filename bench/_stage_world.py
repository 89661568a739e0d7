"""Stage endpoints and engines for the experiment ``peak``."""

import dataclasses

from bench import _events
from lentilspool import serving

# Time of a call that an endpoint refuses, and of a free call.
_QUICK_S = 0.002
_OUTPUT_S = 0.6
_PREFILL_TOKENS_PER_S = 60_000


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the requests."""

    asked: float = 0
    """Worth of all requests."""

    on_time: float = 0
    """Worth of those that were on time."""

    requests: int = 0
    """Number of requests."""

    late: int = 0
    """Requests whose first event came after their target."""

    refused: int = 0
    """Requests that were given up."""

    spent_s: float = 0
    """Seconds of the endpoints' work."""

    wasted_s: float = 0
    """Seconds of it for requests that were given up."""


class Endpoints:
    """Stage endpoints: one call at a time, two more may wait."""

    def __init__(
        self,
        queue: _events.EventQueue,
        limits: serving.BatchLimits,
        slow: dict[str, float],
    ) -> None:
        self._queue = queue
        self._limits = limits
        self._slow = slow
        self._free_at: dict[str, float] = {}
        self._open: dict[str, int] = {}

    def begin(self, name: str, pieces: int) -> tuple[float, bool]:
        """Return when a call ends, and whether it runs."""
        now = self._queue.now
        if self._open.get(name, 0) > self._limits.queue:
            return now + _QUICK_S, False
        self._open[name] = self._open.get(name, 0) + 1
        work_s = self._limits.call_s + pieces * self._limits.piece_s
        work_s *= self._slow.get(name, 1)
        ends_at = max(self._free_at.get(name, 0), now) + work_s
        self._free_at[name] = ends_at
        return ends_at, True

    def ended(self, name: str) -> None:
        """Take in the end of a call that ran."""
        self._open[name] -= 1


class Gateway:
    """A planner, its calls, and what became of its requests."""

    def __init__(
        self,
        queue: _events.EventQueue,
        endpoint_index: serving.EndpointIndex,
        services: dict[str, serving.Service],
        limits: serving.PlanLimits,
    ) -> None:
        self._queue = queue
        self._planner = serving.Planner(endpoint_index, limits)
        self._planner.configure(services)
        self.endpoints: dict[str, Endpoints] = {}
        self.tally = Tally()
        self._plan_requests: dict[
            str, tuple[serving.PlanRequest, float, float]
        ] = {}
        self._spent: dict[str, float] = {}

    def submit(self, plan_request: serving.PlanRequest, worth: float) -> None:
        """Take a request."""
        self._plan_requests[plan_request.key] = (
            plan_request,
            worth,
            self._queue.now,
        )
        self.tally.asked += worth
        self.tally.requests += 1
        self._planner.submit(plan_request, self._queue.now)
        self.step()

    def step(self) -> None:
        """Carry out what the planner orders."""
        for action in self._planner.step(self._queue.now):
            if isinstance(action, serving.StartCall):
                self._call(action)
            elif isinstance(action, serving.FreeResults):
                self._free(action.number)
            elif isinstance(action, serving.RunAt):
                self._run(action.key)
            elif isinstance(action, serving.Refuse):
                self.tally.refused += 1
                self.tally.wasted_s += self._spent.pop(action.key, 0)

    def _call(self, call: serving.StartCall) -> None:
        endpoints = self.endpoints[call.endpoint.service]
        name = call.endpoint.name
        ends_at, runs = endpoints.begin(name, len(call.pieces))
        if runs:
            self._charge(call, ends_at - self._queue.now)

        def ended() -> None:
            made = None
            if runs:
                endpoints.ended(name)
                made = tuple(
                    serving.PieceResult(f'{name}/{call.number}/{index}')
                    for index, _ in enumerate(call.pieces)
                )
            self._planner.call_ended(
                call.number, made, self._queue.now, ran=runs
            )
            self.step()

        self._queue.at(ends_at, ended)

    def _charge(self, call: serving.StartCall, seconds: float) -> None:
        self.tally.spent_s += seconds
        share_s = seconds / len(call.pieces)
        for piece in call.pieces:
            key = piece.request_id
            self._spent[key] = self._spent.get(key, 0) + share_s

    def _free(self, number: int) -> None:
        def freed() -> None:
            self._planner.results_freed(number)
            self.step()

        self._queue.after(_QUICK_S, freed)

    def _run(self, key: str) -> None:
        plan_request, worth, arrived_at = self._plan_requests[key]
        tokens = plan_request.prompt.input_tokens if plan_request.prompt else 0
        first_s = (
            0.02 + (tokens - plan_request.shared_tokens) / _PREFILL_TOKENS_PER_S
        )

        def started() -> None:
            if self._queue.now - arrived_at <= plan_request.target_s:
                self.tally.on_time += worth
            else:
                self.tally.late += 1
            self._planner.first_event_seen(key, self._queue.now)
            self.step()
            self._queue.after(_OUTPUT_S, ended)

        def ended() -> None:
            self._planner.engine_ended(key, self._queue.now)
            self.step()

        self._queue.after(first_s, started)
