"""Slots of the endpoint beside the sidecar: queue and concurrency limit."""

import collections
import dataclasses
from typing import Any

import trio

from lentilspool import config, kernel, limits, wire

_MS = 1000
_MAY_WAIT = 1
_LEAST_WAIT_S = 0.001


@dataclasses.dataclass(slots=True)
class _Waiting:
    call: limits.QueuedCall
    decided: trio.Event
    refusal: kernel.NotRun | None = None


class Slots:
    """Grants calls their turn at the endpoint.

    Await ``take`` before a call goes to the endpoint, and call ``free``
    after it. Cancelling ``take`` takes the call out of the queue. A call
    that runs alone starts when the endpoint is idle; no other call starts
    before it has ended.
    """

    def __init__(self, times: limits.ServiceTimes) -> None:
        self._times = times
        self._queue: limits.QueuePolicy = limits.FifoQueue(1)
        self._limit: limits.LimitPolicy = limits.FixedLimit(1)
        self._waiting: dict[int, _Waiting] = {}
        self._alone: collections.deque[_Waiting] = collections.deque()
        self._held_alone = False
        self._running = 0
        self._last_id = 0
        self._policies: object = None
        self.reachable = True

    @property
    def running(self) -> int:
        """Calls at the endpoint."""
        return self._running

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that may be at the endpoint together; 0 if it is down."""
        return self._limit.limit if self.reachable else 0

    def adopt(self, document: config.Document, pool: str) -> None:
        """Take the policies of a new configuration; waiting calls stay."""
        own = document.pools[pool]
        shares = {name: team.share for name, team in document.teams.items()}
        parameters = document.policies.parameters
        policies = (own, document.policies, shares)
        if policies == self._policies:
            return
        self._policies = policies
        make_queue: Any = kernel.registry.find(
            kernel.PluginKind.queue_policy, document.policies.queue
        )
        make_limit: Any = kernel.registry.find(
            kernel.PluginKind.limit_policy, own.limit
        )
        self._limit = make_limit(own.max_in_flight, parameters)
        self._queue = make_queue(own.max_queued, shares, parameters)
        for waiting in tuple(self._waiting.values()):
            if waiting not in self._alone:
                self._offer(waiting)
        self._grant()

    async def take(
        self, call: wire.StageCall, pool: str
    ) -> kernel.NotRun | None:
        """Wait for a turn; return a refusal if there will be none.

        A call that may not queue is refused unless its turn is now; the
        refusal tells how long it would have waited.
        """
        if not call.may_queue and self._is_full():
            reason = kernel.NotRunReason.overloaded
            return kernel.NotRun(reason, self._wait_s(call, pool))
        waiting = _Waiting(self._queued_call(call, pool), trio.Event())
        self._waiting[waiting.call.call_id] = waiting
        if call.alone:
            self._alone.append(waiting)
        else:
            self._offer(waiting)
        self._grant()
        try:
            await waiting.decided.wait()
        except trio.Cancelled:
            self._withdraw(waiting)
            raise
        return waiting.refusal

    def free(self) -> None:
        """Give the turn back."""
        self._running -= 1
        self._held_alone = False
        self._grant()

    def observe(self, sample: limits.LatencySample) -> None:
        """Let the concurrency limit learn from a call that has ended."""
        self._limit.observe(sample, trio.current_time())

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'running': self._running,
            'queue': self._queue.dump(),
            'limit': self._limit.dump(),
        }

    def _is_full(self) -> bool:
        busy = self._running >= self._limit.limit
        return busy or self._held_alone or bool(self._waiting)

    def _wait_s(self, call: wire.StageCall, pool: str) -> float:
        """Return the expected seconds until a new call would start."""
        expected = self._times.estimate(pool, key_of(call), 0)
        work_s = self._queue.cost + expected.mean_s
        return max(work_s / self._limit.limit, _LEAST_WAIT_S)

    def _queued_call(
        self, call: wire.StageCall, pool: str
    ) -> limits.QueuedCall:
        self._last_id += 1
        expected = self._times.estimate(pool, key_of(call), 0)
        may_wait = call.priority == _MAY_WAIT
        return limits.QueuedCall(
            call_id=self._last_id,
            team=call.team,
            cost=expected.mean_s,
            deadline=trio.current_time() + call.deadline_ms / _MS,
            min_remaining_s=expected.low_s + call.later_ms / _MS,
            urgency=limits.Urgency.may_wait
            if may_wait
            else limits.Urgency.deadline,
        )

    def _offer(self, waiting: _Waiting) -> None:
        self._refuse(self._queue.offer(waiting.call, trio.current_time()))

    def _grant(self) -> None:
        """Start what may start; a call that runs alone goes before others."""
        if self._alone and not self._running:
            self._held_alone = True
            self._start(self._alone.popleft())
        if self._alone or self._held_alone:
            return
        while self._running < self._limit.limit:
            taken = self._queue.take(trio.current_time())
            self._refuse(taken.dropped)
            if taken.call is None:
                return
            waiting = self._waiting.get(taken.call.call_id)
            if waiting is not None:
                self._start(waiting)

    def _start(self, waiting: _Waiting) -> None:
        self._waiting.pop(waiting.call.call_id, None)
        self._running += 1
        waiting.decided.set()

    def _refuse(self, dropped: tuple[limits.Dropped, ...]) -> None:
        for drop in dropped:
            waiting = self._waiting.pop(drop.call.call_id, None)
            if waiting is not None:
                waiting.refusal = drop.outcome
                waiting.decided.set()

    def _withdraw(self, waiting: _Waiting) -> None:
        """Undo a call that was cancelled before or after its turn came."""
        held = self._waiting.pop(waiting.call.call_id, None)
        if held is not None and held in self._alone:
            self._alone.remove(held)
            self._grant()
        elif held is not None:
            self._queue.remove(waiting.call.call_id)
        elif waiting.refusal is None:
            self.free()


def key_of(call: wire.StageCall) -> str:
    """Return the name under which the times of a call's stage are kept."""
    return f'{call.pipeline}/{call.stage}'
