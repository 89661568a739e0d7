"""Queue and concurrency limit for calls to the endpoint of a sidecar."""

import collections
import dataclasses
from typing import Any

import trio

from lentilspool import config, kernel, limits, wire

_MS_PER_S = 1000
_MAY_WAIT_PRIORITY = 1
_MIN_RETRY_AFTER_S = 0.001


@dataclasses.dataclass(slots=True)
class _WaitingCall:
    """A call in the queue; ``decided`` is set when it starts or is refused."""

    call: limits.QueuedCall
    decided: trio.Event
    refusal: kernel.NotRun | None = None


class Slots:
    """Queues calls and grants them slots at the endpoint.

    Await ``acquire`` before a call is sent to the endpoint, and call
    ``release`` after it. Cancelling ``acquire`` removes the call from the
    queue. A call marked ``alone`` starts when the endpoint is idle, and no
    other call starts until it has ended.
    """

    def __init__(self, times: limits.ServiceTimes) -> None:
        self._times = times
        self._queue: limits.QueuePolicy = limits.FifoQueue(1)
        self._limit: limits.LimitPolicy = limits.FixedLimit(1)
        self._waiting: dict[int, _WaitingCall] = {}
        self._waiting_alone: collections.deque[_WaitingCall] = (
            collections.deque()
        )
        self._running_alone = False
        self._running = 0
        self._last_id = 0
        self._applied_policies: object = None
        self.reachable = True

    @property
    def running(self) -> int:
        """Number of calls at the endpoint."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Maximum number of calls at the endpoint.

        It is 0 if the endpoint is down, and before the first configuration.
        """
        if self._applied_policies is None or not self.reachable:
            return 0
        return self._limit.limit

    def apply_configuration(self, document: config.Document, pool: str) -> None:
        """Apply the policies of a new configuration; queued calls are kept."""
        pool_document = document.pools[pool]
        shares = {name: team.share for name, team in document.teams.items()}
        parameters = document.policies.parameters
        policies = (pool_document, document.policies, shares)
        if policies == self._applied_policies:
            return
        self._applied_policies = policies
        make_queue: Any = kernel.registry.find(
            kernel.PluginKind.queue_policy, document.policies.queue
        )
        make_limit: Any = kernel.registry.find(
            kernel.PluginKind.limit_policy, pool_document.limit
        )
        self._limit = make_limit(pool_document.max_in_flight, parameters)
        self._queue = make_queue(pool_document.max_queued, shares, parameters)
        for waiting in tuple(self._waiting.values()):
            if waiting not in self._waiting_alone:
                self._enqueue(waiting)
        self._start_calls()

    async def acquire(
        self, call: wire.StageCall, pool: str
    ) -> kernel.NotRun | None:
        """Wait for a slot; return a refusal if the call will not get one.

        A call that may not queue is refused unless a slot is free. The
        refusal carries the expected wait as its retry delay.
        """
        if not call.may_queue and self._is_full():
            reason = kernel.NotRunReason.overloaded
            return kernel.NotRun(reason, self._expected_wait_s(call, pool))
        waiting = _WaitingCall(self._queued_call(call, pool), trio.Event())
        self._waiting[waiting.call.call_id] = waiting
        if call.alone:
            self._waiting_alone.append(waiting)
        else:
            self._enqueue(waiting)
        self._start_calls()
        try:
            await waiting.decided.wait()
        except trio.Cancelled:
            self._cancel(waiting)
            raise
        return waiting.refusal

    def release(self) -> None:
        """Free the slot of a call that has ended, and start the next."""
        self._running -= 1
        self._running_alone = False
        self._start_calls()

    def observe(self, sample: limits.LatencySample) -> None:
        """Update the concurrency limit with the latency of a finished call."""
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
        return busy or self._running_alone or bool(self._waiting)

    def _expected_wait_s(self, call: wire.StageCall, pool: str) -> float:
        """Return the expected wait of a new call, in seconds."""
        expected = self._times.estimate(pool, stage_key(call), 0)
        work_s = self._queue.cost + expected.mean_s
        return max(work_s / self._limit.limit, _MIN_RETRY_AFTER_S)

    def _queued_call(
        self, call: wire.StageCall, pool: str
    ) -> limits.QueuedCall:
        self._last_id += 1
        expected = self._times.estimate(pool, stage_key(call), 0)
        may_wait = call.priority == _MAY_WAIT_PRIORITY
        return limits.QueuedCall(
            call_id=self._last_id,
            team=call.team,
            cost=expected.mean_s,
            deadline=trio.current_time() + call.deadline_ms / _MS_PER_S,
            min_remaining_s=expected.low_s + call.later_ms / _MS_PER_S,
            urgency=limits.Urgency.may_wait
            if may_wait
            else limits.Urgency.deadline,
        )

    def _enqueue(self, waiting: _WaitingCall) -> None:
        self._refuse(self._queue.offer(waiting.call, trio.current_time()))

    def _start_calls(self) -> None:
        """Start calls while slots are free.

        While a call that runs alone waits, no other call is started.
        """
        if self._waiting_alone and not self._running:
            self._running_alone = True
            self._start(self._waiting_alone.popleft())
        if self._waiting_alone or self._running_alone:
            return
        while self._running < self._limit.limit:
            taken = self._queue.take(trio.current_time())
            self._refuse(taken.dropped)
            if taken.call is None:
                return
            waiting = self._waiting.get(taken.call.call_id)
            if waiting is not None:
                self._start(waiting)

    def _start(self, waiting: _WaitingCall) -> None:
        self._waiting.pop(waiting.call.call_id, None)
        self._running += 1
        waiting.decided.set()

    def _refuse(self, dropped: tuple[limits.Dropped, ...]) -> None:
        for drop in dropped:
            waiting = self._waiting.pop(drop.call.call_id, None)
            if waiting is not None:
                waiting.refusal = drop.outcome
                waiting.decided.set()

    def _cancel(self, waiting: _WaitingCall) -> None:
        """Remove a cancelled call from the queue, or release its slot."""
        removed = self._waiting.pop(waiting.call.call_id, None)
        if removed is not None and removed in self._waiting_alone:
            self._waiting_alone.remove(removed)
            self._start_calls()
        elif removed is not None:
            self._queue.remove(waiting.call.call_id)
        elif waiting.refusal is None:
            self.release()


def stage_key(call: wire.StageCall) -> str:
    """Return the key of the call's stage in the table of service times."""
    return f'{call.pipeline}/{call.stage}'
