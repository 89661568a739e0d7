"""Stage services: open calls, result memory and speed of their endpoints."""

import dataclasses
import math
from typing import Final

from lentilspool.serving import (
    _configuration,
    _endpoint_statements,
    _endpoints,
    _jobs,
    _pacing,
    _plan_types,
    _stage_graph,
)

# Weight of the latest call in an endpoint's slowness, and its bounds.
_SLOWNESS_SMOOTHING: Final = 0.3
_MAX_SLOWNESS: Final = 8.0
_MIN_SLOWNESS: Final = 0.5
# Assumed wait for a service that has no endpoint.
_NO_ENDPOINT_WAIT_S: Final = 8.0
# The assumed size of results, relative to the declared one, is multiplied by
# the first after each memory shortage, by the second after successful calls.
_SIZE_FACTOR_GROWTH: Final = 1.05
_SIZE_FACTOR_DECAY: Final = 0.997
# Share of free memory below which a shortage is due to the assumed size.
_LOW_MEMORY_SHARE: Final = 0.4
_MAX_SIZE_FACTOR: Final = 1.5
# The block of an endpoint doubles this often when it fails repeatedly.
_MAX_BLOCK_DOUBLINGS: Final = 1
# An endpoint that rejects a call is blocked for this share of ``block_s``, and
# for at most ``block_s`` if it goes on rejecting.
_REJECTED_BLOCK_SHARE: Final = 0.1
# Time without calls for an endpoint that had no memory for a result.
_MEMORY_SHORTAGE_BLOCK_S: Final = 0.1
_BYTES_PER_MB: Final = 1_000_000
# Stages do not wait for endpoints in their zone that are busy for longer.
_MAX_ZONE_WAIT_S: Final = 0.6
# Stages wait only if this much time is left until the target, where the
# time after the stage is multiplied by the factor for waits in later stages.
_ZONE_SLACK_S: Final = 0.3
_AFTER_STAGE_FACTOR: Final = 1.6
# Delay that moves a stage of another zone back among equal ranks.
_OTHER_ZONE_DELAY_S: Final = 0.3

