"""Assembly of a streamed answer from chunks in any order."""

import dataclasses
import enum
from typing import Final

_MAX_OUT_OF_ORDER_CHARS: Final = 1_000_000


class StreamProblem(enum.Enum):
    """Why a stream cannot be completed."""

    conflict = 'conflict'
    beyond_end = 'beyond_end'
    too_far_ahead = 'too_far_ahead'


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenStream:
    """The stream is invalid; its answer must not be used."""

    problem: StreamProblem
    """What is wrong with the stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedText:
    """Text released by one call, following all text released before."""

    text: str
    """Text to forward; empty if the next chunk is still missing."""

    is_complete: bool
    """Whether the end and every chunk before it have been received."""


class StreamAssembler:
    """Orders chunks by sequence number, counted from zero.

    A stream is whole only when its explicit ``end`` and every chunk before
    it have been received; a closed connection does not count as the end.
    """

    def __init__(
        self, max_waiting_chars: int = _MAX_OUT_OF_ORDER_CHARS
    ) -> None:
        self._max_waiting_chars = max_waiting_chars
        self._out_of_order: dict[int, str] = {}
        self._out_of_order_chars = 0
        self._released: list[str] = []
        self._chunk_count: int | None = None
        self._broken: BrokenStream | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the end and all chunks have been received."""
        return self._broken is None and len(self._released) == self._chunk_count

    @property
    def text(self) -> str | None:
        """The whole answer; ``None`` while it is incomplete or broken."""
        return ''.join(self._released) if self.is_complete else None

    def add(self, sequence: int, text: str) -> ReleasedText | BrokenStream:
        """Add a chunk; an identical repetition of one is ignored."""
        if self._broken is None:
            self._broken = self._check_chunk(sequence, text)
        if self._broken is not None:
            return self._broken
        if (
            sequence >= len(self._released)
            and sequence not in self._out_of_order
        ):
            self._out_of_order[sequence] = text
            self._out_of_order_chars += len(text)
        return self._release()

    def end(self, length: int) -> ReleasedText | BrokenStream:
        """Record the explicit end; ``length`` is the number of chunks."""
        highest = max(self._out_of_order, default=len(self._released) - 1)
        if self._chunk_count not in {None, length}:
            self._broken = BrokenStream(StreamProblem.conflict)
        elif highest >= length:
            self._broken = BrokenStream(StreamProblem.beyond_end)
        if self._broken is not None:
            return self._broken
        self._chunk_count = length
        return ReleasedText('', self.is_complete)

    def _check_chunk(self, sequence: int, text: str) -> BrokenStream | None:
        if self._chunk_count is not None and sequence >= self._chunk_count:
            return BrokenStream(StreamProblem.beyond_end)
        if self._received_text(sequence) not in {None, text}:
            return BrokenStream(StreamProblem.conflict)
        if self._out_of_order_chars + len(text) > self._max_waiting_chars:
            return BrokenStream(StreamProblem.too_far_ahead)
        return None

    def _received_text(self, sequence: int) -> str | None:
        if sequence < len(self._released):
            return self._released[sequence]
        return self._out_of_order.get(sequence)

    def _release(self) -> ReleasedText:
        first = len(self._released)
        while len(self._released) in self._out_of_order:
            text = self._out_of_order.pop(len(self._released))
            self._out_of_order_chars -= len(text)
            self._released.append(text)
        return ReleasedText(''.join(self._released[first:]), self.is_complete)
