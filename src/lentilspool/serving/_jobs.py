"""State of one request while its stages run."""

import dataclasses
import functools
from collections.abc import Iterable

from lentilspool.serving import _inputs, _plan_types, _stage_graph, _stage_state


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """Place of a request among those that wait."""

    late: bool = False
    """Whether it can no longer be on time, and has had no work yet."""

    priority: int = 0
    """Rank of the request; 0 goes first."""

    worth_rate_log2: int = 0
    """Worth for each second of work, as a power of two."""

    due_at: float = 0
    """When it should have its first event."""

    def key(self, delay_s: float = 0) -> tuple[bool, int, int, float]:
        """Return the key to sort by; a delay puts it behind its equals."""
        return (
            self.late,
            self.priority,
            -self.worth_rate_log2,
            self.due_at + delay_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalEstimate:
    """What is expected of a request when it arrives."""

    worth: float = 0
    """Worth of an answer on time, in tokens."""

    worth_rate_log2: int = 0
    """Worth for each second of work, as a power of two."""

    after_stage_s: tuple[float, ...] = ()
    """Time from the end of each stage to the first event, without waits."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far the stages of a request have come."""

    done: bool
    """Whether all stages are done."""

    ready_stages: tuple[int, ...]
    """Stages with waiting pieces whose inputs are complete."""

    waiting: dict[str, int]
    """Waiting pieces of each service."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartEstimate:
    """What was expected of a request when its first pieces were sent."""

    at: float = 0
    """When that was."""

    left_s: float = 0
    """Time from then to the first event; 0 if nothing was expected."""


@dataclasses.dataclass(slots=True)
class EstimateCache:
    """Times that depend on how far the stages have come, once computed."""

    min_remaining_s: float | None = None
    """Time to the first event if nothing has to wait."""

    others_remaining_s: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    """Time until all stages but one are done, by the number of that one."""


class Job:
    """A request that the planner works on."""

    def __init__(self, ask: _plan_types.PlanAsk, now: float) -> None:
        self.ask = ask
        self.arrived_at = now
        self.stages = [
            _stage_state.StageState(stage, self._stage_changed)
            for stage in ask.stages
        ]
        self.begun = False
        self.closed = False
        self.arrival_estimate = ArrivalEstimate()
        # Zone in which large results are made; empty until it is settled.
        self.zone = ''
        self.rank = Rank()
        self.input_reruns = 0
        self.start_estimate = StartEstimate()
        # What was computed of the stages, until one of them changes.
        self.estimate_cache = EstimateCache()
        self._progress: Progress | None = None

    @property
    def target_at(self) -> float:
        """When the caller wants the first event."""
        return self.arrived_at + self.ask.target_s

    @property
    def deadline_at(self) -> float:
        """When the caller stops waiting."""
        return self.arrived_at + self.ask.deadline_s

    @functools.cached_property
    def stage_graph(self) -> _stage_graph.StageGraph:
        """Structure of the stages."""
        return _stage_graph.StageGraph(self.ask.stages)

    @property
    def progress(self) -> Progress:
        """How far the stages have come."""
        if self._progress is None:
            self._progress = self._compute_progress()
        return self._progress

    @property
    def ready_stages(self) -> tuple[int, ...]:
        """Stages with waiting pieces whose inputs are complete."""
        return self.progress.ready_stages

    @property
    def done(self) -> bool:
        """Whether all stages are done."""
        return self.progress.done

    @property
    def results(self) -> tuple[str, ...]:
        """Handles of the stages that no other stage reads."""
        handles: list[str] = []
        for number in self.stage_graph.final_stages:
            handles.extend(self.handles(number))
        return tuple(handles)

    @property
    def result_sizes(self) -> dict[str, float]:
        """Bytes of all results by the availability zone of their maker."""
        return _sizes_by_zone(self.stages)

    def handles(self, number: int) -> tuple[str, ...]:
        """Return the handles of a stage, in the order of its pieces."""
        held = self.stages[number].held
        return tuple(held[piece].handle for piece in sorted(held))

    def inputs(self, number: int) -> tuple[str, ...]:
        """Return the handles that the pieces of a stage read."""
        handles: list[str] = []
        for earlier in self.stages[number].ask.after:
            handles.extend(self.handles(earlier))
        return tuple(handles)

    def zone_of(self, number: int) -> str:
        """Return the zone in which a stage is best run; empty for any."""
        traffic = self.stage_graph.traffics[number]
        if traffic.read_bytes <= traffic.written_bytes:
            return self.zone
        after = self.stages[number].ask.after
        sizes = _sizes_by_zone([self.stages[earlier] for earlier in after])
        return max(sizes, key=lambda zone: sizes[zone], default=self.zone)

    def drop_results(
        self, numbers: Iterable[int]
    ) -> list[_stage_state.HeldResult]:
        """Forget the results of stages; return them, to be freed."""
        dropped: list[_stage_state.HeldResult] = []
        for number in numbers:
            dropped.extend(self.stages[number].forget_results())
        return dropped

    def rerun_stage(self, number: int) -> list[_stage_state.HeldResult]:
        """Queue all pieces of a stage again; return its old results."""
        stage = self.stages[number]
        dropped = list(stage.held.values())
        self.stages[number] = _stage_state.StageState(
            stage.ask, self._stage_changed
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
                name = one.ask.service
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