ReadyStage = tuple[_jobs.Job, int]
"""A job and the number of a stage with waiting pieces."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallPiece:
    """A piece in a call, with its job."""

    job: _jobs.Job
    """Job that the piece belongs to."""

    stage: int
    """Number of its stage."""

    piece: int
    """Number of the piece in the stage."""

    size: float
    """Bytes of memory that are reserved for its result."""


@dataclasses.dataclass(slots=True)
class OpenCall:
    """A call in flight: sent and not answered."""

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
    """Expected duration in seconds."""

    overdue: bool = False
    """Whether it is late or its endpoint is gone, so its pieces are retried."""

    inputs_fetched: bool = False
    """Whether its endpoint has certainly fetched the inputs."""


class StageEndpoint:
    """Estimated state of one endpoint of a stage service.

    ``slowness`` is the ratio of its actual to its nominal call times;
    ``free_bytes`` is the result memory that is neither used nor reserved.
    """

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
        # Largest number of pieces in the next call; 1 after a memory shortage.
        self.max_pieces = limits.batch
        self._failures = 0
        self._rejections = 0

    def update_limits(self, limits: _configuration.BatchLimits) -> None:
        """Apply changed limits of the service."""
        self.free_bytes += limits.room_bytes - self.limits.room_bytes
        if limits.batch != self.limits.batch:
            self.max_pieces = limits.batch
        self.limits = limits

    def idle(self, now: float) -> bool:
        """Whether the endpoint can start a call at once."""
        return self._occupied_slots < self.limits.slots and (
            self.blocked_until <= now
        )

    def free_at(self, now: float) -> float:
        """Return when the endpoint can probably start another call."""
        if self._occupied_slots < self.limits.slots:
            return max(now, self.blocked_until)
        ends = min(
            open_call.started_at + open_call.expected_s
            for open_call in self.open_calls.values()
            if not open_call.overdue
        )
        return max(ends, now, self.blocked_until)

    def reclaim(self, size: float) -> None:
        """Add the memory of a result that was dropped."""
        self.free_bytes += size

    def call_s(self, pieces: int) -> float:
        """Return the expected seconds of a call with that many pieces."""
        limits = self.limits
        return (limits.call_s + limits.piece_s * pieces) * self.slowness

    def block_after_failure(self, block_s: float, now: float) -> None:
        """Block the endpoint, for longer if the previous call failed too."""
        doubled = min(self._failures, _MAX_BLOCK_DOUBLINGS)
        self._failures += 1
        self.blocked_until = now + block_s * math.pow(2, doubled)

    def block_after_rejection(self, block_s: float, now: float) -> None:
        """Block the endpoint shortly, twice as long after each rejection."""
        doubled = math.pow(2, self._rejections) * _REJECTED_BLOCK_SHARE
        self._rejections += 1
        self.blocked_until = now + block_s * min(doubled, 1)

    def record_call_time(self, open_call: OpenCall, now: float) -> None:
        """Update the slowness by the duration of a successful call."""
        self._failures = 0
        self._rejections = 0
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
        # An overdue call does not occupy a slot: its answer may never come.
        return sum(
            not open_call.overdue for open_call in self.open_calls.values()
        )


class _CallBuilder:
    """Collects pieces until a call or the memory of its endpoint is full."""

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
        self._suspect: _jobs.Job | None = None

    def add(self, job: _jobs.Job, number: int) -> None:
        """Add the waiting pieces of a stage that still fit.

        A stage begins only if there is memory for all its results, besides
        those of stages that have begun. Otherwise requests that each hold a
        part of the memory and wait for the rest would deadlock. A suspect
        runs in one call at a time, without other suspects, so that the end of
        the endpoint shows which one caused it.
        """
        if job.runs_apart and not self._admits_suspect(job):
            return
        stage = job.stages[number]
        size = stage.stage_request.result_bytes * self._factor
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

    def _admits_suspect(self, job: _jobs.Job) -> bool:
        if job.in_flight or self._suspect not in {None, job}:
            return False
        self._suspect = job
        return True


class StageService:
    """Endpoints of one stage service.

    ``size_factor`` is the assumed ratio of actual to declared result sizes.
    """

    def __init__(
        self,
        limits: _configuration.BatchLimits,
        plan_limits: _plan_types.PlanLimits,
        statements: _endpoint_statements.EndpointStatements,
    ) -> None:
        self.limits = limits
        self._statements = statements
        self._plan_limits = plan_limits
        self.stage_endpoints: dict[str, StageEndpoint] = {}
        self.size_factor = 1.0
        # Time of the estimate, and when the first endpoint is free. It is
        # cached because many requests need it within one step.
        self._first_free_cache = (-1.0, 0.0)

    def record_memory_shortage(
        self, stage_endpoint: StageEndpoint, now: float
    ) -> None:
        """Record that an endpoint had no memory for a result."""
        stage_endpoint.blocked_until = max(
            stage_endpoint.blocked_until, now + _MEMORY_SHORTAGE_BLOCK_S
        )
        stage_endpoint.max_pieces = 1
        # Otherwise results of other planners occupy the memory.
        if (
            stage_endpoint.free_bytes
            < self.limits.room_bytes * _LOW_MEMORY_SHARE
        ):
            self.size_factor = min(
                self.size_factor * _SIZE_FACTOR_GROWTH, _MAX_SIZE_FACTOR
            )

    def record_sufficient_memory(self) -> None:
        """Record that an endpoint had memory for all results of a call."""
        self.size_factor = max(self.size_factor * _SIZE_FACTOR_DECAY, 1)

    def update_endpoints(
        self,
        endpoints: tuple[_endpoints.Endpoint, ...],
        limits: _configuration.BatchLimits,
    ) -> None:
        """Apply the limits and the endpoints that are listed now."""
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
        """Return endpoints that can start a call, the fastest first."""
        idle = [
            stage_endpoint
            for stage_endpoint in self.stage_endpoints.values()
            if stage_endpoint.idle(now)
            and self._next_at(stage_endpoint, now) <= now
        ]
        return sorted(idle, key=lambda stage_endpoint: stage_endpoint.slowness)

    def fill_call(
        self,
        stage_endpoint: StageEndpoint,
        ready_stages: list[ReadyStage],
        now: float,
    ) -> list[CallPiece]:
        """Return the pieces for one call, in dispatch order.

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
        """Return the seconds per piece with full calls at all endpoints."""
        limits = self.limits
        full_call_piece_s = limits.piece_s + limits.call_s / max(
            limits.batch, 1
        )
        endpoints = len(self.stage_endpoints)
        if self._statements.limits:
            capacity = [
                self._capacity_share(one, full_call_piece_s)
                for one in self.stage_endpoints
            ]
            return full_call_piece_s / (sum(capacity) or 1)
        return full_call_piece_s / max(endpoints, 1)

    def backoff_s(self, now: float) -> float:
        """Return the seconds for which all endpoints must be left alone."""
        endpoints = (one.endpoint for one in self.stage_endpoints.values())
        return self._statements.backoff_s(endpoints, now)

    def wait_s(self, pieces_ahead: float, now: float) -> float:
        """Return the seconds until a piece starts after ``pieces_ahead``."""
        if not self.stage_endpoints:
            return _NO_ENDPOINT_WAIT_S
        if self._first_free_cache[0] != now:
            first_free_at = min(
                max(
                    stage_endpoint.free_at(now),
                    self._next_at(stage_endpoint, now),
                )
                for stage_endpoint in self.stage_endpoints.values()
            )
            self._first_free_cache = (now, first_free_at)
        return self._first_free_cache[1] - now + pieces_ahead * self.piece_s()

    def _next_at(self, stage_endpoint: StageEndpoint, now: float) -> float:
        incarnation = stage_endpoint.endpoint.incarnation
        return self._statements.next_at(incarnation, now)

    def _capacity_share(self, incarnation: str, piece_s: float) -> float:
        """Return how much of its full calls an endpoint takes by its limit."""
        limit = self._statements.limit(incarnation)
        if limit is None:
            return 1
        pieces = _pacing.rate_per_s(limit) * self.limits.batch
        return min(pieces * piece_s, 1)

    def _near_zone_first(
        self, stage_endpoint: StageEndpoint, ready_stages: list[ReadyStage]
    ) -> list[ReadyStage]:
        """Sort stages; those for another zone move back among equal ranks."""
        own_zone = stage_endpoint.endpoint.zone

        def key(waiting: ReadyStage) -> tuple[bool, int, int, float]:
            job, number = waiting
            in_other_zone = job.zone_of(number) not in {'', own_zone}
            return job.rank.key(_OTHER_ZONE_DELAY_S if in_other_zone else 0)

        return sorted(ready_stages, key=key)

    def _unclaimed_bytes(self, ready_stages: list[ReadyStage]) -> float:
        """Return the free memory that no stage that has begun needs."""
        free_bytes_each = [
            stage_endpoint.free_bytes
            for stage_endpoint in self.stage_endpoints.values()
        ]
        claimed = [
            job.stages[number].stage_request.result_bytes
            * len(job.stages[number].waiting)
            for job, number in ready_stages
            if job.stages[number].begun
        ]
        total_bytes = self.limits.room_bytes * len(free_bytes_each)
        unclaimed_bytes = sum(free_bytes_each) - sum(claimed) * self.size_factor
        # If all memory is free, a request larger than it may start too.
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

        It should if the request will still be on time, or if the traffic
        between zones would cost more than an on-time answer gains.
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
        size = job.stages[number].stage_request.result_bytes * self.size_factor
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
            * self._plan_limits.cross_zone_tokens_per_mb
        )
        if cost > job.arrival_estimate.worth * (
            1 - self._plan_limits.late_share
        ):
            return True
        pieces += ahead.get(zone, 0)
        if pieces > self.limits.batch * len(endpoints_in_zone):
            # The next calls cannot hold all waiting pieces: use every endpoint.
            return False
        ends_at = min(one.free_at(now) for one in endpoints_in_zone)
        ends_at += endpoints_in_zone[0].call_s(pieces)
        ends_at += (
            job.arrival_estimate.after_stage_s[number] * _AFTER_STAGE_FACTOR
        )
        return ends_at + _ZONE_SLACK_S < job.target_at


def piece_to_send(call_piece: CallPiece, now: float) -> _plan_types.Piece:
    """Return the piece in the form that is sent to its endpoint."""
    plan_request = call_piece.job.plan_request
    return _plan_types.Piece(
        plan_request.request_id,
        call_piece.stage,
        call_piece.piece,
        plan_request.piece_key,
        call_piece.job.inputs(call_piece.stage),
        max(call_piece.job.deadline_at - now, 0),
    )
