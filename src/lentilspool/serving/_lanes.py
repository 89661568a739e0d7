"""Endpoints of stage services: what each works on, holds and how fast."""

import dataclasses
import math
from typing import Final

from lentilspool.serving import (
    _configuration,
    _endpoints,
    _jobs,
    _plan_types,
    _shape,
)

_SMOOTHING: Final = 0.3
_SLOWEST: Final = 8.0
_FASTEST: Final = 0.5
# Results are larger than declared by this much after each lack of room.
_GROWTH: Final = 1.05
_DECAY: Final = 0.997
_FULL_SHARE: Final = 0.4
_MOST_GROWTH: Final = 1.5
# Times that the block of an endpoint is doubled when it fails in a row.
_MOST_DOUBLED: Final = 1
# Time for which an endpoint without room gets no call.
_NO_ROOM_S: Final = 0.1
_MB: Final = 1_000_000
# An endpoint that is busy for longer is not waited for.
_LONGEST_ZONE_WAIT_S: Final = 0.6
# Time that has to be left after such a wait, and waits in later stages.
_ZONE_SLACK_S: Final = 0.3
_TAIL_FACTOR: Final = 1.6
# Time by which a stage of another zone is put back among its equals.
_FAR_DELAY_S: Final = 0.3

Waiting = tuple[_jobs.Job, int]
"""A job, and the number of a stage that has pieces waiting."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A piece in a call, and the job that it belongs to."""

    job: _jobs.Job
    """Request of the piece."""

    stage: int
    """Number of its stage."""

    piece: int
    """Number of the piece in the stage."""

    size: float
    """Bytes of its result."""


@dataclasses.dataclass(slots=True)
class Flight:
    """A call that has not been answered."""

    number: int
    """Number of the call."""

    service: str
    """Service of the endpoint."""

    lane: 'Lane'
    """Endpoint that runs it."""

    parts: tuple[Part, ...]
    """Pieces of the call."""

    started_at: float
    """When it was sent."""

    expected_s: float
    """How long it should take."""

    overdue: bool = False
    """Whether its pieces were given to another endpoint meanwhile."""

    inputs_fetched: bool = False
    """Whether its endpoint has surely fetched what the pieces read."""


class Lane:
    """One endpoint of a stage service."""

    def __init__(
        self,
        endpoint: _endpoints.Endpoint,
        limits: _configuration.BatchLimits,
    ) -> None:
        self.endpoint = endpoint
        self.limits = limits
        self.flights: dict[int, Flight] = {}
        self.slowness = 1.0
        self.blocked_until = 0.0
        self.room = limits.room_bytes
        # Pieces in the next call; few after a lack of room.
        self.most = limits.batch
        self._failures = 0

    def take(self, limits: _configuration.BatchLimits) -> None:
        """Take changed limits of the service."""
        self.room += limits.room_bytes - self.limits.room_bytes
        if limits.batch != self.limits.batch:
            self.most = limits.batch
        self.limits = limits

    def idle(self, now: float) -> bool:
        """Whether the endpoint can begin a call at once."""
        return self._open_calls < self.limits.slots and (
            self.blocked_until <= now
        )

    def free_at(self, now: float) -> float:
        """Return when the endpoint can probably begin another call."""
        if self._open_calls < self.limits.slots:
            return max(now, self.blocked_until)
        ends = min(
            flight.started_at + flight.expected_s
            for flight in self.flights.values()
            if not flight.overdue
        )
        return max(ends, now, self.blocked_until)

    def give_room(self, size: float) -> None:
        """Take in that a result was dropped."""
        self.room += size

    def call_s(self, pieces: int) -> float:
        """Return how long a call with so many pieces should take."""
        limits = self.limits
        return (limits.call_s + limits.piece_s * pieces) * self.slowness

    def fail(self, block_s: float, now: float) -> None:
        """Send nothing for a time, longer after each failure in a row."""
        doubled = min(self._failures, _MOST_DOUBLED)
        self._failures += 1
        self.blocked_until = now + block_s * math.pow(2, doubled)

    def learn(self, flight: Flight, now: float) -> None:
        """Take in how long a call took."""
        self._failures = 0
        plain_s = self.call_s(len(flight.parts)) / self.slowness
        seen = (now - flight.started_at) / plain_s
        seen = min(max(seen, _FASTEST), _SLOWEST)
        self.most = min(self.most * 2, self.limits.batch)
        self.slowness += _SMOOTHING * (seen - self.slowness)

    @property
    def _open_calls(self) -> int:
        # The answer of an overdue call may be lost: it holds nothing up.
        return sum(not flight.overdue for flight in self.flights.values())


class _Chooser:
    """Collects pieces for a call until it, or its endpoint, is full."""

    def __init__(self, lane: Lane, factor: float, spare: float) -> None:
        self._lane = lane
        self._factor = factor
        self._room = lane.room
        self._spare = spare
        self.parts: list[Part] = []

    def add(self, job: _jobs.Job, number: int) -> None:
        """Add the waiting pieces of a stage that still fit.

        A stage begins only if all its results find room, beside those of
        the stages that have begun: requests that each hold a part of the
        room and wait for the rest would block each other.
        """
        stage = job.stages[number]
        size = stage.ask.result_bytes * self._factor
        if not stage.begun:
            needed = size * len(stage.waiting)
            if needed > self._spare:
                return
            self._spare -= needed
        for piece in stage.waiting:
            if len(self.parts) < self._lane.most and size <= self._room:
                self._room -= size
                self.parts.append(Part(job, number, piece, size))


