"""Sizes of heartbeats as they travel between processes."""

from typing import Final

from lentilspool import membership, wire

_FRAME_BYTES: Final = 4
_DIGEST: Final = '0123456789abcdef' * 2

HEADER_BYTES: Final = 52
"""IPv4 and TCP headers of a packet, with timestamps."""


def message(heartbeat: membership.Heartbeat) -> wire.Heartbeat:
    """Return the heartbeat as it is sent."""
    return wire.Heartbeat(
        process=heartbeat.process,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        leaving=heartbeat.leaving,
        config=wire.ConfigDigest(heartbeat.config.version, _DIGEST),
        in_flight=heartbeat.in_flight,
        queued=heartbeat.queued,
        limit=heartbeat.limit,
        lease_ms=heartbeat.lease_ms,
        suspects=heartbeat.suspects,
        zone=heartbeat.zone,
        pool=heartbeat.pool,
        address=heartbeat.address,
        port=heartbeat.port,
    )


def received(sent: wire.Heartbeat) -> membership.Heartbeat:
    """Return a heartbeat as membership takes it."""
    return membership.Heartbeat(
        process=sent.process,
        incarnation=sent.incarnation,
        sequence=sent.sequence,
        leaving=sent.leaving,
        config=membership.ActiveConfig(sent.config.number, sent.config.digest),
        in_flight=sent.in_flight,
        queued=sent.queued,
        limit=sent.limit,
        lease_ms=sent.lease_ms,
        suspects=sent.suspects,
        zone=sent.zone,
        pool=sent.pool,
        address=sent.address,
        port=sent.port,
    )


def frame_bytes(heartbeat: membership.Heartbeat) -> int:
    """Return the bytes of the heartbeat's frame, packet headers aside."""
    return _FRAME_BYTES + len(wire.encode(message(heartbeat)))


def template(name: str, zone: str, pool: str) -> membership.Heartbeat:
    """Return a heartbeat with fields of the usual lengths."""
    return membership.Heartbeat(
        process=name,
        incarnation=1_780_000_000_000_000_000,
        sequence=100_000,
        config=membership.ActiveConfig(100_000, _DIGEST),
        zone=zone,
        pool=pool,
        address='10.123.123.123',
        port=50_000,
    )


def mean_frame_bytes(limits: membership.HeartbeatLimits) -> float:
    """Return the mean over full and compact heartbeats."""
    beat = membership.HeartbeatScheduler(
        template('sidecar-0001', 'zone-01', 'p'), limits
    )
    load = membership.ReportedLoad(10, 10, 20)
    held = membership.ActiveConfig(100_000, _DIGEST)
    sizes = [
        frame_bytes(beat.next_heartbeat('entry', 0, load, held))
        for _ in range(limits.heartbeats_per_full)
    ]
    return sum(sizes) / len(sizes)
