"""A stage slows down or fails for 30 s: what retries make of it.

A pipeline of four stages runs at 0.9 of the capacity of every pool. In
turn each pool, or one endpoint of it, gets ten times slower or answers
with errors. All arms have the same endpoints, timeouts, cancels and queue
bounds; they differ in what follows an attempt that failed. The bound
knows the fault: it serves every request that arrives outside of it, of
those inside the share that the pool can still work off, and all that
arrive so late that they can wait for the end of the fault.
"""

import collections
import dataclasses
import random
from collections.abc import Iterator

from bench import _events, _failing_endpoint
from lentilspool import kernel, retries, routing

_STAGES = ('encode', 'retrieve', 'rerank', 'generate')
_FAULTS = ('slow', 'fail')
_ARMS = ('lentilspool', 'three_attempts', 'unlimited_retries', 'no_retry')
_ATTEMPT_S = 1.25
_DEADLINE_S = 5.0
_FAULT_AT_S = 10.0
_FAULT_S = 30.0
_AFTER_S = 30.0
_WINDOW_S = 2.0


@dataclasses.dataclass(slots=True)
class _Request:
    at_s: float
    entry: int
    stage: int = 0
    attempts: int = 0
    tried: frozenset[str] = frozenset()


class _Pool:
    """What one entry keeps for one pool."""

    def __init__(self, endpoints: int, ours: bool) -> None:
        name = 'default' if ours else 'least_outstanding'
        find = kernel.registry.find(kernel.PluginKind.routing_policy, name)
        self.policy: routing.RoutingPolicy = find()
        self.table = routing.EndpointTable()
        names = [str(number) for number in range(endpoints)]
        self.table.set_endpoints(
            routing.Candidate(name=name, capacity=_failing_endpoint.SLOTS)
            for name in names
        )
        self.budget = retries.RetryBudget(reserve=2 * _failing_endpoint.SLOTS)
        self.breaker = retries.PoolBreaker()
        self.ejection = retries.OutlierEjection()
        self.ejection.set_endpoints(names)


