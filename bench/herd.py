"""Many entries choose by load reports that are late: do they herd?

Entries share endpoints with a few slots each and a queue in order of
arrival. ``p99_queue_seconds`` is the 99th percentile of the time from the
arrival at the entry until the call starts. The bound is one queue before
all slots, which knows every free slot at once. ``lentilspool`` offers a
call to sidecars in turn before it may queue; the arm without offers
sends it where the routing policy says.
"""

import collections
import dataclasses
import functools
import random
import statistics
from collections.abc import Iterator

from bench import _events
from lentilspool import kernel, routing

_ARMS = (
    'lentilspool',
    'without_offers',
    'random',
    'round_robin',
    'least_outstanding',
    'two_choices',
)
_SERVICE_S = 0.2
_HOP_S = 0.0005
_REPORT_S = 0.5


@dataclasses.dataclass(slots=True)
class _Call:
    at_s: float
    entry: int
    service_s: float
    endpoint: int = 0
    full: tuple[routing.RefusedOffer, ...] = ()


class _Run:
    """One arm; the arm ``global_queue`` has one queue for all slots."""

    def __init__(
        self, arm: str, calls: list[_Call], entries: int, lag: float
    ) -> None:
        self._lag = lag
        self._calls = [dataclasses.replace(call) for call in calls]
        self._rng = random.Random(len(calls))
        self._queue = _events.EventQueue()
        self._waits: list[float] = []
        self._offers = 0
        self._running: list[int] = []
        self._waiting: list[collections.deque[_Call]] = []
        self._tables = [routing.EndpointTable() for _ in range(entries)]
        self._policies: list[routing.RoutingPolicy] = []
        self._with_offers = arm == 'lentilspool'
        ours = arm in {'lentilspool', 'without_offers'}
        if arm != 'global_queue':
            kind = kernel.PluginKind.routing_policy
            find = kernel.registry.find(kind, 'default' if ours else arm)
            self._policies = [find() for _ in range(entries)]
        self._offering = [
            routing.OfferPolicy(policy) for policy in self._policies
        ]
        self._slots = 0

    def figures(self, endpoints: int, slots: int) -> dict[str, object]:
        self._slots = slots
        if not self._policies:
            self._slots = slots * endpoints
            endpoints = 1
        self._running = [0 for _ in range(endpoints)]
        self._waiting = [collections.deque() for _ in range(endpoints)]
        for table in self._tables:
            table.set_endpoints(
                routing.Candidate(name=str(number), capacity=slots)
                for number in range(endpoints)
            )
        for call in self._calls:
            self._queue.at(call.at_s, functools.partial(self._choose, call))
        if self._policies:
            self._queue.every(_REPORT_S, self._report)
        self._queue.run(self._calls[-1].at_s + 60)
        cut = statistics.quantiles(self._waits, n=100)
        return {
            'requests': len(self._waits),
            'p99_queue_seconds': round(cut[98], 4),
            'mean_queue_seconds': round(statistics.fmean(self._waits), 4),
            'sends_per_request': round(self._offers / len(self._waits), 3),
        }

    def _choose(self, call: _Call) -> None:
        self._offers += 1
        if not self._policies:
            self._accept(call)
            return
        now = self._queue.now
        table = self._tables[call.entry]
        request = routing.RoutingRequest(service_s=_SERVICE_S)
        policy = self._policies[call.entry]
        may_queue = True
        if self._with_offers:
            offer = self._offering[call.entry].offer(
                request, table.candidates, call.full, now, self._rng
            )
            assert isinstance(offer, routing.Offer)
            chosen, may_queue = offer.endpoint, offer.may_queue
        else:
            choice = policy.choose(request, table.candidates, now, self._rng)
            assert isinstance(choice, routing.Choice)
            chosen = choice.endpoint
        call.endpoint = int(chosen)
        table.add_work(chosen)
        self._queue.after(_HOP_S, lambda: self._reach(call, may_queue))

    def _reach(self, call: _Call, may_queue: bool) -> None:
        busy = self._running[call.endpoint] >= self._slots
        if may_queue or not busy:
            self._accept(call)
            return
        ahead = len(self._waiting[call.endpoint]) + 1
        wait_s = ahead * _SERVICE_S / self._slots
        name = str(call.endpoint)
        call.full += (routing.RefusedOffer(name, wait_s),)

        def refused() -> None:
            self._tables[call.entry].remove_work(name)
            self._choose(call)

        self._queue.after(_HOP_S, refused)

    def _accept(self, call: _Call) -> None:
        self._waiting[call.endpoint].append(call)
        self._fill(call.endpoint)

    def _fill(self, endpoint: int) -> None:
        waiting = self._waiting[endpoint]
        while waiting and self._running[endpoint] < self._slots:
            call = waiting.popleft()
            self._running[endpoint] += 1
            self._waits.append(self._queue.now - call.at_s)
            end = functools.partial(self._end, call)
            self._queue.after(call.service_s, end)

    def _end(self, call: _Call) -> None:
        self._running[call.endpoint] -= 1
        self._tables[call.entry].remove_work(str(call.endpoint))
        self._fill(call.endpoint)

    def _report(self) -> None:
        for endpoint, running in enumerate(self._running):
            load = running + len(self._waiting[endpoint])
            take_in = functools.partial(
                self._take_in, str(endpoint), load, self._queue.now
            )
            self._queue.after(self._lag, take_in)

    def _take_in(self, name: str, load: int, measured_at: float) -> None:
        for table in self._tables:
            held = table.find(name)
            own = held.in_flight if held else 0
            table.update_load(
                name, others=max(load - own, 0), measured_at=measured_at
            )


def _plan(
    seed: int, entries: int, rate: float, duration: float, burst: float
) -> list[_Call]:
    rng = random.Random(seed)
    calls = []
    now = 0.0
    while now < duration:
        in_burst = now % 10 < 1
        now += rng.expovariate(rate * burst if in_burst else rate)
        service_s = rng.gammavariate(2, _SERVICE_S / 2)
        calls.append(_Call(now, rng.randrange(entries), service_s))
    return calls


def run(
    *,
    seed: int = 1,
    entries: int = 16,
    endpoints: int = 16,
    slots: int = 4,
    load: float = 0.85,
    lag: float = 2.0,
    burst: float = 1.0,
    duration: float = 60.0,
) -> Iterator[dict[str, object]]:
    """Yield each arm; ``burst`` multiplies arrivals one second in ten."""
    rate = load * endpoints * slots / _SERVICE_S
    calls = _plan(seed, entries, rate, duration, burst)
    bound = _Run('global_queue', calls, entries, lag)
    base = bound.figures(endpoints, slots)
    yield {'arm': 'global_queue', 'seed': seed, **base}
    for arm in _ARMS:
        figures = _Run(arm, calls, entries, lag).figures(endpoints, slots)
        ratio = float(str(figures['p99_queue_seconds'])) / max(
            float(str(base['p99_queue_seconds'])), _HOP_S
        )
        yield {
            'arm': arm,
            'seed': seed,
            **figures,
            'p99_queue_ratio': round(ratio, 3),
        }
