"""State of one stage of a request, and its results."""

import dataclasses
from collections.abc import Callable

from lentilspool.serving import _plan_types


@dataclasses.dataclass(frozen=True, slots=True)
class HeldResult:
    """A result that lies at its maker."""

    handle: str
    """Name of the result."""

    incarnation: str
    """Incarnation of the endpoint that made it."""

    address: str
    """Address of that endpoint."""

    size: float
    """Bytes that it takes up there."""

    expires_at: float
    """When the maker drops it."""

    zone: str
    """Availability zone of the maker."""


class StageState:
    """Pieces of one stage: waiting, in calls, and done.

    ``changed`` is called after each change.
    """

    def __init__(
        self, ask: _plan_types.StageAsk, changed: Callable[[], None]
    ) -> None:
        self.ask = ask
        self.waiting = list(range(ask.pieces))
        self.in_flight: dict[int, int] = {}
        self.held: dict[int, HeldResult] = {}
        self.freed = False
        # Pieces in calls that have surely fetched their inputs.
        self._inputs_fetched: set[int] = set()
        self._changed = changed

    @property
    def done(self) -> bool:
        """Whether every piece has, or had, a result."""
        return self.freed or len(self.held) == self.ask.pieces

    @property
    def all_results_held(self) -> bool:
        """Whether the results of all pieces can be read."""
        return len(self.held) == self.ask.pieces

    @property
    def inputs_read(self) -> bool:
        """Whether no piece will fetch its inputs again, if all goes well."""
        return self.done or len(self.held.keys() | self._inputs_fetched) == (
            self.ask.pieces
        )

    @property
    def begun(self) -> bool:
        """Whether any piece has a result or is in a call."""
        return bool(self.held or self.in_flight)

    def is_done_or_queued(self, piece: int) -> bool:
        """Whether the piece has a result or waits for a call."""
        return self.freed or piece in self.held or piece in self.waiting

    def enqueue(self, piece: int) -> None:
        """Queue the piece once more, unless that is not needed."""
        if not self.is_done_or_queued(piece):
            self._inputs_fetched.discard(piece)
            self.waiting.append(piece)
            self._changed()

    def fetched(self, piece: int) -> None:
        """Note that the call with the piece has fetched its inputs."""
        if piece in self.in_flight and piece not in self.waiting:
            self._inputs_fetched.add(piece)

    def start_call(self, piece: int) -> None:
        """Note that the piece is in a call."""
        if piece in self.waiting:
            self.waiting.remove(piece)
        self.in_flight[piece] = self.in_flight.get(piece, 0) + 1
        self._changed()

    def end_call(self, piece: int) -> None:
        """Note that a call with the piece has ended."""
        left = self.in_flight.get(piece, 1) - 1
        if left:
            self.in_flight[piece] = left
        else:
            self.in_flight.pop(piece, None)
        self._changed()

    def store_result(self, piece: int, held: HeldResult) -> None:
        """Note the result of a piece, which then waits no longer."""
        self.held[piece] = held
        if piece in self.waiting:
            self.waiting.remove(piece)
        self._changed()

    def forget_results(self) -> list[HeldResult]:
        """Forget the results, since nothing will read them again."""
        dropped = list(self.held.values())
        self.held = {}
        self.freed = True
        self._changed()
        return dropped
