"""Content and timing of a process's heartbeats within a byte budget."""

import dataclasses
import math
from typing import Final

from lentilspool.membership import _member

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatLimits:
    """Frequency and size of heartbeats."""

    min_interval_s: float = 1.0
    """Shortest time between two heartbeats on a connection."""

    max_interval_s: float = 10.0
    """Longest time between two heartbeats on a connection."""

    heartbeat_bytes: int = 150
    """Bytes of a compact heartbeat, packet headers included."""

    budget_bytes_per_s: int = 2500
    """Bytes a second of heartbeats that a process may send or receive."""

    intervals_per_lease: int = 3
    """Heartbeat intervals in a lease; all but one heartbeat may be lost."""

    heartbeats_per_full: int = 4
    """Heartbeats to a peer per one that carries all fields."""

    max_postponed_intervals: int = 2
    """Most intervals between heartbeats, if answers renew the lease."""


def interval_s(connections: int, limits: HeartbeatLimits) -> float:
    """Return the heartbeat interval that keeps within the byte budget."""
    needed = connections * limits.heartbeat_bytes / limits.budget_bytes_per_s
    return min(max(needed, limits.min_interval_s), limits.max_interval_s)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an endpoint, as its sidecar reports it."""

    in_flight: int = 0
    """Calls in flight at the endpoint."""

    queued: int = 0
    """Calls queued at the sidecar."""

    limit: int = 0
    """Calls that the endpoint can run concurrently; zero if unknown."""

    suspects: tuple[str, ...] = ()
    """Digests of requests suspected of crashing endpoints."""


class HeartbeatScheduler:
    """Creates the heartbeats of one process and schedules them per peer.

    ``template`` is a full heartbeat that describes the process. The first
    heartbeat to a peer and every ``heartbeats_per_full``-th after it carry all
    fields; the others are compact. An answer to a peer also renews the
    lease and postpones the next heartbeat, for at most
    ``max_postponed_intervals``, because only heartbeats report the load.
    """

    def __init__(
        self, template: _member.Heartbeat, limits: HeartbeatLimits
    ) -> None:
        self._template = template
        self._limits = limits
        self._sequence = template.sequence
        self._sent_counts: dict[str, int] = {}
        self._renewed_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        self._requested_intervals_s: dict[str, float] = {}

    @property
    def peers(self) -> tuple[str, ...]:
        """Peers that receive heartbeats from this process."""
        return tuple(self._sent_counts)

    @property
    def lease_s(self) -> float:
        """Longest lease requested from any peer, in seconds."""
        longest = max(
            (self.interval_s(peer) for peer in self._sent_counts),
            default=self._limits.min_interval_s,
        )
        return longest * self._limits.intervals_per_lease

    def add_peer(self, peer: str, requested_interval_s: float = 0) -> None:
        """Add a peer, or change the interval in seconds that it requests."""
        self._sent_counts.setdefault(peer, 0)
        self._requested_intervals_s[peer] = requested_interval_s

    def remove(self, peer: str) -> None:
        """Remove a peer whose connection ended."""
        for table in (
            self._sent_counts,
            self._renewed_at,
            self._sent_at,
            self._requested_intervals_s,
        ):
            table.pop(peer, None)

    def interval_s(self, peer: str) -> float:
        """Return the seconds between heartbeats to the peer."""
        budgeted = interval_s(len(self._sent_counts), self._limits)
        requested = min(
            self._requested_intervals_s.get(peer, 0),
            self._limits.max_interval_s,
        )
        return max(budgeted, requested)

    def due(self, now: float) -> tuple[str, ...]:
        """Return the peers whose next heartbeat is due."""
        return tuple(
            peer for peer in self._sent_counts if self.due_at(peer) <= now
        )

    def due_at(self, peer: str) -> float:
        """Return the time at which the next heartbeat to the peer is due."""
        if peer not in self._renewed_at:
            return -math.inf
        interval = self.interval_s(peer)
        latest = self._limits.max_postponed_intervals * interval
        return min(
            self._renewed_at[peer] + interval, self._sent_at[peer] + latest
        )

    def record_answer(self, peer: str, now: float) -> None:
        """Record an answer sent to the peer, which also renews the lease."""
        if self._sent_counts.get(peer):
            self._renewed_at[peer] = now

    def next_heartbeat(
        self,
        peer: str,
        now: float,
        load: ReportedLoad,
        config: _member.ActiveConfig,
        leaving: bool = False,
    ) -> _member.Heartbeat:
        """Return the next heartbeat for the peer and count it as sent."""
        count = self._sent_counts.get(peer, 0)
        self._sent_counts[peer] = count + 1
        self._renewed_at[peer] = now
        self._sent_at[peer] = now
        self._sequence += 1
        lease_s = self.interval_s(peer) * self._limits.intervals_per_lease
        full = dataclasses.replace(
            self._template,
            sequence=self._sequence,
            leaving=leaving,
            config=config,
            in_flight=load.in_flight,
            queued=load.queued,
            limit=load.limit,
            suspects=load.suspects,
            lease_ms=int(lease_s * _MS_PER_S),
        )
        if leaving or count % self._limits.heartbeats_per_full == 0:
            return full
        return dataclasses.replace(full, zone='', pool='', address='', port=0)
