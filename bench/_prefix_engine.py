"""Fake engine for experiments: batch limit, queue and prefix cache."""

import collections
import dataclasses
import functools
from collections.abc import Callable

from bench import _events

BLOCK_TOKENS = 64
PREFILL_S = 0.0002
BATCH = 8
_CACHE_BLOCKS = 600


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call and what it really takes."""

    at_s: float
    entry: int
    blocks: tuple[int, ...]
    decode_s: float


class Engine:
    """A batch limit, a queue in order of arrival and a cache of blocks."""

    def __init__(self, name: str, queue: _events.EventQueue) -> None:
        self.name = name
        self.prefilled = 0
        self.ends: list[float] = []
        self.waiting: collections.deque[tuple[Call, Callable[[], None]]]
        self.waiting = collections.deque()
        self.cache: collections.OrderedDict[int, None]
        self.cache = collections.OrderedDict()
        self.stored: list[int] = []
        self.evicted: list[int] = []
        self._queue = queue

    def send(self, call: Call, done: Callable[[], None]) -> None:
        """Queue a call; ``done`` is called at its end."""
        self.waiting.append((call, done))
        self._fill()

    def depth(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks in the cache."""
        for depth, block in enumerate(blocks):
            if block not in self.cache:
                return depth
        return len(blocks)

    def cost_s(self, call: Call, now: float, weight: float) -> float:
        """Return the exact wait, and prefill times a weight, in seconds."""
        ends = sorted(self.ends)
        wait_s = 0.0
        if len(ends) == BATCH:
            ahead_s = sum(self._service_s(queued) for queued, _ in self.waiting)
            wait_s = ends[0] - now + ahead_s / BATCH
        uncached = len(call.blocks) - self.depth(call.blocks)
        prefill_s = uncached * BLOCK_TOKENS * PREFILL_S
        busy = len(ends) / BATCH * PREFILL_S
        return wait_s + prefill_s * weight + busy

    def _service_s(self, call: Call) -> float:
        uncached = len(call.blocks) - self.depth(call.blocks)
        return call.decode_s + uncached * BLOCK_TOKENS * PREFILL_S

    def _fill(self) -> None:
        while self.waiting and len(self.ends) < BATCH:
            call, done = self.waiting.popleft()
            uncached = len(call.blocks) - self.depth(call.blocks)
            self.prefilled += uncached * BLOCK_TOKENS
            self._keep(call.blocks)
            service_s = call.decode_s + uncached * BLOCK_TOKENS * PREFILL_S
            self.ends.append(self._queue.now + service_s)
            self._queue.after(service_s, functools.partial(self._end, done))

    def _end(self, done: Callable[[], None]) -> None:
        self.ends.remove(min(self.ends))
        done()
        self._fill()

    def _keep(self, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            if block not in self.cache:
                self.stored.append(block)
            self.cache[block] = None
        for block in reversed(blocks):
            self.cache.move_to_end(block)
        while len(self.cache) > _CACHE_BLOCKS:
            self.evicted.append(self.cache.popitem(last=False)[0])
