"""Processes, links and the service for the experiment ``config``."""

import collections
import random
from collections.abc import Iterable
from typing import Any, Final

from bench import _events
from lentilspool import config

# IPv4 and TCP headers with time stamps, the acknowledgement, the frame.
_HEADER_BYTES: Final = 52 + 52 + 16
_DIGEST_BYTES: Final = 36
_NEAR_DELAY_S: Final = 0.001
_FAR_DELAY_S: Final = 0.07
_MIN_TICK_S: Final = 0.01


class Links:
    """Delay, loss and cut; counts the bytes at both ends."""

    def __init__(self, rng: random.Random, loss: float) -> None:
        self.cut: frozenset[str] = frozenset()
        self.push_only = False
        self.bytes_by_second: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._rng = rng
        self._loss = loss

    def delay_s(self, source: str, target: str) -> float:
        """Return the delay between zones in seconds."""
        if source == target:
            return _NEAR_DELAY_S
        return self._rng.uniform(_NEAR_DELAY_S, _FAR_DELAY_S)

    def lost(self, source: str, target: str) -> bool:
        """Tell whether a message between zones is lost."""
        if (source in self.cut) != (target in self.cut):
            return True
        return self._rng.random() < self._loss

    def count(self, now: float, process: str, message: config.Message) -> None:
        """Count the bytes of a message at one of its ends."""
        size = _HEADER_BYTES + _DIGEST_BYTES
        if isinstance(message, config.ConfigPush):
            size += sum(4 + len(raw) for raw in message.entries)
        self.bytes_by_second[process, int(now)] += size


class Service:
    """The published log; counts calls by second."""

    def __init__(self, base: bytes) -> None:
        self.log = [base]
        self.shown = 1
        self.up = True
        self.zone = 'z0'
        self.calls: collections.Counter[int] = collections.Counter()

    def after(self, number: int) -> tuple[bytes, ...]:
        """Return the visible entries after a number; the base is first."""
        return tuple(self.log[number : self.shown])


