"""State of one stage of a request, and its results."""

import dataclasses
from collections.abc import Callable

from lentilspool.serving import _plan_types


@dataclasses.dataclass(frozen=True, slots=True)
class HeldResult:
    """A result that is stored at the endpoint that made it."""

    handle: str
    """Handle with which the result is read."""

    incarnation: str
    """Incarnation of the endpoint that made it."""

    address: str
    """Address of that endpoint."""

    size: float
    """Bytes that it occupies there."""

    expires_at: float
    """When the endpoint drops it."""

    zone: str
    """Availability zone of the endpoint."""


class StageState:
    """Pieces of one stage: waiting, in flight, and done.

    ``changed`` is called after each change.
    """

    def __init__(
        self,
        stage_request: _plan_types.StageRequest,
        changed: Callable[[], None],
    ) -> None:
        self.stage_request = stage_request
        self.waiting = list(range(stage_request.pieces))
        # Number of open calls by piece; a retried piece may be in several.
        self.in_flight: dict[int, int] = {}
        self.held: dict[int, HeldResult] = {}
        self.freed = False
        # Pieces in calls that have certainly fetched their inputs.
        self._inputs_fetched: set[int] = set()
        self._changed = changed

    @property
    def done(self) -> bool:
        """Whether every piece has a result, or had one that was freed."""
        return self.freed or len(self.held) == self.stage_request.pieces

    @property
    def all_results_held(self) -> bool:
        """Whether the results of all pieces are available."""
        return len(self.held) == self.stage_request.pieces

    @property
    def inputs_read(self) -> bool:
        """Whether no piece needs its inputs any more unless a call fails."""
        return self.done or len(self.held.keys() | self._inputs_fetched) == (
            self.stage_request.pieces
        )

    @property
    def begun(self) -> bool:
        """Whether any piece has a result or is in flight."""
        return bool(self.held or self.in_flight)

    def is_done_or_queued(self, piece: int) -> bool:
        """Whether the piece has a result or already waits for a call."""
        return self.freed or piece in self.held or piece in self.waiting

    def enqueue(self, piece: int) -> None:
        """Queue the piece again, unless it has a result or is queued."""
        if not self.is_done_or_queued(piece):
            self._inputs_fetched.discard(piece)
            self.waiting.append(piece)
            self._changed()

    def fetched(self, piece: int) -> None:
        """Record that the call with the piece has fetched its inputs."""
        if piece in self.in_flight and piece not in self.waiting:
            self._inputs_fetched.add(piece)

    def start_call(self, piece: int) -> None:
        """Record that a call with the piece was sent."""
        if piece in self.waiting:
            self.waiting.remove(piece)
        self.in_flight[piece] = self.in_flight.get(piece, 0) + 1
        self._changed()

    def end_call(self, piece: int) -> None:
        """Record that a call with the piece has ended."""
        left = self.in_flight.get(piece, 1) - 1
        if left:
            self.in_flight[piece] = left
        else:
            self.in_flight.pop(piece, None)
        self._changed()

    def store_result(self, piece: int, held: HeldResult) -> None:
        """Store the result of a piece and remove the piece from the queue."""
        self.held[piece] = held
        if piece in self.waiting:
            self.waiting.remove(piece)
        self._changed()

    def forget_results(self) -> list[HeldResult]:
        """Remove and return the results, which nothing will read again."""
        dropped = list(self.held.values())
        self.held = {}
        self.freed = True
        self._changed()
        return dropped
