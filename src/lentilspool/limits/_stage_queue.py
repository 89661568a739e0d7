"""Queues of stage calls at a sidecar."""

import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _drain_rate, _team_queue, _types

_DEFAULT_AGEING_S: Final = 5.0
_DEFAULT_STARTS_PER_AGED: Final = 8
_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})


@kernel.registry.register(kernel.PluginKind.queue_policy, 'default')
class StageQueue:
    """Bounded queue with two classes and fair shares for teams.

    Calls with a deadline start before calls that may wait. A call that may
    wait and has been queued for ``queue_ageing_s`` goes first once
    ``queue_starts_per_aged`` calls with a deadline have started since the
    last call that may wait, so that neither class starves.

    Within a class, start-time fair queueing divides the cost among the
    teams. The next call is the one with the earliest deadline among the
    teams within their share. If there are none, it is a call of the team
    that is the least ahead of its share. A full queue drops a call of the
    team with most cost for its share, and drops calls that may wait first.
    Calls that can no longer meet their deadline are dropped too.
    """

    def __init__(
        self,
        bound: int,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        self._bound = max(1, bound)
        self._ageing_s = parameters.get('queue_ageing_s', _DEFAULT_AGEING_S)
        self._starts_per_aged = parameters.get(
            'queue_starts_per_aged', _DEFAULT_STARTS_PER_AGED
        )
        self._deadline_queue = _team_queue.TeamQueue(shares)
        self._may_wait_queue = _team_queue.TeamQueue(shares)
        self._starts_since_may_wait = 0
        self._dropped = 0
        self._served_rate = _drain_rate.DrainRate()

    def __len__(self) -> int:
        return len(self._deadline_queue) + len(self._may_wait_queue)

    @property
    def cost(self) -> float:
        """Expected cost of all queued calls, in seconds of one slot."""
        return self._deadline_queue.cost + self._may_wait_queue.cost

    @property
    def deadline_cost(self) -> float:
        """Expected cost of calls with a deadline, in seconds of one slot."""
        return self._deadline_queue.cost

    def offer(
        self, call: _types.QueuedCall, now: float
    ) -> tuple[_types.Dropped, ...]:
        """Add a call; return the dropped calls, which may include it."""
        if _misses_deadline(call, now):
            return (self._drop(call, kernel.NotRunReason.deadline, now),)
        self._queue_for(call).add(call, now)
        if len(self) <= self._bound:
            return ()
        evict_from = (
            self._may_wait_queue
            if len(self._may_wait_queue)
            else self._deadline_queue
        )
        if call.urgency is _types.Urgency.may_wait:
            evict_from = self._may_wait_queue
        evicted = evict_from.evict()
        return (self._drop(evicted, kernel.NotRunReason.overloaded, now),)

    def take(self, now: float) -> _types.Dequeued:
        """Remove and return the next call that can meet its deadline."""
        dropped: list[_types.Dropped] = []
        call = self._pop_next(now)
        while call is not None and _misses_deadline(call, now):
            reason = kernel.NotRunReason.deadline
            dropped.append(self._drop(call, reason, now))
            call = self._pop_next(now)
        if call is not None:
            self._count_start(call)
            self._served_rate.add(call.cost, now)
        return _types.Dequeued(call, tuple(dropped))

    def remove(self, call_id: int) -> bool:
        """Remove a queued call; return false if it is not in the queue."""
        return self._deadline_queue.remove(
            call_id
        ) or self._may_wait_queue.remove(call_id)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'bound': self._bound,
            'dropped': self._dropped,
            'deadline': self._deadline_queue.dump(),
            'may_wait': self._may_wait_queue.dump(),
        }

    def _queue_for(self, call: _types.QueuedCall) -> _team_queue.TeamQueue:
        if call.urgency is _types.Urgency.deadline:
            return self._deadline_queue
        return self._may_wait_queue

    def _pop_next(self, now: float) -> _types.QueuedCall | None:
        is_aged = self._may_wait_queue.longest_wait_s(now) >= self._ageing_s
        may_start_aged = self._starts_since_may_wait >= self._starts_per_aged
        if len(self._may_wait_queue) and (
            not len(self._deadline_queue) or (is_aged and may_start_aged)
        ):
            return self._may_wait_queue.pop()
        if len(self._deadline_queue):
            return self._deadline_queue.pop()
        return None

    def _count_start(self, call: _types.QueuedCall) -> None:
        self._starts_since_may_wait += 1
        if call.urgency is _types.Urgency.may_wait:
            self._starts_since_may_wait = 0

    def _drop(
        self,
        call: _types.QueuedCall,
        reason: kernel.NotRunReason,
        now: float,
    ) -> _types.Dropped:
        self._dropped += 1
        wait_s = self._served_rate.wait_s(self.cost, now)
        refusal = kernel.NotRun(reason, retry_after_s=wait_s)
        return _types.Dropped(call, refusal)


@kernel.registry.register(kernel.PluginKind.queue_policy, 'fifo')
class FifoQueue:
    """Baseline: one bounded queue in order of arrival."""

    def __init__(
        self,
        bound: int,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        self._bound = max(1, bound)
        self._calls: dict[int, _types.QueuedCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    @property
    def cost(self) -> float:
        """Expected cost of all queued calls, in seconds of one slot."""
        return sum(call.cost for call in self._calls.values())

    def offer(
        self, call: _types.QueuedCall, now: float
    ) -> tuple[_types.Dropped, ...]:
        """Add a call, or drop it if the queue is full."""
        if len(self._calls) >= self._bound:
            reason = kernel.NotRunReason.overloaded
            refusal = kernel.NotRun(reason, retry_after_s=1)
            return (_types.Dropped(call, refusal),)
        self._calls[call.call_id] = call
        return ()

    def take(self, now: float) -> _types.Dequeued:
        """Remove and return the oldest call."""
        oldest = next(iter(self._calls), None)
        if oldest is None:
            return _types.Dequeued(None)
        return _types.Dequeued(self._calls.pop(oldest))

    def remove(self, call_id: int) -> bool:
        """Remove a queued call; return false if it is not in the queue."""
        return self._calls.pop(call_id, None) is not None

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'bound': self._bound, 'queued': len(self._calls)}


def _misses_deadline(call: _types.QueuedCall, now: float) -> bool:
    if call.urgency is _types.Urgency.may_wait:
        return False
    return now + call.min_remaining_s > call.deadline
