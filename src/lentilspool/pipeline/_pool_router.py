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

    cancelled: bool = False
    """Whether the caller gave it up, which says nothing of the endpoint."""


class PoolRouter:
    """Chooses endpoints of one pool and learns from each attempt.

    Call ``replace`` when the members of the pool change and ``reported``
    for each heartbeat. For each attempt call ``offer``, ``started`` and
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
        self._offers = routing.OfferPolicy(policy())
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
    def reads_prompts(self) -> bool:
        """Whether its endpoints cache the prefixes of prompts."""
        return self._document.kind == 'engine'

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

    def load(self, entries: float) -> limits.PoolLoad:
        """Return the pool's load for admission control.

        ``entries`` is the number of entries that share each endpoint.
        """
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

    def offer(
        self,
        request: routing.RoutingRequest,
        full: tuple[routing.FullEndpoint, ...],
        now: float,
        prefix: Sequence[int] = (),
    ) -> routing.Offer | routing.NoEndpoint:
        """Choose an endpoint for a call.

        Tried endpoints are chosen only if there is no other, and ejected
        ones only if no endpoint would be left: ejection is a guess, and may
        coincide with orders that take the others out of service.

        ``full`` has the endpoints that refused the call since it would have
        had to wait. ``prefix`` has the hashes of the prompt's blocks; the
        endpoint that is chosen is expected to hold them from now on.
        """
        self._judge(now)
        wanted = self._completed(request, now, prefix)
        offer = self._offer(wanted, full, now)
        if isinstance(offer, routing.NoEndpoint) and request.excluded:
            down = frozenset(self._down)
            wanted = dataclasses.replace(wanted, excluded=down)
            offer = self._offer(wanted, full, now)
        if isinstance(offer, routing.NoEndpoint):
            last = self._offer(wanted, full, now, with_ejected=True)
            offer = last if isinstance(last, routing.Offer) else offer
        if prefix and isinstance(offer, routing.Offer):
            self._index.routed(offer.endpoint, prefix, now)
        return offer

    def started(self, name: str) -> None:
        """Count an attempt that is sent to an endpoint."""
        self._table.started(name)

    def ended(self, end: AttemptEnd, now: float) -> None:
        """Take in the end of an attempt that was counted as started."""
        self._table.ended(end.endpoint)
        if end.cancelled:
            return
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

    def _offer(
        self,
        request: routing.RoutingRequest,
        full: tuple[routing.FullEndpoint, ...],
        now: float,
        *,
        with_ejected: bool = False,
    ) -> routing.Offer | routing.NoEndpoint:
        candidates = self._table.candidates
        if with_ejected:
            candidates = [
                dataclasses.replace(one, ejected=False) for one in candidates
            ]
        return self._offers.offer(request, candidates, full, now, self._rng)

    def _completed(
        self,
        request: routing.RoutingRequest,
        now: float,
        prefix: Sequence[int],
    ) -> routing.RoutingRequest:
        """Return the request with what the entry knows of the endpoints."""
        excluded = request.excluded | self._down
        if not prefix:
            return dataclasses.replace(request, excluded=excluded)
        return dataclasses.replace(
            request,
            excluded=excluded,
            cached_tokens=self._cached_tokens(prefix, now),
            prefix_key=prefix[0],
        )

    def _cached_tokens(
        self, prefix: Sequence[int], now: float
    ) -> dict[str, int]:
        tokens = _prefix.BLOCK_CHARS // _prefix.CHARS_PER_TOKEN
        depths = self._index.depths(prefix, now)
        return {name: depth * tokens for name, depth in depths.items()}

    def _judge(self, now: float) -> None:
        for name, verdict in self._ejection.changes(now).items():
            self._table.judged(
                name, ejected=verdict.ejected, weight=verdict.weight
            )
