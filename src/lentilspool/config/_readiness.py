"""When a process may serve, after its start or after a pause."""

import math
from collections.abc import Iterable
from typing import Final

_PROBE_SPACING_S: Final = 0.4
_PROBE_WAIT_S: Final = 2.0
_CLAIM_S: Final = 5.0


class Readiness:
    """Holds a process back until it is not below a peer that it can reach.

    Begin with the peers to ask, and send a digest to each of ``probes``; a
    pull where it ``insists``, because equals answer no digest.
    The process is ready when it holds a configuration, no answer is above
    it, and every peer has answered or the wait is over. Once it is ready it
    stays so until the next ``begin``.
    """

    def __init__(self) -> None:
        self._open: set[str] = set()
        self._claims: dict[str, tuple[int, float]] = {}
        self._wait_until: float | None = None
        self._probe_at = 0.0
        self._rounds = 0
        self._ready = False

    @property
    def ready(self) -> bool:
        """Whether the process may serve."""
        return self._ready

    @property
    def insists(self) -> bool:
        """Whether the peers that are left have been asked before."""
        return self._rounds > 1

    @property
    def due(self) -> float:
        """Time of the next probe; infinite for a ready process."""
        waits = self._wait_until is not None and not self._ready
        return self._probe_at if waits else math.inf

    def settled(self, now: float) -> bool:
        """Whether every peer has answered, or the wait is over."""
        if self._wait_until is None:
            return False
        return not self._open or now >= self._wait_until

    def begin(self, now: float, peers: Iterable[str]) -> None:
        """Ask these peers anew."""
        self._open = set(peers)
        self._claims = {}
        self._wait_until = now + _PROBE_WAIT_S
        self._probe_at = now
        self._rounds = 0
        self._ready = False

    def probes(self, now: float) -> tuple[str, ...]:
        """Return the peers to send a digest to now."""
        if self._ready or self._wait_until is None or now < self._probe_at:
            return ()
        self._probe_at = now + _PROBE_SPACING_S
        self._rounds += 1
        return tuple(sorted(self._open))

    def heard(self, now: float, peer: str, number: int) -> None:
        """Record what a peer holds; a number below ours is an answer too."""
        self._open.discard(peer)
        if not self._ready:
            self._claims[peer] = (number, now)

    def forked(self, peer: str) -> None:
        """Ignore the number of a peer that holds another history."""
        self._open.discard(peer)
        self._claims.pop(peer, None)

    def claimed(self, now: float) -> int:
        """Return the highest number that a peer has shown of late."""
        return max(
            (held for held, at in self._claims.values() if now - at < _CLAIM_S),
            default=0,
        )

    def update(self, now: float, number: int) -> bool:
        """Return whether a process that holds ``number`` may serve."""
        if self._ready or number == 0 or self._wait_until is None:
            return self._ready
        self._ready = number >= self.claimed(now) and self.settled(now)
        return self._ready
