"""One pool as an entry sees it: choice, health and retries together."""

import dataclasses
import random
from collections.abc import Iterable, Sequence
from typing import Any

from lentilspool import config, kernel, limits, retries, routing
from lentilspool.pipeline import _prefix


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one endpoint, as its sidecar reports it."""

    in_flight: int
    """Calls that run at the endpoint, of all entries."""

    queued: int
    """Calls that wait at the sidecar, of all entries."""

    limit: int
    """Calls that the sidecar lets run together; 0 if the endpoint is down."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How one attempt at an endpoint ended."""

    endpoint: str
    """Name of the endpoint."""

    latency_s: float
    """Seconds from send to end."""

    succeeded: bool
    """Whether it brought an answer."""

    refused: bool = False
    """Whether the sidecar refused it, which says nothing of the pool."""

    unreachable: bool = False
    """Whether the endpoint could not be reached at all."""


class PoolRouter:
    """Chooses endpoints of one pool and learns from each attempt.

    Call ``replace`` when the members of the pool change and ``reported``
    for each heartbeat. For each attempt call ``choose``, ``started`` and
    ``ended``; after one without an answer, ``after`` decides what follows.
    """

    def __init__(
        self,
        name: str,
        document: config.PoolDocument,
        retry_share: float,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._document = document
        self._rng = rng
        policy: Any = kernel.registry.find(
            kernel.PluginKind.routing_policy, document.routing
        )
        self._policy: routing.RoutingPolicy = policy()
        self._table = routing.EndpointTable()
        self._ejection = retries.OutlierEjection()
        self._breaker = retries.PoolBreaker()
        self._budget = retries.RetryBudget(
            share=retry_share, reserve=document.max_in_flight
        )
        self._backoff = retries.Backoff()
        self._index = routing.PrefixIndex()
        self._waits_s: dict[str, float] = {}
        self._down: set[str] = set()

    @property
    def candidates(self) -> Sequence[routing.Candidate]:
        """Endpoints that may get work."""
        return self._table.candidates

    def replace(self, places: Iterable[tuple[str, str]]) -> None:
        """Set the endpoints, each as its name and availability zone."""
        own = self._document
        candidates = [
            routing.Candidate(
                name=name,
                pool=self._name,
                zone=zone,
                price=own.price,
                capacity=own.max_in_flight,
                model=own.model,
                adapters=frozenset(own.adapters),
                model_version=own.model_version,
            )
            for name, zone in places
        ]
        self._table.replace(candidates)
        self._ejection.retain(candidate.name for candidate in candidates)

    def reported(
        self, name: str, report: LoadReport, expected_s: float, now: float
    ) -> None:
        """Take the load report of an endpoint."""
        held = self._table.find(name)
        if held is None:
            return
        self._set_down(name, report.limit == 0)
        work = report.in_flight + report.queued
        self._waits_s[name] = expected_s * report.queued / max(1, report.limit)
        self._table.reported(
            name,
            others=work - held.in_flight,
            measured_at=now,
            capacity=report.limit or None,
        )

    def load(self, entries: int) -> limits.PoolLoad:
        """Return the pool's load for admission control."""
        seen = self._table.candidates
        usable = [
            held
            for held in seen
            if not held.ejected and held.name not in self._down
        ]
        waits = [self._waits_s.get(held.name, 0) for held in usable]
        return limits.PoolLoad(
            slots=sum(held.capacity * held.weight for held in usable),
            entries=entries,
            wait_s=min(waits, default=0),
        )

    def expire(self, now: float) -> None:
        """Free what has expired; call every few seconds."""
        self._index.expire(now)

    def admit(self, now: float) -> retries.Admitted | retries.Refused:
        """Tell whether a first attempt may be sent to the pool."""
        return self._breaker.admit(now, self._rng)

    def choose(
        self,
        request: routing.RoutingRequest,
        now: float,
        prefix: Sequence[int] = (),
    ) -> routing.Decision:
        """Choose an endpoint; tried ones only if there is no other.

        ``prefix`` has the hashes of the prompt's blocks; the endpoint that
        is chosen is expected to hold them from now on.
        """
        self._judge(now)
        wanted = dataclasses.replace(
            request, excluded=request.excluded | self._down
        )
        if prefix and self._document.kind == 'engine':
            wanted = dataclasses.replace(
                wanted, cached_tokens=self._cached_tokens(prefix, now)
            )
        decision = self._ask(wanted, now)
        if isinstance(decision, routing.NoEndpoint) and request.excluded:
            again = dataclasses.replace(wanted, excluded=frozenset(self._down))
            decision = self._ask(again, now)
        if prefix and isinstance(decision, routing.Choice):
            self._index.routed(decision.endpoint, prefix, now)
        return decision

    def started(self, name: str) -> None:
        """Count an attempt that is sent to an endpoint."""
        self._table.started(name)

    def ended(self, end: AttemptEnd, now: float) -> None:
        """Take in the end of an attempt that was counted as started."""
        self._table.ended(end.endpoint)
        if end.unreachable:
            self._set_down(end.endpoint, True)
        if end.refused and not end.unreachable:
            return
        self._ejection.record(
            end.endpoint,
            succeeded=end.succeeded,
            latency_s=end.latency_s,
            now=now,
            rng=self._rng,
        )
        if end.refused:
            return
        self._breaker.record(succeeded=end.succeeded, now=now)
        if end.succeeded:
            self._budget.succeeded(now)

    def after(self, attempt: retries.Attempt, now: float) -> retries.NextStep:
        """Decide what follows an attempt without an answer."""
        return retries.after_attempt(
            attempt, self._budget, self._backoff, now, self._rng
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'retry_budget': round(self._budget.balance, 2),
            'success_share': round(self._breaker.success_share, 3),
            'cached_prefix_blocks': self._index.size,
            'down': sorted(self._down),
            'ejected': list(self._ejection.ejected(now)),
            'endpoints': {
                held.name: {
                    'in_flight': held.in_flight,
                    'others': held.reported_others,
                    'report_age_s': round(now - held.reported_at, 3),
                    'limit': held.capacity,
                    'weight': round(held.weight, 2),
                }
                for held in self._table.candidates
            },
        }

    def _set_down(self, name: str, down: bool) -> None:
        """Note whether an endpoint takes no calls, until its next report."""
        if down:
            self._down.add(name)
        else:
            self._down.discard(name)

    def _ask(
        self, request: routing.RoutingRequest, now: float
    ) -> routing.Decision:
        return self._policy.choose(
            request, self._table.candidates, now, self._rng
        )

    def _cached_tokens(
        self, prefix: Sequence[int], now: float
    ) -> dict[str, int]:
        tokens = _prefix.BLOCK_CHARS // _prefix.CHARS_PER_TOKEN
        depths = self._index.depths(prefix, now)
        return {name: depth * tokens for name, depth in depths.items()}

    def _judge(self, now: float) -> None:
        for candidate in tuple(self._table.candidates):
            verdict = self._ejection.verdict(candidate.name, now)
            self._table.judged(
                candidate.name, ejected=verdict.ejected, weight=verdict.weight
            )