class StageService:
    """All endpoints of one stage service."""

    def __init__(
        self,
        limits: _configuration.BatchLimits,
        weights: _plan_types.PlanLimits,
    ) -> None:
        self.limits = limits
        self._weights = weights
        self.lanes: dict[str, Lane] = {}
        self.size_factor = 1.0
        # Time, and when the first endpoint is free as seen then: many
        # requests ask for it within one step.
        self._first_free = (-1.0, 0.0)

    def no_room(self, lane: Lane, now: float) -> None:
        """Take in that an endpoint had no room for a result."""
        lane.blocked_until = max(lane.blocked_until, now + _NO_ROOM_S)
        lane.most = 1
        # With room left by this account, others' results are in the way.
        if lane.room < self.limits.room_bytes * _FULL_SHARE:
            self.size_factor = min(self.size_factor * _GROWTH, _MOST_GROWTH)

    def had_room(self) -> None:
        """Take in that all results of a call found room."""
        self.size_factor = max(self.size_factor * _DECAY, 1)

    def follow(
        self,
        endpoints: tuple[_endpoints.Endpoint, ...],
        limits: _configuration.BatchLimits,
    ) -> None:
        """Take the endpoints listed now."""
        self.limits = limits
        listed = {one.incarnation: one for one in endpoints}
        for gone in set(self.lanes) - set(listed):
            self.lanes.pop(gone)
        for name, endpoint in listed.items():
            lane = self.lanes.setdefault(name, Lane(endpoint, limits))
            lane.take(limits)

    def idle_lanes(self, now: float) -> list[Lane]:
        """Return endpoints that can begin a call, the fastest first."""
        idle = [lane for lane in self.lanes.values() if lane.idle(now)]
        return sorted(idle, key=lambda lane: lane.slowness)

    def fill_call(
        self, lane: Lane, queue: list[Waiting], now: float
    ) -> list[Part]:
        """Return the pieces for one call, those first in order.

        Pieces with large results wait for an endpoint in the availability
        zone where they will be read, while there is time for that.
        """
        chooser = _Chooser(lane, self.size_factor, self._spare(queue))
        ahead: dict[str, int] = {}
        for job, number in self._near_first(lane, queue):
            zone = job.zone_of(number)
            if self._waits_for_zone(lane, (job, number), ahead, now):
                pieces = len(job.stages[number].waiting)
                ahead[zone] = ahead.get(zone, 0) + pieces
            else:
                chooser.add(job, number)
        return chooser.parts

    def piece_s(self) -> float:
        """Return what a piece costs when calls are full, over all lanes."""
        limits = self.limits
        alone_s = limits.piece_s + limits.call_s / max(limits.batch, 1)
        return alone_s / max(len(self.lanes), 1)

    def wait_s(self, pieces_ahead: float, now: float) -> float:
        """Return the time until a piece with so many ahead is begun."""
        if not self.lanes:
            return _SLOWEST
        if self._first_free[0] != now:
            first = min(lane.free_at(now) for lane in self.lanes.values())
            self._first_free = (now, first)
        return self._first_free[1] - now + pieces_ahead * self.piece_s()

    def _near_first(self, lane: Lane, queue: list[Waiting]) -> list[Waiting]:
        """Put stages that are better run in another zone behind equals."""
        place = lane.endpoint.zone

        def key(waiting: Waiting) -> tuple[bool, int, int, float]:
            job, number = waiting
            far = job.zone_of(number) not in {'', place}
            return job.rank.key(_FAR_DELAY_S if far else 0)

        return sorted(queue, key=key)

    def _spare(self, queue: list[Waiting]) -> float:
        """Return the room that no result holds, and no begun stage needs."""
        rooms = [lane.room for lane in self.lanes.values()]
        claimed = [
            job.stages[number].ask.result_bytes
            * len(job.stages[number].waiting)
            for job, number in queue
            if job.stages[number].begun
        ]
        whole = self.limits.room_bytes * len(rooms)
        spare = sum(rooms) - sum(claimed) * self.size_factor
        # A request that is too large for all endpoints still gets its turn.
        return math.inf if sum(rooms) >= whole else spare

    def _waits_for_zone(
        self,
        lane: Lane,
        waiting: Waiting,
        ahead: dict[str, int],
        now: float,
    ) -> bool:
        """Whether a stage should wait for an endpoint in its own zone.

        It does if it will be on time all the same, or if its traffic between
        zones would cost more than an answer on time is worth.
        """
        job, number = waiting
        traffic = job.shape.traffics[number].total
        zone = job.zone_of(number)
        if (
            traffic < _shape.LARGE_BYTES
            or not zone
            or lane.endpoint.zone == zone
        ):
            return False
        size = job.stages[number].ask.result_bytes * self.size_factor
        near = [
            one
            for one in self.lanes.values()
            if one.endpoint.zone == zone
            and one.room >= size
            and one.free_at(now) < now + _LONGEST_ZONE_WAIT_S
        ]
        if not near:
            return False
        pieces = len(job.stages[number].waiting)
        cost = traffic * pieces / _MB * self._weights.cross_zone_tokens_per_mb
        if cost > job.outlook.worth * (1 - self._weights.late_share):
            return True
        pieces += ahead.get(zone, 0)
        if pieces > self.limits.batch * len(near):
            # More waits than the next call takes: use every endpoint.
            return False
        ends_at = min(one.free_at(now) for one in near)
        ends_at += near[0].call_s(pieces)
        ends_at += job.outlook.tails_s[number] * _TAIL_FACTOR
        return ends_at + _ZONE_SLACK_S < job.target_at


def order_piece(part: Part, now: float) -> _plan_types.Piece:
    """Return the piece as its endpoint gets to see it."""
    ask = part.job.ask
    return _plan_types.Piece(
        ask.request_id,
        part.stage,
        part.piece,
        ask.piece_key,
        part.job.inputs(part.stage),
        max(part.job.deadline_at - now, 0),
    )
