"""Scheduling of pulls of missing entries, from one peer at a time."""

import math
from typing import Final

from lentilspool.config import _messages

_PULL_TIMEOUT_S: Final = 0.3
_MAX_SOURCES: Final = 8


class PullScheduler:
    """Queue of peers that are ahead; at most one pull is in flight.

    Call ``add_source`` for each digest that is ahead, ``next_pull`` often, and
    ``on_entries`` when pushed entries were adopted. A pull without an answer
    times out, and the next one goes to another peer.
    """

    def __init__(self) -> None:
        self._sources: dict[str, int] = {}
        self._in_flight_until = 0.0

    @property
    def due(self) -> float:
        """Time of the next pull; infinite if no peer is ahead."""
        return self._in_flight_until if self._sources else math.inf

    def add_source(self, peer: str, number: int) -> None:
        """Record a peer's number; drop the oldest of too many peers."""
        self._sources.pop(peer, None)
        self._sources[peer] = number
        if len(self._sources) > _MAX_SOURCES:
            self._sources.pop(next(iter(self._sources)))

    def next_pull(
        self, now: float, own_digest: _messages.ConfigDigest
    ) -> list[_messages.Action]:
        """Return the pull to send now, if any."""
        self._drop_sources_up_to(own_digest.number)
        if now < self._in_flight_until or not self._sources:
            return []
        peer = next(iter(self._sources))
        self._sources[peer] = self._sources.pop(peer)
        self._in_flight_until = now + _PULL_TIMEOUT_S
        message = _messages.ConfigPull(own_digest.number, own_digest.digest)
        return [_messages.Send(peer, message)]

    def on_entries(self, now: float) -> None:
        """Record that entries arrived; the next pull may be sent at once."""
        self._in_flight_until = now

    def remove_source(self, peer: str) -> None:
        """Forget a peer that is forked or sent invalid entries."""
        self._sources.pop(peer, None)

    def _drop_sources_up_to(self, number: int) -> None:
        self._sources = {
            peer: ahead
            for peer, ahead in self._sources.items()
            if ahead > number
        }
