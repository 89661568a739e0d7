"""Links between entries and sidecars, with faults drawn from a seed."""

import functools
import random
from collections.abc import Callable
from typing import Final

from bench import _events

_DELAY_S: Final = 0.001
_LATE_S: Final = 1.0
_DISORDER_SHARE: Final = 0.2
_FAULT_KINDS: Final = (
    'stop_sidecar',
    'stop_entry',
    'pause_sidecar',
    'silent',
    'partition',
    'disorder',
)
_FAULT_S: Final = 4.0
_FAULT_PERIOD_S: Final = 6.0
_PAUSE_S: Final = 3.0


def _ignore(_name: str) -> None:
    """Do nothing when a process stops or wakes."""


class FaultyNetwork:
    """Delivers messages late, twice or never while a fault lasts.

    Processes are named ``e0`` and ``s0``. ``on_stop`` and ``on_wake`` are
    called with a name when a process is replaced or wakes from a pause.
    """

    def __init__(
        self,
        queue: _events.EventQueue,
        generator: random.Random,
        entries: int,
        sidecars: int,
    ) -> None:
        self.on_stop: Callable[[str], None] = _ignore
        self.on_wake: Callable[[str], None] = _ignore
        self._queue = queue
        self._generator = generator
        self._entries = [f'e{number}' for number in range(entries)]
        self._sidecars = [f's{number}' for number in range(sidecars)]
        self._cuts: list[frozenset[str]] = []
        self._disorder = 0
        self._asleep: dict[str, list[Callable[[], None]]] = {}

    def draw_faults(self, until_s: float, together: int) -> None:
        """Schedule faults, so many at a time, until the time is reached."""
        begin_s = 1.0
        while begin_s + _FAULT_PERIOD_S <= until_s:
            for kind in self._generator.sample(_FAULT_KINDS, together):
                self._schedule(kind, begin_s)
            begin_s += _FAULT_PERIOD_S

    def send(self, source: str, target: str, act: Callable[[], None]) -> None:
        """Deliver a message: call ``act`` when the target gets it."""
        if any({source, target} <= cut for cut in self._cuts):
            return
        deliver = functools.partial(self.run_at, target, act)
        delays = [self._generator.expovariate(1 / _DELAY_S)]
        if self._disorder and self._generator.random() < _DISORDER_SHARE:
            delays.append(self._generator.uniform(0, _LATE_S))
            delays = delays[self._generator.randrange(2) :]
        for delay_s in delays:
            self._queue.after(delay_s, deliver)

    def run_at(self, process: str, act: Callable[[], None]) -> None:
        """Let a process act now, or when it wakes."""
        missed = self._asleep.get(process)
        if missed is None:
            act()
        else:
            missed.append(act)

    def _schedule(self, kind: str, begin_s: float) -> None:
        sidecar = self._generator.choice(self._sidecars)
        entry = self._generator.choice(self._entries)
        others = self._generator.sample(self._sidecars, 4)
        ends = {'silent': [{entry, sidecar}], 'partition': []}
        ends['partition'] = [{entry, other} for other in others]
        if kind == 'stop_sidecar':
            self._queue.at(begin_s, lambda: self._stop(sidecar))
        elif kind == 'stop_entry':
            self._queue.at(begin_s, lambda: self._stop(entry))
        elif kind == 'pause_sidecar':
            self._queue.at(begin_s, lambda: self._pause(sidecar))
        elif kind == 'disorder':
            self._queue.at(begin_s, lambda: self._set_disorder(1))
            self._queue.at(begin_s + _FAULT_S, lambda: self._set_disorder(-1))
        else:
            cuts = [frozenset(pair) for pair in ends[kind]]
            self._queue.at(begin_s, lambda: self._cut(cuts))
            self._queue.at(begin_s + _FAULT_S, lambda: self._mend(cuts))

    def _set_disorder(self, change: int) -> None:
        self._disorder += change

    def _cut(self, cuts: list[frozenset[str]]) -> None:
        self._cuts.extend(cuts)

    def _mend(self, cuts: list[frozenset[str]]) -> None:
        for cut in cuts:
            self._cuts.remove(cut)

    def _stop(self, process: str) -> None:
        self._asleep.pop(process, None)
        self.on_stop(process)

    def _pause(self, process: str) -> None:
        self._asleep.setdefault(process, [])
        self._queue.after(_PAUSE_S, lambda: self._wake(process))

    def _wake(self, process: str) -> None:
        missed = self._asleep.pop(process, None)
        if missed is None:
            return
        self.on_wake(process)
        for act in missed:
            act()
