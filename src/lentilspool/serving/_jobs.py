"""State of one request while its stages run."""

import dataclasses
from collections.abc import Callable

from lentilspool.serving import _plan_types


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A result that lies at its maker."""

    handle: str
    """Name of the result."""

    lane: str
    """Incarnation of the endpoint that made it."""

    address: str
    """Address of that endpoint."""

    size: float
    """Bytes that it takes up there."""

    expires_at: float
    """When the maker drops it."""

    zone: str
    """Availability zone of the maker."""


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes that travel for one piece of a stage."""

    read: float
    """Results of other stages that it reads."""

    written: float
    """Its own result, once for each piece that reads it."""

    @property
    def total(self) -> float:
        """All of them."""
        return self.read + self.written


class StageState:
    """Pieces of one stage: waiting, in calls, and done.

    ``changed`` is called after each change.
    """

    def __init__(
        self, ask: _plan_types.StageAsk, changed: Callable[[], None]
    ) -> None:
        self.ask = ask
        self.waiting = list(range(ask.pieces))
        self.flying: dict[int, int] = {}
        self.held: dict[int, Held] = {}
        self.freed = False
        self._changed = changed

    @property
    def done(self) -> bool:
        """Whether every piece has, or had, a result."""
        return self.freed or len(self.held) == self.ask.pieces

    @property
    def begun(self) -> bool:
        """Whether any piece has a result or is in a call."""
        return bool(self.held or self.flying)

    def settled(self, piece: int) -> bool:
        """Whether the piece has a result or waits for a call."""
        return self.freed or piece in self.held or piece in self.waiting

    def again(self, piece: int) -> None:
        """Queue the piece once more, unless that is not needed."""
        if not self.settled(piece):
            self.waiting.append(piece)
            self._changed()

    def take(self, piece: int) -> None:
        """Note that the piece is in a call."""
        if piece in self.waiting:
            self.waiting.remove(piece)
        self.flying[piece] = self.flying.get(piece, 0) + 1
        self._changed()

    def land(self, piece: int) -> None:
        """Note that a call with the piece has ended."""
        left = self.flying.get(piece, 1) - 1
        if left:
            self.flying[piece] = left
        else:
            self.flying.pop(piece, None)
        self._changed()

    def keep(self, piece: int, held: Held) -> None:
        """Note the result of a piece, which then waits no longer."""
        self.held[piece] = held
        if piece in self.waiting:
            self.waiting.remove(piece)
        self._changed()

    def drop(self) -> list[Held]:
        """Forget the results, since nothing will read them again."""
        dropped = list(self.held.values())
        self.held = {}
        self.freed = True
        self._changed()
        return dropped


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """Place of a request among those that wait."""

    late: bool = False
    """Whether it can no longer be on time."""

    late_begun: bool = False
    """Whether it is late and has had work spent on it."""

    priority: int = 0
    """Rank of the request; 0 goes first."""

    bucket: int = 0
    """Worth for each second of work, as a power of two."""

    due_at: float = 0
    """When it should have its first event."""

    def key(self, delay_s: float = 0) -> tuple[bool, bool, int, int, float]:
        """Return the key to sort by; a delay puts it behind its equals."""
        return (
            self.late,
            not self.late_begun,
            self.priority,
            -self.bucket,
            self.due_at + delay_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What is expected of a request when it arrives."""

    worth: float = 0
    """Worth of an answer on time, in tokens."""

    bucket: int = 0
    """Worth for each second of work, as a power of two."""

    tails_s: tuple[float, ...] = ()
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


class Job:
    """A request that the planner works on."""

    def __init__(self, ask: _plan_types.PlanAsk, now: float) -> None:
        self.ask = ask
        self.arrived_at = now
        self.target_at = now + ask.target_s
        self.deadline_at = now + ask.deadline_s
        self.stages = [
            StageState(stage, self._stage_changed) for stage in ask.stages
        ]
        self.traffics = [
            self._traffic(number) for number, _ in enumerate(self.stages)
        ]
        self.begun = False
        self.closed = False
        self.outlook = Outlook()
        # Zone in which large results are made; empty until it is settled.
        self.zone = ''
        self.rank = Rank()
        self.redone = 0
        # Time to the first event if nothing has to wait; None if a stage
        # has changed since it was computed.
        self.least_left_s: float | None = None
        self._progress: Progress | None = None

    @property
    def progress(self) -> Progress:
        """How far the stages have come."""
        if self._progress is None:
            self._progress = self._progress_now()
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
    def final_stages(self) -> list[int]:
        """Stages that no other stage reads."""
        read: set[int] = set()
        for stage in self.stages:
            if stage.ask.pieces:
                read.update(stage.ask.after)
        return [
            number for number, _ in enumerate(self.stages) if number not in read
        ]

    @property
    def final_bytes(self) -> float:
        """Bytes of the results that the engine reads."""
        asks = [self.stages[number].ask for number in self.final_stages]
        return sum(ask.pieces * ask.result_bytes for ask in asks)

    @property
    def results(self) -> tuple[str, ...]:
        """Handles of the stages that no other stage reads."""
        handles: list[str] = []
        for number in self.final_stages:
            handles.extend(self.handles(number))
        return tuple(handles)

    @property
    def result_sizes(self) -> dict[str, float]:
        """Bytes of all results by the availability zone of their maker."""
        sizes: dict[str, float] = {}
        for stage in self.stages:
            for held in stage.held.values():
                sizes[held.zone] = sizes.get(held.zone, 0) + held.size
        return sizes

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

    def traffic(self, number: int) -> Traffic:
        """Return what a piece of a stage reads, and what is read of it.

        Each piece of a stage reads all results of the stages before it, so
        that a small result may travel many times.
        """
        return self.traffics[number]

    def _traffic(self, number: int) -> Traffic:
        stage = self.stages[number].ask
        readers = sum(
            other.ask.pieces
            for other in self.stages
            if number in other.ask.after
        )
        asks = [self.stages[earlier].ask for earlier in stage.after]
        read = sum(ask.pieces * ask.result_bytes for ask in asks)
        return Traffic(read, stage.result_bytes * max(readers, 1))

    def zone_of(self, number: int) -> str:
        """Return the zone in which a stage is best run; empty for any."""
        traffic = self.traffic(number)
        if traffic.read <= traffic.written:
            return self.zone
        sizes: dict[str, float] = {}
        for earlier in self.stages[number].ask.after:
            for held in self.stages[earlier].held.values():
                sizes[held.zone] = sizes.get(held.zone, 0) + held.size
        return max(sizes, key=lambda zone: sizes[zone], default=self.zone)

    def drop_results(self, numbers: list[int]) -> list[Held]:
        """Forget the results of stages; return them, to be freed."""
        dropped: list[Held] = []
        for number in numbers:
            dropped.extend(self.stages[number].drop())
        return dropped

    def to_redo(self, number: int) -> list[int]:
        """Return the stages to run again so that a stage has its inputs.

        These are the stages that it reads, and for each of them the stages
        that it reads in turn, if their results were dropped.
        """
        found: list[int] = []
        for earlier in self.stages[number].ask.after:
            found.append(earlier)
            dropped = any(
                self.stages[source].freed
                for source in self.stages[earlier].ask.after
            )
            if dropped:
                found.extend(self.to_redo(earlier))
        return found

    def inputs_done(self, number: int) -> bool:
        """Whether all stages that a stage reads have their results."""
        return all(
            self.stages[earlier].done
            for earlier in self.stages[number].ask.after
        )

    def redo(self, number: int) -> list[Held]:
        """Queue all pieces of a stage again; return its old results."""
        stage = self.stages[number]
        dropped = list(stage.held.values())
        self.stages[number] = StageState(stage.ask, self._stage_changed)
        self._stage_changed()
        return dropped

    def read_by_done(self) -> list[int]:
        """Return stages whose results nothing will read again."""
        return [
            number
            for number, stage in enumerate(self.stages)
            if stage.held and self._all_readers_done(number)
        ]

    def _stage_changed(self) -> None:
        self._progress = None
        self.least_left_s = None

    def _progress_now(self) -> Progress:
        waiting: dict[str, int] = {}
        for stage in self.stages:
            if stage.waiting:
                name = stage.ask.service
                waiting[name] = waiting.get(name, 0) + len(stage.waiting)
        ready = [
            number
            for number, stage in enumerate(self.stages)
            if stage.waiting and self.inputs_done(number)
        ]
        return Progress(
            all(stage.done for stage in self.stages), tuple(ready), waiting
        )

    def _all_readers_done(self, number: int) -> bool:
        readers = [
            stage
            for stage in self.stages
            if number in stage.ask.after and stage.ask.pieces
        ]
        return bool(readers) and all(stage.done for stage in readers)
