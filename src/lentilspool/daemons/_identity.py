"""What a process tells others about itself."""

import time
import weakref
from typing import Final

from lentilspool import kernel, membership, wire

_MS: Final = 1000
_WISH_CHANGE: Final = 0.1


class Identity(kernel.BaseComponent):
    """Name, place and incarnation of a process, and whether it leaves.

    An incarnation is the start time in nanoseconds, so that a later life of
    the same process has a higher one.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        listen: tuple[str, int],
        pool: str = '',
        beat_limits: membership.BeatLimits | None = None,
    ) -> None:
        self._name = name
        self._zone = zone
        self._pool = pool
        self._incarnation = time.time_ns()
        self._leaving = False
        self._superseded = False
        address, port = listen
        described = membership.Heartbeat(
            process=name,
            incarnation=self._incarnation,
            sequence=0,
            zone=zone,
            pool=pool,
            address=address,
            port=port,
        )
        limits = beat_limits or membership.BeatLimits()
        self._beat = membership.Beat(described, limits)

    @property
    def name(self) -> str:
        """Name of the process."""
        return self._name

    @property
    def zone(self) -> str:
        """Availability zone of the process."""
        return self._zone

    @property
    def pool(self) -> str:
        """Pool that the process serves; empty for an entry."""
        return self._pool

    @property
    def incarnation(self) -> int:
        """Number of this life of the process."""
        return self._incarnation

    @property
    def leaving(self) -> bool:
        """Whether the process takes no new work."""
        return self._leaving

    @property
    def beat(self) -> membership.Beat:
        """When heartbeats are due, for each connection by its name."""
        return self._beat

    @property
    def superseded(self) -> bool:
        """Whether a later incarnation of this process is at work."""
        return self._superseded

    def supersede(self, incarnation: int) -> None:
        """Take what a peer knows of the incarnations of this process."""
        self._superseded = self._superseded or incarnation > self._incarnation

    def leave(self) -> None:
        """Take no new work from now on; this is never taken back."""
        self._leaving = True

    def follow_state(self, state: str) -> None:
        """Leave when the application begins to drain; a life-cycle hook."""
        if state == 'draining':
            self.leave()

    def hello(self) -> wire.Hello:
        """Return the first message on a connection."""
        return wire.Hello(
            version=wire.PROTOCOL_VERSION,
            process=self._name,
            incarnation=self._incarnation,
            zone=self._zone,
        )

    def heartbeat(
        self,
        peer: str,
        now: float,
        held: wire.ConfigDigest,
        load: membership.Load,
    ) -> wire.Heartbeat:
        """Return the next heartbeat for one connection."""
        version = membership.HeldVersion(held.number, held.digest)
        beat = self._beat.make(peer, now, load, version, self._leaving)
        return _to_wire(beat, held)

    def wish(self, interval_s: float) -> wire.Heartbeat:
        """Return the message that asks for an interval of heartbeats."""
        lease_s = interval_s * membership.BeatLimits().leases_per_interval
        asking = membership.Heartbeat(
            process=self._name,
            incarnation=self._incarnation,
            sequence=0,
            leaving=self._leaving,
            lease_ms=int(lease_s * _MS),
        )
        return _to_wire(asking, wire.ConfigDigest(0, ''))

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'name': self._name,
            'zone': self._zone,
            'pool': self._pool,
            'incarnation': self._incarnation,
            'leaving': self._leaving,
            'superseded': self._superseded,
        }


class Wishes:
    """Asks peers for heartbeats so seldom that all keep to the budget.

    Call ``count`` when the number of leases changes, and ``ask`` with a
    connection on which a heartbeat came; send what it returns.
    """

    def __init__(
        self, identity: Identity, limits: membership.BeatLimits
    ) -> None:
        self._identity = identity
        self._limits = limits
        self._interval_s = limits.min_interval_s
        self._told: weakref.WeakKeyDictionary[object, float] = (
            weakref.WeakKeyDictionary()
        )

    def count(self, leases: int) -> None:
        """Take the number of leases held."""
        self._interval_s = membership.interval_s(leases, self._limits)

    def ask(self, connection: object) -> wire.Heartbeat | None:
        """Return the message to send, if the connection needs one."""
        told_s = self._told.get(connection, 0)
        if abs(self._interval_s - told_s) <= told_s * _WISH_CHANGE:
            return None
        self._told[connection] = self._interval_s
        return self._identity.wish(self._interval_s)


def wish_s(message: wire.Heartbeat) -> float:
    """Return the interval for which a peer's message asks, in seconds."""
    each = membership.BeatLimits().leases_per_interval
    return message.lease_ms / _MS / each


def _to_wire(
    beat: membership.Heartbeat, held: wire.ConfigDigest
) -> wire.Heartbeat:
    return wire.Heartbeat(
        process=beat.process,
        incarnation=beat.incarnation,
        sequence=beat.sequence,
        leaving=beat.leaving,
        config=held,
        in_flight=beat.in_flight,
        queued=beat.queued,
        limit=beat.limit,
        lease_ms=beat.lease_ms,
        suspects=beat.suspects,
        zone=beat.zone,
        pool=beat.pool,
        address=beat.address,
        port=beat.port,
    )


def from_wire(message: wire.Heartbeat) -> membership.Heartbeat:
    """Return a received heartbeat as membership takes it."""
    held = message.config
    return membership.Heartbeat(
        process=message.process,
        incarnation=message.incarnation,
        sequence=message.sequence,
        leaving=message.leaving,
        config=membership.HeldVersion(held.number, held.digest),
        in_flight=message.in_flight,
        queued=message.queued,
        limit=message.limit,
        lease_ms=message.lease_ms,
        suspects=message.suspects,
        zone=message.zone,
        pool=message.pool,
        address=message.address,
        port=message.port,
    )
