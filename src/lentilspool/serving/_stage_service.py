"""Endpoints of stage services: what each works on, holds and how fast."""

import dataclasses
import math
from typing import Final

from lentilspool.serving import (
    _configuration,
    _endpoints,
    _jobs,
    _plan_types,
    _stage_graph,
)

_SLOWNESS_SMOOTHING: Final = 0.3
_MAX_SLOWNESS: Final = 8.0
_MIN_SLOWNESS: Final = 0.5
# Assumed wait for a service that has no endpoint.
_NO_ENDPOINT_WAIT_S: Final = 8.0
# Results are larger than declared by this much after each lack of room.
_SIZE_FACTOR_GROWTH: Final = 1.05
_SIZE_FACTOR_DECAY: Final = 0.997
_LOW_MEMORY_SHARE: Final = 0.4
_MAX_SIZE_FACTOR: Final = 1.5
# Times that the block of an endpoint is doubled when it fails in a row.
_MAX_BLOCK_DOUBLINGS: Final = 1
# Time for which an endpoint without room gets no call.
_MEMORY_SHORTAGE_BLOCK_S: Final = 0.1
_BYTES_PER_MB: Final = 1_000_000
# An endpoint that is busy for longer is not waited for.
_MAX_ZONE_WAIT_S: Final = 0.6
# Time that has to be left after such a wait, and waits in later stages.
_ZONE_SLACK_S: Final = 0.3
_AFTER_STAGE_FACTOR: Final = 1.6
# Time by which a stage of another zone is put back among its equals.
_OTHER_ZONE_DELAY_S: Final = 0.3

