"""Identity of a process and the heartbeats that it sends."""

import time
import weakref
from typing import Final

from lentilspool import kernel, membership, wire

_MS_PER_S: Final = 1000
_MIN_INTERVAL_CHANGE_RATIO: Final = 0.1


class Identity(kernel.BaseComponent):
    """Name, zone, pool and incarnation of a process, and its drain state.

    The incarnation is the start time in nanoseconds, so that a restart of
    the same process has a higher one.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        listen: tuple[str, int],
        pool: str = '',
        beat_limits: membership.HeartbeatLimits | None = None,
    ) -> None:
        self._name = name
        self._zone = zone
        self._pool = pool
        self._incarnation = time.time_ns()
        self._leaving = False
        self._superseded = False
        address, port = listen
        template = membership.Heartbeat(
            process=name,
            incarnation=self._incarnation,
            sequence=0,
            zone=zone,
            pool=pool,
            address=address,
            port=port,
        )
        limits = beat_limits or membership.HeartbeatLimits()
        self._beat = membership.HeartbeatScheduler(template, limits)

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
        """Start time of the process in nanoseconds."""
        return self._incarnation

    @property
    def leaving(self) -> bool:
        """Whether the process is draining and accepts no new work."""
        return self._leaving

    @property
    def heartbeats(self) -> membership.HeartbeatScheduler:
        """Heartbeats to send and their due times, by connection name."""
        return self._beat

    @property
    def superseded(self) -> bool:
        """Whether a later incarnation of this process exists."""
        return self._superseded

    def observe_incarnation(self, incarnation: int) -> None:
        """Record an incarnation of this process that a peer reported."""
        self._superseded = self._superseded or incarnation > self._incarnation

    def leave(self) -> None:
        """Accept no new work from now on; this cannot be undone."""
        self._leaving = True

    def on_life_cycle_state(self, state: str) -> None:
        """Life-cycle hook: start leaving when the application drains."""
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
        config_digest: wire.ConfigDigest,
        load: membership.ReportedLoad,
    ) -> wire.Heartbeat:
        """Return the next heartbeat for one connection."""
        version = membership.ActiveConfig(
            config_digest.number, config_digest.digest
        )
        beat = self._beat.next_heartbeat(
            peer, now, load, version, self._leaving
        )
        return _to_wire(beat, config_digest)

    def interval_request(self, interval_s: float) -> wire.Heartbeat:
        """Return a message that requests a heartbeat interval.

        The message carries it as a lease of ``intervals_per_lease`` intervals.
        """
        lease_s = interval_s * membership.HeartbeatLimits().intervals_per_lease
        request = membership.Heartbeat(
            process=self._name,
            incarnation=self._incarnation,
            sequence=0,
            leaving=self._leaving,
            lease_ms=int(lease_s * _MS_PER_S),
        )
        return _to_wire(request, wire.ConfigDigest(0, ''))

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


class IntervalRequests:
    """Requests heartbeat intervals that keep to the receive budget.

    Call ``set_lease_count`` when the number of leases changes. Call
    ``next_request`` with each connection on which a heartbeat arrives, and
    send the message that it returns.
    """

    def __init__(
        self, identity: Identity, limits: membership.HeartbeatLimits
    ) -> None:
        self._identity = identity
        self._limits = limits
        self._interval_s = limits.min_interval_s
        self._requested_s: weakref.WeakKeyDictionary[object, float] = (
            weakref.WeakKeyDictionary()
        )

    def set_lease_count(self, leases: int) -> None:
        """Set the number of leases held, which determines the interval."""
        self._interval_s = membership.interval_s(leases, self._limits)

    def next_request(self, connection: object) -> wire.Heartbeat | None:
        """Return the request to send on a connection, or None.

        None means that the interval last requested there differs by at most
        ``_MIN_INTERVAL_CHANGE_RATIO``.
        """
        requested_s = self._requested_s.get(connection, 0)
        if (
            abs(self._interval_s - requested_s)
            <= requested_s * _MIN_INTERVAL_CHANGE_RATIO
        ):
            return None
        self._requested_s[connection] = self._interval_s
        return self._identity.interval_request(self._interval_s)


def requested_interval_s(message: wire.Heartbeat) -> float:
    """Return the heartbeat interval that a message requests, in seconds."""
    per_lease = membership.HeartbeatLimits().intervals_per_lease
    return message.lease_ms / _MS_PER_S / per_lease


def _to_wire(
    beat: membership.Heartbeat, config_digest: wire.ConfigDigest
) -> wire.Heartbeat:
    return wire.Heartbeat(
        process=beat.process,
        incarnation=beat.incarnation,
        sequence=beat.sequence,
        leaving=beat.leaving,
        config=config_digest,
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


def heartbeat_from_wire(message: wire.Heartbeat) -> membership.Heartbeat:
    """Convert a received heartbeat for ``membership``."""
    config_digest = message.config
    return membership.Heartbeat(
        process=message.process,
        incarnation=message.incarnation,
        sequence=message.sequence,
        leaving=message.leaving,
        config=membership.ActiveConfig(
            config_digest.number, config_digest.digest
        ),
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
