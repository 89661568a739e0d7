"""Fetching of missing entries from one peer at a time."""

import math
from typing import Final

from lentilspool.config import _messages

_TIMEOUT_S: Final = 0.3
_MAX_SOURCES: Final = 8


class Pulls:
    """Remembers who is ahead, and asks one of them at a time.

    Call ``offered`` with each digest that is ahead, ``next_pull`` often, and
    ``answered`` with each push.
    """

    def __init__(self) -> None:
        self._sources: dict[str, int] = {}
        self._open_until = 0.0

    @property
    def due(self) -> float:
        """Time of the next pull; infinite if nobody is ahead."""
        return self._open_until if self._sources else math.inf

    def offered(self, peer: str, number: int) -> None:
        """Record that a peer holds a number."""
        self._sources.pop(peer, None)
        self._sources[peer] = number
        if len(self._sources) > _MAX_SOURCES:
            self._sources.pop(next(iter(self._sources)))

    def next_pull(
        self, now: float, held: _messages.ConfigDigest
    ) -> list[_messages.Action]:
        """Return the pull to send now, or nothing."""
        self._drop_to(held.number)
        if now < self._open_until or not self._sources:
            return []
        peer = next(iter(self._sources))
        self._sources[peer] = self._sources.pop(peer)
        self._open_until = now + _TIMEOUT_S
        message = _messages.ConfigPull(held.number, held.digest)
        return [_messages.Send(peer, message)]

    def answered(self, now: float) -> None:
        """Record that entries arrived; the next pull may follow at once."""
        self._open_until = now

    def refused(self, peer: str) -> None:
        """Forget a peer whose entries do not follow what is held."""
        self._sources.pop(peer, None)

    def _drop_to(self, number: int) -> None:
        self._sources = {
            peer: ahead
            for peer, ahead in self._sources.items()
            if ahead > number
        }