ReadyStage = tuple[_jobs.Job, int]
"""A job, and the number of a stage that has pieces waiting."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallPiece:
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
class OpenCall:
    """A call that has not been answered."""

    number: int
    """Number of the call."""

    service: str
    """Service of the endpoint."""

    stage_endpoint: 'StageEndpoint'
    """Endpoint that runs it."""

    call_pieces: tuple[CallPiece, ...]
    """Pieces of the call."""

    started_at: float
    """When it was sent."""

    expected_s: float
    """How long it should take."""

    overdue: bool = False
    """Whether its pieces were given to another endpoint meanwhile."""

    inputs_fetched: bool = False
    """Whether its endpoint has surely fetched what the pieces read."""


class StageEndpoint:
    """One endpoint of a stage service."""

    def __init__(
        self,
        endpoint: _endpoints.Endpoint,
        limits: _configuration.BatchLimits,
    ) -> None:
        self.endpoint = endpoint
        self.limits = limits
        self.open_calls: dict[int, OpenCall] = {}
        self.slowness = 1.0
        self.blocked_until = 0.0
        self.free_bytes = limits.room_bytes
        # Pieces in the next call; few after a lack of room.
        self.max_pieces = limits.batch
        self._failures = 0

    def update_limits(self, limits: _configuration.BatchLimits) -> None:
        """Take changed limits of the service."""
        self.free_bytes += limits.room_bytes - self.limits.room_bytes
        if limits.batch != self.limits.batch:
            self.max_pieces = limits.batch
        self.limits = limits

    def idle(self, now: float) -> bool:
        """Whether the endpoint can begin a call at once."""
        return self._occupied_slots < self.limits.slots and (
            self.blocked_until <= now
        )

    def free_at(self, now: float) -> float:
        """Return when the endpoint can probably begin another call."""
        if self._occupied_slots < self.limits.slots:
            return max(now, self.blocked_until)
        ends = min(
            open_call.started_at + open_call.expected_s
            for open_call in self.open_calls.values()
            if not open_call.overdue
        )
        return max(ends, now, self.blocked_until)

    def reclaim(self, size: float) -> None:
        """Take in that a result was dropped."""
        self.free_bytes += size

    def call_s(self, pieces: int) -> float:
        """Return how long a call with so many pieces should take."""
        limits = self.limits
        return (limits.call_s + limits.piece_s * pieces) * self.slowness

    def block_after_failure(self, block_s: float, now: float) -> None:
        """Send nothing for a time, longer after each failure in a row."""
        doubled = min(self._failures, _MAX_BLOCK_DOUBLINGS)
        self._failures += 1
        self.blocked_until = now + block_s * math.pow(2, doubled)

    def record_call_time(self, open_call: OpenCall, now: float) -> None:
        """Take in how long a call took."""
        self._failures = 0
        nominal_s = self.call_s(len(open_call.call_pieces)) / self.slowness
        observed_slowness = (now - open_call.started_at) / nominal_s
        observed_slowness = min(
            max(observed_slowness, _MIN_SLOWNESS), _MAX_SLOWNESS
        )
        self.max_pieces = min(self.max_pieces * 2, self.limits.batch)
        self.slowness += _SLOWNESS_SMOOTHING * (
            observed_slowness - self.slowness
        )

    @property
    def _occupied_slots(self) -> int:
        # The answer of an overdue call may be lost: it holds nothing up.
        return sum(
            not open_call.overdue for open_call in self.open_calls.values()
        )


class _CallBuilder:
    """Collects pieces for a call until it, or its endpoint, is full."""

    def __init__(
        self,
        stage_endpoint: StageEndpoint,
        factor: float,
        unclaimed_bytes: float,
    ) -> None:
        self._stage_endpoint = stage_endpoint
        self._factor = factor
        self._free_bytes = stage_endpoint.free_bytes
        self._unclaimed_bytes = unclaimed_bytes
        self.call_pieces: list[CallPiece] = []

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
            if needed > self._unclaimed_bytes:
                return
            self._unclaimed_bytes -= needed
        for piece in stage.waiting:
            if (
                len(self.call_pieces) < self._stage_endpoint.max_pieces
                and size <= self._free_bytes
            ):
                self._free_bytes -= size
                self.call_pieces.append(CallPiece(job, number, piece, size))


class StageService:
    """All endpoints of one stage service."""

    def __init__(
        self,
        limits: _configuration.BatchLimits,
        weights: _plan_types.PlanLimits,
    ) -> None:
        self.limits = limits
        self._weights = weights
        self.stage_endpoints: dict[str, StageEndpoint] = {}
        self.size_factor = 1.0
        # Time, and when the first endpoint is free as seen then: many
        # requests ask for it within one step.
        self._first_free_cache = (-1.0, 0.0)

    def record_memory_shortage(
        self, stage_endpoint: StageEndpoint, now: float
    ) -> None:
        """Take in that an endpoint had no room for a result."""
        stage_endpoint.blocked_until = max(
            stage_endpoint.blocked_until, now + _MEMORY_SHORTAGE_BLOCK_S
        )
        stage_endpoint.max_pieces = 1
        # With room left by this account, others' results are in the way.
        if (
            stage_endpoint.free_bytes
            < self.limits.room_bytes * _LOW_MEMORY_SHARE
        ):
            self.size_factor = min(
                self.size_factor * _SIZE_FACTOR_GROWTH, _MAX_SIZE_FACTOR
            )

    def record_sufficient_memory(self) -> None:
        """Take in that all results of a call found room."""
        self.size_factor = max(self.size_factor * _SIZE_FACTOR_DECAY, 1)

    def update_endpoints(
        self,
        endpoints: tuple[_endpoints.Endpoint, ...],
        limits: _configuration.BatchLimits,
    ) -> None:
        """Take the endpoints listed now."""
        self.limits = limits
        listed = {one.incarnation: one for one in endpoints}
        for delisted in set(self.stage_endpoints) - set(listed):
            self.stage_endpoints.pop(delisted)
        for name, endpoint in listed.items():
            stage_endpoint = self.stage_endpoints.setdefault(
                name, StageEndpoint(endpoint, limits)
            )
            stage_endpoint.update_limits(limits)

    def idle_endpoints(self, now: float) -> list[StageEndpoint]:
        """Return endpoints that can begin a call, the fastest first."""
        idle = [
            stage_endpoint
            for stage_endpoint in self.stage_endpoints.values()
            if stage_endpoint.idle(now)
        ]
        return sorted(idle, key=lambda stage_endpoint: stage_endpoint.slowness)

    def fill_call(
        self,
        stage_endpoint: StageEndpoint,
        ready_stages: list[ReadyStage],
        now: float,
    ) -> list[CallPiece]:
        """Return the pieces for one call, those first in order.

        Pieces with large results wait for an endpoint in the availability
        zone where they will be read, while there is time for that.
        """
        builder = _CallBuilder(
            stage_endpoint,
            self.size_factor,
            self._unclaimed_bytes(ready_stages),
        )
        ahead: dict[str, int] = {}
        for job, number in self._near_zone_first(stage_endpoint, ready_stages):
            zone = job.zone_of(number)
            if self._waits_for_zone(stage_endpoint, (job, number), ahead, now):
                pieces = len(job.stages[number].waiting)
                ahead[zone] = ahead.get(zone, 0) + pieces
            else:
                builder.add(job, number)
        return builder.call_pieces

    def piece_s(self) -> float:
        """Return what a piece costs when calls are full, over all lanes."""
        limits = self.limits
        full_call_piece_s = limits.piece_s + limits.call_s / max(
            limits.batch, 1
        )
        return full_call_piece_s / max(len(self.stage_endpoints), 1)

    def wait_s(self, pieces_ahead: float, now: float) -> float:
        """Return the time until a piece with so many ahead is begun."""
        if not self.stage_endpoints:
            return _NO_ENDPOINT_WAIT_S
        if self._first_free_cache[0] != now:
            first_free_at = min(
                stage_endpoint.free_at(now)
                for stage_endpoint in self.stage_endpoints.values()
            )
            self._first_free_cache = (now, first_free_at)
        return self._first_free_cache[1] - now + pieces_ahead * self.piece_s()

    def _near_zone_first(
        self, stage_endpoint: StageEndpoint, ready_stages: list[ReadyStage]
    ) -> list[ReadyStage]:
        """Put stages that are better run in another zone behind equals."""
        own_zone = stage_endpoint.endpoint.zone

        def key(waiting: ReadyStage) -> tuple[bool, int, int, float]:
            job, number = waiting
            in_other_zone = job.zone_of(number) not in {'', own_zone}
            return job.rank.key(_OTHER_ZONE_DELAY_S if in_other_zone else 0)

        return sorted(ready_stages, key=key)

    def _unclaimed_bytes(self, ready_stages: list[ReadyStage]) -> float:
        """Return the room that no result holds, and no begun stage needs."""
        free_bytes_each = [
            stage_endpoint.free_bytes
            for stage_endpoint in self.stage_endpoints.values()
        ]
        claimed = [
            job.stages[number].ask.result_bytes
            * len(job.stages[number].waiting)
            for job, number in ready_stages
            if job.stages[number].begun
        ]
        total_bytes = self.limits.room_bytes * len(free_bytes_each)
        unclaimed_bytes = sum(free_bytes_each) - sum(claimed) * self.size_factor
        # A request that is too large for all endpoints still gets its turn.
        return (
            math.inf if sum(free_bytes_each) >= total_bytes else unclaimed_bytes
        )

    def _waits_for_zone(
        self,
        stage_endpoint: StageEndpoint,
        waiting: ReadyStage,
        ahead: dict[str, int],
        now: float,
    ) -> bool:
        """Whether a stage should wait for an endpoint in its own zone.

        It does if it will be on time all the same, or if its traffic between
        zones would cost more than an answer on time is worth.
        """
        job, number = waiting
        traffic = job.stage_graph.traffics[number].total_bytes
        zone = job.zone_of(number)
        if (
            traffic < _stage_graph.LARGE_RESULT_BYTES
            or not zone
            or stage_endpoint.endpoint.zone == zone
        ):
            return False
        size = job.stages[number].ask.result_bytes * self.size_factor
        endpoints_in_zone = [
            one
            for one in self.stage_endpoints.values()
            if one.endpoint.zone == zone
            and one.free_bytes >= size
            and one.free_at(now) < now + _MAX_ZONE_WAIT_S
        ]
        if not endpoints_in_zone:
            return False
        pieces = len(job.stages[number].waiting)
        cost = (
            traffic
            * pieces
            / _BYTES_PER_MB
            * self._weights.cross_zone_tokens_per_mb
        )
        if cost > job.arrival_estimate.worth * (1 - self._weights.late_share):
            return True
        pieces += ahead.get(zone, 0)
        if pieces > self.limits.batch * len(endpoints_in_zone):
            # More waits than the next call takes: use every endpoint.
            return False
        ends_at = min(one.free_at(now) for one in endpoints_in_zone)
        ends_at += endpoints_in_zone[0].call_s(pieces)
        ends_at += (
            job.arrival_estimate.after_stage_s[number] * _AFTER_STAGE_FACTOR
        )
        return ends_at + _ZONE_SLACK_S < job.target_at


def piece_to_send(call_piece: CallPiece, now: float) -> _plan_types.Piece:
    """Return the piece as its endpoint gets to see it."""
    ask = call_piece.job.ask
    return _plan_types.Piece(
        ask.request_id,
        call_piece.stage,
        call_piece.piece,
        ask.piece_key,
        call_piece.job.inputs(call_piece.stage),
        max(call_piece.job.deadline_at - now, 0),
    )
