"""Entries that run the admission policy before pools of fake endpoints."""

import collections
import dataclasses
import functools
from typing import Final

from bench import _events, _queued_endpoint, _requests
from lentilspool import kernel, limits

_QUEUE_BOUND: Final = 256
_GENERATION_PRICE: Final = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """Policies that are compared."""

    name: str
    """Name of the arm."""

    admission: str
    """Plug-in of the entries."""

    queue: str
    """Plug-in of the sidecars."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes of the fakes."""

    pools: tuple[int, ...]
    """Endpoints of each pool, one pool for a stage."""

    entries: int = 3
    """Entries, each of which sees every n-th request."""

    slots: int = 4
    """Calls that an endpoint runs at once."""

    lag_s: float = 0.5
    """Period of load reports, in seconds."""


class Pool:
    """Endpoints of one stage, and the report that entries hold of them."""

    def __init__(
        self, name: str, endpoints: list[_queued_endpoint.QueuedEndpoint]
    ) -> None:
        self.name = name
        self.endpoints = endpoints
        self.outstanding = [0.0 for _ in endpoints]
        self.wait_s = 0.0
        self.reported_at = 0.0

    def busy_s(self, begin: float, end: float) -> float:
        """Return the seconds of slots used in an interval."""
        return sum(one.busy_s(begin, end) for one in self.endpoints)

    def report(self, now: float, slots: int) -> None:
        """Publish the load."""
        self.outstanding = [one.outstanding_s for one in self.endpoints]
        queued_s = sum(one.queued_s for one in self.endpoints)
        self.wait_s = queued_s / (slots * len(self.endpoints))
        self.reported_at = now


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of a run."""

    met: set[int] = dataclasses.field(default_factory=set)
    """Numbers of the requests that were answered on time."""

    refused: int = 0
    """Requests refused before anything was spent."""

    spent: float = 0
    """Spend on all requests."""

    wasted: float = 0
    """Spend on requests that were not answered on time."""


class Entry:
    """Admits requests, chooses endpoints, and sends stage after stage."""

    def __init__(
        self,
        events: _events.EventQueue,
        pools: list[Pool],
        policy: limits.AdmissionPolicy,
        fleet: Fleet,
        tally: Tally,
    ) -> None:
        self._events = events
        self._pools = pools
        self._policy = policy
        self._fleet = fleet
        self._tally = tally
        self._times = limits.ServiceTimes()
        self._sent: list[dict[int, float]] = [
            collections.defaultdict(float) for _ in pools
        ]
        self._seen = [0.0 for _ in pools]

    def arrive(self, request: _requests.Request) -> None:
        """Admit and begin a request, or refuse it."""
        asked = limits.AdmissionRequest(
            str(request.number),
            request.team,
            request.deadline,
            self._stage_estimates(request),
        )
        now = self._events.now
        if isinstance(
            self._policy.decide(asked, self._loads(), now), limits.Admit
        ):
            self._send(request, 0, 0)
        else:
            self._tally.refused += 1

    def _stage_estimates(
        self, request: _requests.Request
    ) -> tuple[limits.StageEstimate, ...]:
        kind = request.kind
        return tuple(
            self._times.stage_estimate(
                pool.name, f'{kind.name}/{pool.name}', work_s, request.size
            )
            for pool, work_s in zip(self._pools, kind.work_s)
        )

    def _loads(self) -> dict[str, limits.PoolLoad]:
        now = self._events.now
        return {
            pool.name: limits.PoolLoad(
                slots=self._fleet.slots * len(pool.endpoints),
                entries=self._fleet.entries,
                wait_s=pool.wait_s,
                age_s=now - pool.reported_at,
            )
            for pool in self._pools
        }

    def _send(
        self, request: _requests.Request, step: int, spent: float
    ) -> None:
        pool = self._pools[step]
        estimates = self._stage_estimates(request)[step:]
        queued = limits.QueuedCall(
            call_id=request.number,
            team=request.team,
            cost=estimates[0].expected_s,
            deadline=request.deadline,
            min_remaining_s=sum(estimate.expected_s for estimate in estimates),
        )
        call = _queued_endpoint.Call(
            queued,
            request.service_s[step],
            ended=lambda: self._next(request, step, spent),
            dropped=lambda: self._end(request, spent, met=False),
        )
        chosen = self._choose(step)
        self._sent[step][chosen] += queued.cost
        pool.endpoints[chosen].send(call)

    def _next(
        self, request: _requests.Request, step: int, spent: float
    ) -> None:
        now = self._events.now
        pool = self._pools[step].name
        stage = f'{request.kind.name}/{pool}'
        service_s = request.service_s[step]
        self._times.observe(pool, stage, service_s, request.size)
        self._policy.stage_done(str(request.number), stage, now)
        last = step + 1 == len(self._pools)
        spent += service_s * (_GENERATION_PRICE if last else 1)
        if last:
            self._end(request, spent, met=now <= request.deadline)
            return
        name = str(request.number)
        going = self._policy.recheck(name, self._loads(), now)
        if isinstance(going, limits.GiveUp):
            self._end(request, spent, met=False)
        else:
            self._send(request, step + 1, spent)

    def _choose(self, step: int) -> int:
        """Return the endpoint with the least work reported or sent since."""
        pool = self._pools[step]
        sent = self._sent[step]
        if pool.reported_at > self._seen[step]:
            self._seen[step] = pool.reported_at
            sent.clear()
        known = [
            (reported + sent[index], index)
            for index, reported in enumerate(pool.outstanding)
        ]
        return min(known)[1]

    def _end(
        self, request: _requests.Request, spent: float, *, met: bool
    ) -> None:
        self._policy.forget(str(request.number))
        self._tally.spent += spent
        if met:
            self._tally.met.add(request.number)
        else:
            self._tally.wasted += spent


def simulate(
    arm: Arm,
    requests: list[_requests.Request],
    fleet: Fleet,
    shares: dict[str, float],
    parameters: dict[str, float],
) -> tuple[Tally, list[Pool]]:
    """Run the requests through entries and pools; return what became."""
    events = _events.EventQueue()
    queue = kernel.registry.find(kernel.PluginKind.queue_policy, arm.queue)
    admission = kernel.registry.find(
        kernel.PluginKind.admission_policy, arm.admission
    )
    pools = [
        Pool(
            f'stage{index}',
            [
                _queued_endpoint.QueuedEndpoint(
                    events, queue(_QUEUE_BOUND, shares, parameters), fleet.slots
                )
                for _ in range(endpoints)
            ],
        )
        for index, endpoints in enumerate(fleet.pools)
    ]
    tally = Tally()
    entries = [
        Entry(events, pools, admission(shares, parameters), fleet, tally)
        for _ in range(fleet.entries)
    ]
    _schedule(events, requests, entries)

    def report() -> None:
        for pool in pools:
            pool.report(events.now, fleet.slots)

    events.every(fleet.lag_s, report)
    events.run(requests[-1].deadline + 120)
    return tally, pools


def _schedule(
    events: _events.EventQueue,
    requests: list[_requests.Request],
    entries: list[Entry],
) -> None:
    for request in requests:
        entry = entries[request.number % len(entries)]
        events.at(request.arrival, functools.partial(entry.arrive, request))
