"""Baseline: every process watches the configuration service itself."""

import collections
import functools
import random
from typing import Final

from bench import _events

_WAIT_S: Final = 30.0
_SERVICE_CALLS_PER_S: Final = 2000
_RETRY_S: Final = 1.0
_PATCH_SPACING_S: Final = 41.0
_DELAY_S: Final = 0.001


class _Watchers:
    """Processes that each keep a watch open, within the service's rate."""

    def __init__(self, rng: random.Random, processes: int, loss: float) -> None:
        self.queue = _events.EventQueue()
        self.calls: collections.Counter[int] = collections.Counter()
        self.held = [0 for _ in range(processes)]
        self.reached_at: dict[int, float] = {}
        self._rng = rng
        self._loss = loss
        self._head = 0
        self._watching: dict[int, float] = {}

    def publish(self) -> None:
        """Publish a patch; every open watch is answered."""
        self._head += 1
        for process in list(self._watching):
            self._answer(process, self._watching[process])

    def call(self, process: int) -> None:
        """Open a watch, or try again later if the rate is used up."""
        second = int(self.queue.now)
        self.calls[second] += 1
        if self.calls[second] > _SERVICE_CALLS_PER_S:
            delay = _RETRY_S * self._rng.uniform(1 / 2, 3 / 2)
            self.queue.after(delay, lambda: self.call(process))
            return
        opened = self.queue.now
        self._watching[process] = opened
        if self.held[process] < self._head:
            self._answer(process, opened)
            return
        self.queue.after(_WAIT_S, lambda: self._answer(process, opened))

    def _answer(self, process: int, opened: float) -> None:
        if self._watching.get(process) != opened:
            return
        if self._rng.random() < self._loss:
            self._watching[process] = -1
            rest = max(0, opened + _WAIT_S - self.queue.now)
            self.queue.after(rest, lambda: self.call(process))
            return
        self._watching.pop(process)
        self.held[process] = self._head
        self.reached_at[self._head] = self.queue.now
        self.queue.after(_DELAY_S, lambda: self.call(process))


def every_process_watches(
    rng: random.Random, processes: int, loss: float, patches: int
) -> dict[str, object]:
    """Return the figures of the baseline."""
    fleet = _Watchers(rng, processes, loss)
    for process in range(processes):
        call = functools.partial(fleet.call, process)
        fleet.queue.at(rng.uniform(0, _WAIT_S), call)
    fleet.queue.run(2 * _WAIT_S)
    slowest: list[float] = []
    for number in range(1, patches + 1):
        began = fleet.queue.now
        fleet.publish()
        fleet.queue.run(began + _PATCH_SPACING_S)
        slowest.append(fleet.reached_at[number] - began)
    return {
        'seconds_to_all': round(max(slowest), 3),
        'service_reads_per_s': max(fleet.calls.values()),
        'not_reached': sum(held < patches for held in fleet.held),
    }
