"""Assembly of an answer from chunks that arrive in any order."""

import dataclasses
import enum
from typing import Final

_MAX_WAITING_CHARS: Final = 1_000_000


class StreamProblem(enum.Enum):
    """Why a stream can never become whole."""

    conflict = 'conflict'
    beyond_end = 'beyond_end'
    too_far_ahead = 'too_far_ahead'


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The stream contradicts itself; its answer must not be used."""

    problem: StreamProblem
    """What was found."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pieces:
    """Text that follows what was released before, in order."""

    text: str
    """Text to pass on; empty while a gap is open."""

    whole: bool
    """Whether the end was seen and nothing is missing before it."""


class StreamAssembler:
    """Puts chunks in order by sequence number, counted from zero.

    A stream is whole only when its explicit ``end`` has come and every
    chunk before it; a connection that closes is no end.
    """

    def __init__(self, max_waiting_chars: int = _MAX_WAITING_CHARS) -> None:
        self._max_waiting_chars = max_waiting_chars
        self._waiting: dict[int, str] = {}
        self._waiting_chars = 0
        self._parts: list[str] = []
        self._length: int | None = None
        self._broken: Broken | None = None

    @property
    def whole(self) -> bool:
        """Whether the whole answer is here."""
        return self._broken is None and len(self._parts) == self._length

    @property
    def text(self) -> str | None:
        """The whole answer; none while anything is missing."""
        return ''.join(self._parts) if self.whole else None

    def add(self, sequence: int, text: str) -> Pieces | Broken:
        """Take a chunk; a repeated one is dropped if it is equal."""
        if self._broken is None:
            self._broken = self._check(sequence, text)
        if self._broken is not None:
            return self._broken
        if sequence >= len(self._parts) and sequence not in self._waiting:
            self._waiting[sequence] = text
            self._waiting_chars += len(text)
        return self._release()

    def end(self, length: int) -> Pieces | Broken:
        """Take the explicit end: the number of chunks of the answer."""
        highest = max(self._waiting, default=len(self._parts) - 1)
        if self._length not in {None, length}:
            self._broken = Broken(StreamProblem.conflict)
        elif highest >= length:
            self._broken = Broken(StreamProblem.beyond_end)
        if self._broken is not None:
            return self._broken
        self._length = length
        return Pieces('', self.whole)

    def _check(self, sequence: int, text: str) -> Broken | None:
        if self._length is not None and sequence >= self._length:
            return Broken(StreamProblem.beyond_end)
        if self._held(sequence) not in {None, text}:
            return Broken(StreamProblem.conflict)
        if self._waiting_chars + len(text) > self._max_waiting_chars:
            return Broken(StreamProblem.too_far_ahead)
        return None

    def _held(self, sequence: int) -> str | None:
        if sequence < len(self._parts):
            return self._parts[sequence]
        return self._waiting.get(sequence)

    def _release(self) -> Pieces:
        first = len(self._parts)
        while len(self._parts) in self._waiting:
            text = self._waiting.pop(len(self._parts))
            self._waiting_chars -= len(text)
            self._parts.append(text)
        return Pieces(''.join(self._parts[first:]), self.whole)
