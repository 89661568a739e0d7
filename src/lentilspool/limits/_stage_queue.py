"""Queue of a sidecar: classes, fair shares by team, early drops."""

import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _drain_rate, _team_queue, _types

_AGEING_S: Final = 5.0
_STARTS_PER_AGED: Final = 8
_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})


@kernel.registry.register(kernel.PluginKind.queue_policy, 'default')
class StageQueue:
    """Start-time fair queueing by team and cost, in two classes.

    Calls with a deadline go first. A call that may wait goes ahead once
    it has waited ``queue_ageing_s``, at most one in
    ``queue_starts_per_aged`` starts, so that neither class starves. Within
    a class the earliest deadline of the teams inside their share is next,
    otherwise the team that is ahead of its share least. A full queue drops the latest call
    of the team that holds most for its share, calls that may wait first.
    """

    def __init__(
        self,
        bound: int,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        self._bound = max(1, bound)
        self._ageing_s = parameters.get('queue_ageing_s', _AGEING_S)
        self._starts_per_aged = parameters.get(
            'queue_starts_per_aged', _STARTS_PER_AGED
        )
        self._urgent = _team_queue.TeamQueue(shares)
        self._waiting = _team_queue.TeamQueue(shares)
        self._starts = 0
        self._dropped = 0
        self._rate = _drain_rate.DrainRate()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._waiting)

    @property
    def cost(self) -> float:
        """Expected cost of all waiting calls, in seconds of one slot."""
        return self._urgent.cost + self._waiting.cost

    @property
    def urgent_cost(self) -> float:
        """Expected cost of the calls with a deadline."""
        return self._urgent.cost

    def offer(
        self, call: _types.QueuedCall, now: float
    ) -> tuple[_types.Dropped, ...]:
        """Add a call; returns the calls that had to go, maybe this one."""
        if _hopeless(call, now):
            return (self._drop(call, kernel.NotRunReason.deadline, now),)
        self._queue_of(call).add(call, now)
        if len(self) <= self._bound:
            return ()
        fullest = self._waiting if len(self._waiting) else self._urgent
        if call.urgency is _types.Urgency.may_wait:
            fullest = self._waiting
        victim = fullest.push_out()
        return (self._drop(victim, kernel.NotRunReason.overloaded, now),)

    def take(self, now: float) -> _types.Taken:
        """Remove and return the next call that can end on time."""
        dropped: list[_types.Dropped] = []
        call = self._next(now)
        while call is not None and _hopeless(call, now):
            reason = kernel.NotRunReason.deadline
            dropped.append(self._drop(call, reason, now))
            call = self._next(now)
        if call is not None:
            self._count_start(call)
            self._rate.add(call.cost, now)
        return _types.Taken(call, tuple(dropped))

    def remove(self, call_id: int) -> bool:
        """Cancel a waiting call; false if it does not wait here."""
        return self._urgent.remove(call_id) or self._waiting.remove(call_id)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'bound': self._bound,
            'dropped': self._dropped,
            'deadline': self._urgent.dump(),
            'may_wait': self._waiting.dump(),
        }

    def _queue_of(self, call: _types.QueuedCall) -> _team_queue.TeamQueue:
        if call.urgency is _types.Urgency.deadline:
            return self._urgent
        return self._waiting

    def _next(self, now: float) -> _types.QueuedCall | None:
        aged = self._waiting.longest_wait_s(now) >= self._ageing_s
        turn = self._starts >= self._starts_per_aged
        if len(self._waiting) and (not len(self._urgent) or (aged and turn)):
            return self._waiting.pop()
        if len(self._urgent):
            return self._urgent.pop()
        return None

    def _count_start(self, call: _types.QueuedCall) -> None:
        self._starts += 1
        if call.urgency is _types.Urgency.may_wait:
            self._starts = 0

    def _drop(
        self,
        call: _types.QueuedCall,
        reason: kernel.NotRunReason,
        now: float,
    ) -> _types.Dropped:
        self._dropped += 1
        wait_s = self._rate.wait_s(self.cost, now)
        refusal = kernel.NotRun(reason, retry_after_s=wait_s)
        return _types.Dropped(call, refusal)


@kernel.registry.register(kernel.PluginKind.queue_policy, 'fifo')
class FifoQueue:
    """Baseline: one queue in order of arrival, refusing when full."""

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
        """Expected cost of all waiting calls, in seconds of one slot."""
        return sum(call.cost for call in self._calls.values())

    def offer(
        self, call: _types.QueuedCall, now: float
    ) -> tuple[_types.Dropped, ...]:
        """Add a call; refuses it when the queue is full."""
        if len(self._calls) >= self._bound:
            reason = kernel.NotRunReason.overloaded
            refusal = kernel.NotRun(reason, retry_after_s=1)
            return (_types.Dropped(call, refusal),)
        self._calls[call.call_id] = call
        return ()

    def take(self, now: float) -> _types.Taken:
        """Remove and return the oldest call."""
        oldest = next(iter(self._calls), None)
        if oldest is None:
            return _types.Taken(None)
        return _types.Taken(self._calls.pop(oldest))

    def remove(self, call_id: int) -> bool:
        """Cancel a waiting call; false if it does not wait here."""
        return self._calls.pop(call_id, None) is not None

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'bound': self._bound, 'queued': len(self._calls)}


def _hopeless(call: _types.QueuedCall, now: float) -> bool:
    if call.urgency is _types.Urgency.may_wait:
        return False
    return now + call.least_s > call.deadline