class _Run:
    """One arm under one fault."""

    def __init__(
        self, arm: str, seed: int, endpoints: int, entries: int, load: float
    ) -> None:
        self._arm = arm
        self._ours = arm == 'lentilspool'
        self._rng = random.Random(seed)
        self._queue = _events.EventQueue()
        self._endpoints = [
            [
                _failing_endpoint.Endpoint(self._queue, self._rng)
                for _ in range(endpoints)
            ]
            for _ in _STAGES
        ]
        self._pools = [
            [_Pool(endpoints, self._ours) for _ in _STAGES]
            for _ in range(entries)
        ]
        self._rate = (
            load
            * endpoints
            * _failing_endpoint.SLOTS
            / _failing_endpoint.SERVICE_S
        )
        self._arrived: collections.Counter[int] = collections.Counter()
        self._on_time: collections.Counter[int] = collections.Counter()
        self._reached = 0
        self._attempts = 0
        self._faulty = 0

    def figures(self, stage: int, fault: str, scope: str) -> dict[str, object]:
        """Run it and return what the fault did."""
        self._faulty = stage
        hit = self._endpoints[stage]
        if scope == 'endpoint':
            hit = hit[:1]
        self._queue.at(_FAULT_AT_S, lambda: _set(hit, fault, on=True))
        ends_s = _FAULT_AT_S + _FAULT_S
        self._queue.at(ends_s, lambda: _set(hit, fault, on=False))
        self._queue.after(0, self._arrive)
        self._queue.run(ends_s + _AFTER_S + _DEADLINE_S)
        windows = range(int((ends_s + _AFTER_S) / _WINDOW_S))
        shares = [
            self._on_time[window] / max(self._arrived[window], 1)
            for window in windows
        ]
        first = int(_FAULT_AT_S / _WINDOW_S)
        last = int(ends_s / _WINDOW_S)
        # The last window before the fault still reaches the faulty stage.
        before = sum(shares[: first - 1]) / (first - 1)
        bad = [
            number - last + 1
            for number in windows
            if number >= last and shares[number] < before * 0.99
        ]
        during = shares[first:last]
        return {
            'requests': self._reached,
            'attempts_per_request': round(
                self._attempts / max(self._reached, 1), 4
            ),
            'recovery_seconds': _WINDOW_S * max(bad, default=0),
            'recovered': len(windows) - last not in bad,
            'attainment_before': round(before, 4),
            'attainment_during': round(sum(during) / len(during), 4),
        }

    def _arrive(self) -> None:
        now = self._queue.now
        if now >= _FAULT_AT_S + _FAULT_S + _AFTER_S:
            return
        self._queue.after(self._rng.expovariate(self._rate), self._arrive)
        self._arrived[int(now / _WINDOW_S)] += 1
        request = _Request(now, self._rng.randrange(len(self._pools)))
        if self._ours:
            for pool in self._pools[request.entry]:
                admitted = pool.breaker.admit(now, self._rng)
                if isinstance(admitted, retries.Refused):
                    return
        self._attempt(request)

    def _attempt(self, request: _Request) -> None:
        now = self._queue.now
        pool = self._pools[request.entry][request.stage]
        request.attempts += 1
        self._count(request, now)
        choice = pool.policy.choose(
            routing.RoutingRequest(
                service_s=_failing_endpoint.SERVICE_S, excluded=request.tried
            ),
            pool.table.candidates,
            now,
            self._rng,
        )
        if isinstance(choice, routing.NoEndpoint):
            refusal = kernel.NotRun(kernel.NotRunReason.no_endpoint)
            self._after(request, refusal)
            return
        request.tried |= {choice.endpoint}
        endpoint = self._endpoints[request.stage][int(choice.endpoint)]
        job = _failing_endpoint.Job(
            lambda succeeded: self._ended(
                request, choice.endpoint, now, succeeded
            )
        )
        if not endpoint.offer(job):
            pool.breaker.record(succeeded=False, now=now)
            refusal = kernel.NotRun(kernel.NotRunReason.overloaded)
            self._after(request, refusal)
            return
        pool.table.add_work(choice.endpoint)

        def time_out() -> None:
            if job.open:
                endpoint.cancel(job)
                job.done(False)

        left_s = request.at_s + _DEADLINE_S - now
        self._queue.after(min(_ATTEMPT_S, left_s), time_out)

    def _count(self, request: _Request, now: float) -> None:
        inside = _FAULT_AT_S <= now < _FAULT_AT_S + _FAULT_S
        if inside and request.stage == self._faulty:
            self._attempts += 1
            if request.attempts == 1:
                self._reached += 1

    def _ended(
        self, request: _Request, name: str, sent_s: float, succeeded: bool
    ) -> None:
        now = self._queue.now
        pool = self._pools[request.entry][request.stage]
        pool.table.remove_work(name)
        if self._ours:
            pool.breaker.record(succeeded=succeeded, now=now)
            pool.ejection.record(
                name,
                succeeded=succeeded,
                latency_s=now - sent_s,
                now=now,
                rng=self._rng,
            )
            for changed, status in pool.ejection.status_changes(now).items():
                pool.table.set_ejection_status(
                    changed, ejected=status.ejected, weight=status.weight
                )
        if not succeeded:
            failed = kernel.Failed(_STAGES[request.stage], 'error')
            self._after(request, failed)
            return
        pool.budget.record_success(now)
        request.stage += 1
        request.attempts = 0
        request.tried = frozenset()
        if request.stage < len(_STAGES):
            self._attempt(request)
        elif now <= request.at_s + _DEADLINE_S:
            self._on_time[int(request.at_s / _WINDOW_S)] += 1

    def _after(self, request: _Request, outcome: kernel.Outcome) -> None:
        now = self._queue.now
        pool = self._pools[request.entry][request.stage]
        untried = len(pool.table.candidates) > len(request.tried)
        remaining_s = request.at_s + _DEADLINE_S - now
        delay_s: float | None = None
        if self._ours:
            step = retries.decide_retry(
                retries.Attempt(
                    outcome=outcome,
                    stage=_STAGES[request.stage],
                    repeatable=True,
                    number=request.attempts,
                    remaining_s=remaining_s,
                    expected_s=_failing_endpoint.SERVICE_S,
                    other_endpoints=untried,
                ),
                pool.budget,
                retries.Backoff(),
                now,
                self._rng,
            )
            if isinstance(step, retries.Retry):
                delay_s = step.delay_s
        elif self._arm == 'unlimited_retries' and remaining_s > 0:
            delay_s = 0.01
        elif self._arm == 'three_attempts' and request.attempts < 3:
            delay_s = retries.Backoff().delay_s(request.attempts, self._rng)
        if delay_s is None:
            return
        if not untried:
            request.tried = frozenset()
        self._queue.after(delay_s, lambda: self._attempt(request))


def _set(
    hit: list[_failing_endpoint.Endpoint], fault: str, *, on: bool
) -> None:
    for endpoint in hit:
        if fault == 'slow':
            endpoint.slow = on
        else:
            endpoint.fails = on


def run(
    *,
    seed: int = 1,
    endpoints: int = 5,
    entries: int = 3,
    load: float = 0.9,
    scope: str = 'pool',
    stages: int = 4,
    baselines: bool = True,
) -> Iterator[dict[str, object]]:
    """Yield each arm for every stage and fault; scope pool or endpoint."""
    for stage in range(stages):
        for fault in _FAULTS:
            for arm in _ARMS if baselines else _ARMS[:1]:
                one = _Run(arm, seed, endpoints, entries, load)
                yield {
                    'arm': arm,
                    'seed': seed,
                    'stage': _STAGES[stage],
                    'fault': fault,
                    **one.figures(stage, fault, scope),
                }
            yield {
                'arm': 'bound',
                'seed': seed,
                'stage': _STAGES[stage],
                'fault': fault,
                'recovery_seconds': 0.0,
                'attainment_during': _bound(fault, scope, endpoints, load),
            }


def _bound(fault: str, scope: str, endpoints: int, load: float) -> float:
    hit = 1 / endpoints if scope == 'endpoint' else 1.0
    works = 1 / _failing_endpoint.SLOWDOWN if fault == 'slow' else 0.0
    left = (1 - hit + hit * works) / load + _DEADLINE_S / _FAULT_S
    return round(min(left, 1), 4)
