"""Readiness of a process to serve, after its start or a pause."""

import math
from collections.abc import Iterable
from typing import Final

_PROBE_INTERVAL_S: Final = 0.4
_PROBE_TIMEOUT_S: Final = 2.0
_PEER_NUMBER_TTL_S: Final = 5.0


class Readiness:
    """Prevents serving with a configuration older than that of a peer.

    Call ``start_probing`` with the peers to ask, and send a digest to each of
    ``next_probes``. If ``needs_pull``, send a pull instead, because a peer
    with the same number answers a pull but not a digest.
    The process is ready when it holds a configuration, no recent answer is
    ahead of it, and every peer has answered or the probes have timed out. It
    then stays ready until the next ``start_probing``.
    """

    def __init__(self) -> None:
        self._unanswered: set[str] = set()
        self._peer_numbers: dict[str, tuple[int, float]] = {}
        self._probe_deadline: float | None = None
        self._next_probe_at = 0.0
        self._probe_rounds = 0
        self._ready = False

    @property
    def ready(self) -> bool:
        """Whether the process may serve."""
        return self._ready

    @property
    def needs_pull(self) -> bool:
        """Whether the remaining peers did not answer an earlier probe."""
        return self._probe_rounds > 1

    @property
    def due(self) -> float:
        """Time of the next probe; infinite for a ready process."""
        is_probing = self._probe_deadline is not None and not self._ready
        return self._next_probe_at if is_probing else math.inf

    def is_probing_done(self, now: float) -> bool:
        """Return whether every peer has answered or the probes timed out."""
        if self._probe_deadline is None:
            return False
        return not self._unanswered or now >= self._probe_deadline

    def start_probing(self, now: float, peers: Iterable[str]) -> None:
        """Start over: not ready until these peers have been asked."""
        self._unanswered = set(peers)
        self._peer_numbers = {}
        self._probe_deadline = now + _PROBE_TIMEOUT_S
        self._next_probe_at = now
        self._probe_rounds = 0
        self._ready = False

    def next_probes(self, now: float) -> tuple[str, ...]:
        """Return the peers to probe now."""
        if (
            self._ready
            or self._probe_deadline is None
            or now < self._next_probe_at
        ):
            return ()
        self._next_probe_at = now + _PROBE_INTERVAL_S
        self._probe_rounds += 1
        return tuple(sorted(self._unanswered))

    def record_number(self, now: float, peer: str, number: int) -> None:
        """Record a peer's number, which also answers its probe."""
        self._unanswered.discard(peer)
        if not self._ready:
            self._peer_numbers[peer] = (number, now)

    def ignore_forked(self, peer: str) -> None:
        """Stop waiting for a peer that is forked, and ignore its number."""
        self._unanswered.discard(peer)
        self._peer_numbers.pop(peer, None)

    def highest_peer_number(self, now: float) -> int:
        """Return the highest recent number of a peer; 0 for none."""
        return max(
            (
                number
                for number, seen_at in self._peer_numbers.values()
                if now - seen_at < _PEER_NUMBER_TTL_S
            ),
            default=0,
        )

    def update(self, now: float, number: int) -> bool:
        """Update and return whether a process at ``number`` may serve."""
        if self._ready or number == 0 or self._probe_deadline is None:
            return self._ready
        self._ready = number >= self.highest_peer_number(
            now
        ) and self.is_probing_done(now)
        return self._ready
