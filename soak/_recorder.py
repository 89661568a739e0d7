"""Records what a run observes, for its history."""

import hashlib
import pathlib
from collections.abc import Iterable
from typing import Final

import trio

from soak import _history, _history_file, _history_head

_DIGITS: Final = 16
_PROMPT: Final = (b'model', b'token-counts', b'prompt-prefix')


def digest(*parts: bytes) -> str:
    """Return a digest of the parts of a message."""
    return hashlib.sha256(b'\0'.join(parts)).hexdigest()[:_DIGITS]


def prompt_digest(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return a digest of the headers of a prompt; empty without any."""
    named = {name.lower(): stated for name, stated in headers}
    parts = [named[name] for name in _PROMPT if name in named]
    return digest(*parts) if parts else ''


class Recorder:
    """Keeps observations in the order in which they are made."""

    def __init__(self) -> None:
        self._begun: float | None = None
        self._observations: list[_history.Observation] = []

    @property
    def observations(self) -> tuple[_history.Observation, ...]:
        """What was noted."""
        return tuple(self._observations)

    def now(self) -> float:
        """Return the time since the first call."""
        now = trio.current_time()
        if self._begun is None:
            self._begun = now
        return now - self._begun

    def note(self, observation: _history.Observation) -> None:
        """Note what was observed just now."""
        self._observations.append(observation)

    def write(self, path: pathlib.Path, seed: int) -> None:
        """Write the history of the run."""
        header = _history_head.Header(
            _history_head.FORMAT, _history_head.VERSION, seed
        )
        _history_file.write(path, header, self._observations)
