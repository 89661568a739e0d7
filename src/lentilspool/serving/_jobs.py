"""State of one request until an engine runs it."""

import dataclasses
import functools
from collections.abc import Iterable

from lentilspool.serving import _inputs, _plan_types, _stage_graph, _stage_state


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """Position of a request in dispatch order."""

    late: bool = False
    """Whether it can no longer be on time and has not begun."""

    priority: int = 0
    """Priority of the request; 0 is the highest."""

    worth_rate_log2: int = 0
    """Rounded base-2 logarithm of the worth per second of work."""

    due_at: float = 0
    """Target of the first event, or the deadline if it is late."""

    def key(self, delay_s: float = 0) -> tuple[bool, int, int, float]:
        """Return the sort key; a delay moves it back among equal ranks."""
        return (
            self.late,
            self.priority,
            -self.worth_rate_log2,
            self.due_at + delay_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalEstimate:
    """Estimate for a request at its arrival."""

    worth: float = 0
    """Worth of an on-time answer, in tokens."""

    worth_rate_log2: int = 0
    """Rounded base-2 logarithm of the worth per second of work."""

    after_stage_s: tuple[float, ...] = ()
    """Seconds from the end of each stage to the first event, without waits."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Progress of the stages of a request."""

    done: bool
    """Whether all stages are done."""

    ready_stages: tuple[int, ...]
    """Stages with waiting pieces whose inputs are available."""

    waiting: dict[str, int]
    """Number of waiting pieces by service."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartEstimate:
    """Estimate for a request at the time its first pieces were sent."""

    at: float = 0
    """When the estimate was made."""

    left_s: float = 0
    """Expected seconds until the first event; 0 if there is no estimate."""


@dataclasses.dataclass(slots=True)
class EstimateCache:
    """Cached times that are valid until a stage of the request changes."""

    min_remaining_s: float | None = None
    """Seconds until the first event if nothing has to wait."""

    others_remaining_s: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    """Seconds until all other stages are done, by stage number."""


class Job:
    """A request that the planner handles."""

    def __init__(
        self, plan_request: _plan_types.PlanRequest, now: float
    ) -> None:
        self.plan_request = plan_request
        self.arrived_at = now
        self.stages = [
            _stage_state.StageState(stage, self._stage_changed)
            for stage in plan_request.stages
        ]
        self.begun = False
        self.closed = False
        # Whether it may not share a call or an engine with another suspect.
        self.runs_apart = False
        self.arrival_estimate = ArrivalEstimate()
        # Zone in which large results are made; empty until it is decided.
        self.zone = ''
        self.rank = Rank()
        self.input_reruns = 0
        self.start_estimate = StartEstimate()
        # Both are reset when a stage changes.
        self.estimate_cache = EstimateCache()
        self._progress: Progress | None = None

    @property
    def target_at(self) -> float:
        """When the caller wants the first event."""
        return self.arrived_at + self.plan_request.target_s

    @property
    def deadline_at(self) -> float:
        """When the caller stops waiting for the answer."""
        return self.arrived_at + self.plan_request.deadline_s

    @functools.cached_property
    def stage_graph(self) -> _stage_graph.StageGraph:
        """Dependencies between the stages."""
        return _stage_graph.StageGraph(self.plan_request.stages)

    @property
    def progress(self) -> Progress:
        """Progress of the stages."""
        if self._progress is None:
            self._progress = self._compute_progress()
        return self._progress

    @property
    def ready_stages(self) -> tuple[int, ...]:
        """Stages with waiting pieces whose inputs are available."""
        return self.progress.ready_stages

    @property
    def done(self) -> bool:
        """Whether all stages are done."""
        return self.progress.done

    @property
    def in_flight(self) -> bool:
        """Whether any piece is in an open call."""
        return any(stage.in_flight for stage in self.stages)

    @property
    def results(self) -> tuple[str, ...]:
        """Handles of the results that the engine reads."""
        handles: list[str] = []
        for number in self.stage_graph.final_stages:
            handles.extend(self.handles(number))
        return tuple(handles)

    @property
    def result_sizes(self) -> dict[str, float]:
        """Bytes of all results by the zone of the endpoint that holds them."""
        return _sizes_by_zone(self.stages)

    def has_waited(self, seconds: float, now: float) -> bool:
        """Whether it waited for longer without any of its pieces sent."""
        return not self.begun and now - self.arrived_at > seconds

    def handles(self, number: int) -> tuple[str, ...]:
        """Return the result handles of a stage, in the order of its pieces."""
        held = self.stages[number].held
        return tuple(held[piece].handle for piece in sorted(held))

    def inputs(self, number: int) -> tuple[str, ...]:
        """Return the handles of the results that the pieces of a stage read."""
        handles: list[str] = []
        for earlier in self.stages[number].stage_request.after:
            handles.extend(self.handles(earlier))
        return tuple(handles)

    def zone_of(self, number: int) -> str:
        """Return the zone in which a stage should run; empty for any.

        A stage that reads more than it writes should run where its inputs
        are; others where the zone of the request is.
        """
        traffic = self.stage_graph.traffics[number]
        if traffic.read_bytes <= traffic.written_bytes:
            return self.zone
        after = self.stages[number].stage_request.after
        sizes = _sizes_by_zone([self.stages[earlier] for earlier in after])
        return max(sizes, key=lambda zone: sizes[zone], default=self.zone)

    def drop_results(
        self, numbers: Iterable[int]
    ) -> list[_stage_state.HeldResult]:
        """Remove the results of stages and return them to be freed."""
        dropped: list[_stage_state.HeldResult] = []
        for number in numbers:
            dropped.extend(self.stages[number].forget_results())
        return dropped

    def rerun_stage(self, number: int) -> list[_stage_state.HeldResult]:
        """Queue all pieces of a stage again and return its old results."""
        stage = self.stages[number]
        dropped = list(stage.held.values())
        self.stages[number] = _stage_state.StageState(
            stage.stage_request, self._stage_changed
        )
        self._stage_changed()
        return dropped

    def _stage_changed(self) -> None:
        self._progress = None
        self.estimate_cache = EstimateCache()

    def _compute_progress(self) -> Progress:
        waiting: dict[str, int] = {}
        for one in self.stages:
            if one.waiting:
                name = one.stage_request.service
                waiting[name] = waiting.get(name, 0) + len(one.waiting)
        ready = tuple(
            number
            for number, stage in enumerate(self.stages)
            if stage.waiting and _inputs.are_held(self.stages, number)
        )
        done = all(stage.done for stage in self.stages)
        return Progress(done, ready, waiting)


def _sizes_by_zone(
    stages: Iterable[_stage_state.StageState],
) -> dict[str, float]:
    sizes: dict[str, float] = {}
    for stage in stages:
        for held in stage.held.values():
            sizes[held.zone] = sizes.get(held.zone, 0) + held.size
    return sizes
