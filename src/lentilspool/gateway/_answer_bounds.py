"""Bounds of what an endpoint may send."""

from typing import Final

# Answers that an endpoint may send before the one that is due: informational
# ones, and late ones to earlier requests.
_MAX_IGNORED_ANSWERS: Final = 16
_MAX_IGNORED_BYTES: Final = 1_048_576
# Chunks cost processor time whatever their size. An answer may have this many
# of any size; more need this mean size, which every event exceeds.
_MAX_SMALL_CHUNKS: Final = 50_000
_MIN_MEAN_CHUNK_BYTES: Final = 8


class IgnoredAnswers:
    """Bounds what an endpoint sends before the answer that is due.

    The methods return what is exceeded; nothing if it is not.
    """

    def __init__(self) -> None:
        self._answers = 0
        self._body_bytes = 0

    def add_answer(self) -> str:
        """Count an answer."""
        self._answers += 1
        too_many = self._answers > _MAX_IGNORED_ANSWERS
        return 'too many other answers' if too_many else ''

    def add_bytes(self, size: int) -> str:
        """Count bytes of a body."""
        self._body_bytes += size
        too_large = self._body_bytes > _MAX_IGNORED_BYTES
        return 'other answers are too large' if too_large else ''


class ChunkSizes:
    """Bounds the number of chunks of an answer by its size."""

    def __init__(self) -> None:
        self._chunks = 0
        self._body_bytes = 0

    def add(self, size: int) -> str:
        """Count a chunk; return what is exceeded, or nothing."""
        self._chunks += 1
        self._body_bytes += size
        excess = self._chunks - _MAX_SMALL_CHUNKS
        too_many = excess * _MIN_MEAN_CHUNK_BYTES > self._body_bytes
        return 'too many small chunks' if too_many else ''
