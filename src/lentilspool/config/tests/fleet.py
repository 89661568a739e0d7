"""Simulated processes, network and service, for tests of ``Synchronizer``."""

import dataclasses
import random

from lentilspool import config

_STEP_S = 0.25
_MAX_DELIVERIES_PER_PROCESS = 60


@dataclasses.dataclass(frozen=True)
class ReadReply:
    """Reply of the service to a read, on its way to a process."""

    entries: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class WatchReply:
    """Reply of the service to a watch, on its way to a process."""

    has_new_entries: bool


@dataclasses.dataclass(frozen=True)
class Packet:
    """A message or reply in flight, to one incarnation of a process."""

    source: str
    target: str
    incarnation: int
    content: config.Message | ReadReply | WatchReply


class Service:
    """The configuration service; a stale one shows only part of its log."""

    def __init__(self, base: bytes) -> None:
        self.log = [base]
        self.visible = 1
        self.up = True

    def after(self, number: int) -> tuple[bytes, ...]:
        visible = self.log[: self.visible]
        bases = [raw for raw in visible if b'"document"' in raw]
        first = config.decode_entry(bases[-1]).number
        start = first if number < first else number + 1
        return tuple(
            raw for raw in visible if config.decode_entry(raw).number >= start
        )

    def publish(self, raw: bytes, stale: bool = False) -> None:
        self.log.append(raw)
        self.visible = self.visible if stale else len(self.log)


class Fleet:
    """Processes p0, p1, ... in two zones, in virtual time.

    Only ``step`` advances the time. Packets are in flight until ``deliver``.
    """

    def __init__(self, size: int, service: Service, seed: int = 1) -> None:
        self.service = service
        self.now = 0.0
        self.packets: list[Packet] = []
        self.delivered: list[Packet] = []
        self.ready_at: dict[str, int] = {}
        self.paused: set[str] = set()
        self.partitioned: set[str] = set()
        self.watches: dict[str, tuple[int, float]] = {}
        self.incarnations = {f'p{index}': 0 for index in range(size)}
        self.replicas: dict[str, config.LogReplica] = {}
        self.synchronizers: dict[str, config.Synchronizer] = {}
        self.rng = random.Random(seed)
        for name in self.names:
            self.start(name)

    @property
    def names(self) -> list[str]:
        """Names of the processes, in order."""
        return list(self.incarnations)

    def start(self, name: str) -> None:
        """Start or restart a process, without any configuration."""
        member = config.Member(name, _zone(name))
        replica = config.LogReplica()
        rng = random.Random(self.rng.random())
        synchronizer = config.Synchronizer(member, replica, rng, self.now)
        self.incarnations[name] += 1
        self.replicas[name] = replica
        self.synchronizers[name] = synchronizer
        self.paused.discard(name)
        self.watches.pop(name, None)
        self.ready_at.pop(name, None)
        members = [config.Member(other, _zone(other)) for other in self.names]
        synchronizer.update_view(self.now, config.View(members))

    def connected(self, one: str, other: str) -> bool:
        """Return whether both ends are on the same side of the partition."""
        return (one in self.partitioned) == (other in self.partitioned)

    def step(self, seconds: float = _STEP_S) -> None:
        """Advance the time, then tick every process that is not paused."""
        self.now += seconds
        self._end_watches()
        for name in self.names:
            if name not in self.paused:
                self._perform(name, self.synchronizers[name].tick(self.now))

    def deliver(self, index: int) -> None:
        """Deliver one packet, unless its target is paused.

        It is dropped at a partition or if the target has restarted.
        """
        packet = self.packets[index]
        if packet.target in self.paused:
            return
        self.packets.pop(index)
        self.delivered.append(packet)
        if packet.incarnation != self.incarnations[packet.target]:
            return
        if self.connected(packet.source, packet.target):
            self._perform(packet.target, self._receive(packet))

    def replay(self, index: int) -> None:
        """Deliver an earlier packet again, even to a later incarnation."""
        packet = self.delivered[index]
        if packet.target not in self.paused:
            self._perform(packet.target, self._receive(packet))

    def run_without_loss(self, seconds: float) -> None:
        """Run for some time; deliver every packet, in random order."""
        end = self.now + seconds
        while self.now < end:
            self.step()
            for _ in range(_MAX_DELIVERIES_PER_PROCESS * len(self.names)):
                deliverable = [
                    index
                    for index, packet in enumerate(self.packets)
                    if packet.target not in self.paused
                ]
                if not deliverable:
                    break
                self.deliver(self.rng.choice(deliverable))

    def _receive(self, packet: Packet) -> list[config.Action]:
        synchronizer = self.synchronizers[packet.target]
        content = packet.content
        if isinstance(content, ReadReply):
            return synchronizer.on_read(self.now, content.entries)
        if isinstance(content, WatchReply):
            return synchronizer.on_watch(self.now, content.has_new_entries)
        return synchronizer.on_message(self.now, packet.source, content)

    def _perform(self, name: str, actions: list[config.Action]) -> None:
        if self.synchronizers[name].ready:
            self.ready_at.setdefault(name, self.replicas[name].number)
        for action in actions:
            if isinstance(action, config.Send):
                target = action.peer
                content = action.message
                incarnation = self.incarnations[target]
                self.packets.append(Packet(name, target, incarnation, content))
            elif not self.service.up or name in self.partitioned:
                self.synchronizers[name].on_service_failure(self.now)
            elif isinstance(action, config.WatchService):
                ends_at = self.now + action.wait_s
                self.watches[name] = (action.after, ends_at)
            else:
                self._send_reply(
                    name, ReadReply(self.service.after(action.after))
                )

    def _end_watches(self) -> None:
        for name, (after, ends_at) in list(self.watches.items()):
            has_new_entries = (
                bool(self.service.after(after)) and self.service.up
            )
            if has_new_entries or self.now >= ends_at:
                self.watches.pop(name)
                self._send_reply(name, WatchReply(has_new_entries))

    def _send_reply(self, name: str, content: ReadReply | WatchReply) -> None:
        incarnation = self.incarnations[name]
        self.packets.append(Packet('service', name, incarnation, content))


def _zone(name: str) -> str:
    return f'z{int(name[1:]) % 2}'