class Fleet:
    """Runs the decision code of every process in virtual time."""

    def __init__(
        self, seed: int, processes: int, zones: int, loss: float
    ) -> None:
        self.rng = random.Random(seed)
        self.queue = _events.EventQueue()
        self.links = Links(self.rng, loss)
        self.service = Service(b'')
        self.synchronizers: dict[str, config.Synchronizer] = {}
        self.replicas: dict[str, config.LogReplica] = {}
        self.reached_at: dict[str, dict[int, float]] = {}
        self.reverts = 0
        self.zone_of = {
            f'p{index}': f'z{index % zones}' for index in range(processes)
        }
        self._next_tick: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._evaluations: dict[Any, config.OfferEvaluation] = {}

    def start(self, base: bytes) -> None:
        """Start every process with nothing, at once."""
        self.service = Service(base)
        members = [config.Member(*pair) for pair in self.zone_of.items()]
        view = config.View(members)
        for member in members:
            name = member.process
            rng = random.Random(self.rng.random())
            self.replicas[name] = config.LogReplica(
                evaluate_offer=self._evaluate_offer
            )
            self.synchronizers[name] = config.Synchronizer(
                member, self.replicas[name], rng, self.queue.now
            )
            self.reached_at[name] = {}
            self.synchronizers[name].update_view(self.queue.now, view)
            self._schedule(name)

    def publish(self, raw: bytes, visible: bool = True) -> None:
        """Append to the log, and wake the watches if it is visible."""
        self.service.log.append(raw)
        if visible:
            self.show()

    def show(self) -> None:
        """Show the whole log to readers."""
        self.service.shown = len(self.service.log)
        waiting = list(self._waiting.items())
        for name, after in waiting:
            if after < self.service.shown:
                self._end_watch(name, after)

    def stop_service(self) -> None:
        """Stop the service; every open watch fails."""
        self.service.up = False
        waiting = tuple(self._waiting)
        self._waiting.clear()
        for name in waiting:
            self.synchronizers[name].on_service_failure(self.queue.now)
            self._schedule(name)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.queue.run(self.queue.now + seconds)

    def slowest(self, number: int, names: Iterable[str]) -> float | None:
        """Return the time at which the last process held a number."""
        times = [self.reached_at[name].get(number) for name in names]
        return None if None in times else max(held for held in times if held)

    def _evaluate_offer(
        self, held: Any, entries: tuple[bytes, ...], digest: str, known: Any
    ) -> config.OfferEvaluation:
        """Fold once for the whole fleet: the fold depends on these alone."""
        key = (held.digests[-1] if held else '', entries, digest)
        if key not in self._evaluations:
            self._evaluations[key] = config.evaluate_offer(
                held, entries, digest, known
            )
        return self._evaluations[key]

    def _schedule(self, name: str) -> None:
        due = max(self.synchronizers[name].due, self.queue.now + _MIN_TICK_S)
        if due < self._next_tick.get(name, float('inf')):
            self._next_tick[name] = due
            self.queue.at(due, lambda: self._tick(name, due))

    def _tick(self, name: str, due: float) -> None:
        if self._next_tick.get(name) == due:
            self._next_tick.pop(name)
            self._act(name, self.synchronizers[name].tick(self.queue.now))

    def _act(self, name: str, actions: list[config.Action]) -> None:
        now = self.queue.now
        number = self.replicas[name].number
        reached = self.reached_at[name]
        if number not in reached:
            self.reverts += any(number < earlier for earlier in reached)
            for passed in range(max(reached, default=0) + 1, number + 1):
                reached[passed] = now
        for action in actions:
            if isinstance(action, config.Send):
                self._send(name, action.peer, action.message)
            else:
                self._call(name, action)
        self._schedule(name)

    def _send(self, name: str, peer: str, message: config.Message) -> None:
        if self.links.push_only and isinstance(message, config.ConfigPull):
            return
        here = self.zone_of[name]
        there = self.zone_of[peer]
        self.links.count(self.queue.now, name, message)
        if self.links.lost(here, there):
            return

        def deliver() -> None:
            now = self.queue.now
            self.links.count(now, peer, message)
            taken = self._taken(peer, message)
            self._act(
                peer, self.synchronizers[peer].on_message(now, name, taken)
            )

        self.queue.after(self.links.delay_s(here, there), deliver)

    def _taken(self, peer: str, message: config.Message) -> config.Message:
        """Return a message as the arm takes it.

        With one push and no pull, a digest only shows that its sender lives.
        """
        if self.links.push_only and isinstance(message, config.ConfigDigest):
            held = self.replicas[peer]
            return config.ConfigDigest(held.number, held.digest)
        return message

    def _call(
        self, name: str, action: config.ReadService | config.WatchService
    ) -> None:
        self.service.calls[int(self.queue.now)] += 1
        cut = self.zone_of[name] in self.links.cut
        if cut or not self.service.up:
            self.synchronizers[name].on_service_failure(self.queue.now)
        elif isinstance(action, config.ReadService):
            self._answer(name, self.service.after(action.after))
        elif action.after < self.service.shown:
            self._answer(name, True)
        else:
            self._waiting[name] = action.after
            self.queue.after(
                action.wait_s, lambda: self._end_watch(name, action.after)
            )

    def _end_watch(self, name: str, after: int) -> None:
        if self._waiting.get(name) == after:
            self._waiting.pop(name)
            self._answer(name, after < self.service.shown)

    def _answer(self, name: str, answer: tuple[bytes, ...] | bool) -> None:
        zone = self.zone_of[name]
        if not self.service.up or self.links.lost(zone, self.service.zone):
            return

        def deliver() -> None:
            now = self.queue.now
            synchronizer = self.synchronizers[name]
            if isinstance(answer, bool):
                self._act(name, synchronizer.on_watch(now, answer))
            else:
                self._act(name, synchronizer.on_read(now, answer))

        self.queue.after(_NEAR_DELAY_S, deliver)
