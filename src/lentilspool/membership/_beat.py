"""Heartbeats that a process sends, within its budget of bytes."""

import dataclasses
import math
from typing import Final

from lentilspool.membership import _member

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class BeatLimits:
    """How often heartbeats are sent."""

    min_interval_s: float = 1.0
    """Shortest time between two heartbeats on a connection."""

    max_interval_s: float = 10.0
    """Longest time between two heartbeats on a connection."""

    bytes_each: int = 150
    """Size of a compact heartbeat with the headers of its packet."""

    budget_bytes_per_s: int = 2500
    """Bytes that a process may send, or receive, for heartbeats."""

    leases_per_interval: int = 3
    """Intervals in a lease: heartbeats that may be lost, plus one."""

    full_every: int = 4
    """Heartbeats from one with all fields to the next."""

    answered_intervals: int = 2
    """Intervals in which answers may stand for heartbeats."""


def interval_s(connections: int, limits: BeatLimits) -> float:
    """Return the seconds between heartbeats that keep to the budget."""
    needed = connections * limits.bytes_each / limits.budget_bytes_per_s
    return min(max(needed, limits.min_interval_s), limits.max_interval_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a sidecar reports of its endpoint."""

    in_flight: int = 0
    """Calls that run at the endpoint."""

    queued: int = 0
    """Calls that wait at the sidecar."""

    limit: int = 0
    """Calls that the endpoint runs at once; zero if unknown."""

    suspects: tuple[str, ...] = ()
    """Digests of requests suspected of crashing endpoints."""


class Beat:
    """Makes the heartbeats of one process.

    Give it a full heartbeat that describes the process. ``make`` returns
    the next one for a peer: the first and every few with all fields, the
    others compact. Answers to a peer renew the lease by themselves and put
    its next heartbeat off, but not for long, since heartbeats tell the load.
    """

    def __init__(self, template: _member.Heartbeat, limits: BeatLimits) -> None:
        self._template = template
        self._limits = limits
        self._sequence = template.sequence
        self._sent: dict[str, int] = {}
        self._last: dict[str, float] = {}
        self._made_at: dict[str, float] = {}
        self._wishes: dict[str, float] = {}

    @property
    def peers(self) -> tuple[str, ...]:
        """Peers that hold a lease on this process."""
        return tuple(self._sent)

    @property
    def lease_s(self) -> float:
        """Longest lease granted to a peer, in seconds."""
        longest = max(
            (self.interval_s(peer) for peer in self._sent),
            default=self._limits.min_interval_s,
        )
        return longest * self._limits.leases_per_interval

    def add(self, peer: str, wish_s: float = 0) -> None:
        """Add a peer, or change the interval that it asks for."""
        self._sent.setdefault(peer, 0)
        self._wishes[peer] = wish_s

    def remove(self, peer: str) -> None:
        """Forget a peer whose connection ended."""
        for table in (self._sent, self._last, self._made_at, self._wishes):
            table.pop(peer, None)

    def interval_s(self, peer: str) -> float:
        """Return the seconds between heartbeats to the peer."""
        own = interval_s(len(self._sent), self._limits)
        wish = min(self._wishes.get(peer, 0), self._limits.max_interval_s)
        return max(own, wish)

    def due(self, now: float) -> tuple[str, ...]:
        """Return the peers that need a heartbeat now."""
        return tuple(peer for peer in self._sent if self.due_at(peer) <= now)

    def due_at(self, peer: str) -> float:
        """Return the time of the next heartbeat to the peer."""
        if peer not in self._last:
            return -math.inf
        interval = self.interval_s(peer)
        latest = self._limits.answered_intervals * interval
        return min(self._last[peer] + interval, self._made_at[peer] + latest)

    def answered(self, peer: str, now: float) -> None:
        """Record an answer to the peer: it renews the lease as well."""
        if self._sent.get(peer):
            self._last[peer] = now

    def make(
        self,
        peer: str,
        now: float,
        load: Load,
        config: _member.HeldVersion,
        leaving: bool = False,
    ) -> _member.Heartbeat:
        """Return the next heartbeat for the peer and count it as sent."""
        count = self._sent.get(peer, 0)
        self._sent[peer] = count + 1
        self._last[peer] = now
        self._made_at[peer] = now
        self._sequence += 1
        lease_s = self.interval_s(peer) * self._limits.leases_per_interval
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
        if leaving or count % self._limits.full_every == 0:
            return full
        return dataclasses.replace(full, zone='', pool='', address='', port=0)
