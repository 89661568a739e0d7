"""The last answer on a connection, to be written once more."""

from typing import Final

_MAX_BYTES: Final = 65536


class LastAnswer:
    """What an endpoint has answered since the last request began."""

    def __init__(self) -> None:
        self._answer = bytearray()
        self._copy = b''

    def request_begins(self) -> None:
        """Take what was answered so far for the copy that is due."""
        if self._answer:
            self._copy = bytes(self._answer)
            self._answer.clear()

    def take_copy(self) -> bytes:
        """Return the copy that is due before the next answer, once."""
        copy = self._copy
        self._copy = b''
        return copy

    def add(self, chunk: bytes | bytearray) -> None:
        """Add a part of an answer; long answers are not kept."""
        if len(self._answer) + len(chunk) <= _MAX_BYTES:
            self._answer += chunk
        else:
            self._answer.clear()
