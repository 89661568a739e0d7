"""What a process tells others about itself."""

import time

from lentilspool import kernel, membership, wire


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

    def interval_s(self, peer: str) -> float:
        """Return the seconds until the next heartbeat on a connection."""
        self._beat.add(peer)
        return self._beat.interval_s(peer)

    def forget(self, peer: str) -> None:
        """Forget a connection that has ended."""
        self._beat.remove(peer)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'name': self._name,
            'zone': self._zone,
            'pool': self._pool,
            'incarnation': self._incarnation,
            'leaving': self._leaving,
        }


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
