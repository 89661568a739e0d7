"""Router of one pool at one entry: routing, endpoint health and retries."""

import dataclasses
import random
from collections.abc import Iterable, Sequence
from typing import Any

from lentilspool import config, kernel, limits, retries, routing
from lentilspool.pipeline import _prefix


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one endpoint, as its sidecar reports it in a heartbeat."""

    in_flight: int
    """Calls of all entries that run at the endpoint."""

    queued: int
    """Calls of all entries that are queued at the sidecar."""

    limit: int
    """Calls that the sidecar runs concurrently; 0 if the endpoint is down."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt at an endpoint ended."""

    endpoint: str
    """Name of the endpoint."""

    latency_s: float
    """Seconds from the send to the end of the attempt."""

    succeeded: bool
    """Whether the attempt was answered."""

    refused: bool = False
    """Whether the sidecar refused it; no sign that the pool is failing."""

    unreachable: bool = False
    """Whether the endpoint could not be reached."""

    cancelled: bool = False
    """Whether the caller cancelled it; no sign that the endpoint fails."""


class PoolRouter:
    """Chooses endpoints of one pool and tracks their load and health.

    Call ``set_endpoints`` when the members of the pool change, ``update_load``
    for each heartbeat, and ``offer``, ``record_start`` and ``record_end`` for
    each attempt. After an attempt without an answer, ``decide_retry`` decides
    whether to retry.
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
            retries_per_success=retry_share, reserve=document.max_in_flight
        )
        self._backoff = retries.Backoff()
        self._index = routing.PrefixIndex()
        self._wait_s_by_name: dict[str, float] = {}
        self._down_names: set[str] = set()

    @property
    def caches_prefixes(self) -> bool:
        """Whether the endpoints of the pool cache prompt prefixes."""
        return self._document.kind == 'engine'

    @property
    def candidates(self) -> Sequence[routing.Candidate]:
        """Endpoints of the pool that the entry uses, including ejected ones."""
        return self._table.candidates

    def set_endpoints(self, members: Iterable[tuple[str, str]]) -> None:
        """Set the endpoints, given as pairs of name and availability zone."""
        document = self._document
        candidates = [
            routing.Candidate(
                name=name,
                pool=self._name,
                zone=zone,
                price=document.price,
                capacity=document.max_in_flight,
                model=document.model,
                adapters=frozenset(document.adapters),
                model_version=document.model_version,
            )
            for name, zone in members
        ]
        self._table.set_endpoints(candidates)
        self._ejection.set_endpoints(candidate.name for candidate in candidates)

    def update_load(
        self, name: str, report: LoadReport, expected_s: float, now: float
    ) -> None:
        """Record the load report of an endpoint.

        ``expected_s`` is the expected service time of a call in seconds, from
        which the wait of queued calls is estimated.
        """
        candidate = self._table.find(name)
        if candidate is None:
            return
        self._set_down(name, report.limit == 0)
        work = report.in_flight + report.queued
        self._wait_s_by_name[name] = (
            expected_s * report.queued / max(1, report.limit)
        )
        self._table.update_load(
            name,
            others=work - candidate.in_flight,
            measured_at=now,
            capacity=report.limit or None,
        )

    def load(self, entries: float) -> limits.PoolLoad:
        """Return the pool's load for admission control.

        ``entries`` is the number of entries that share each endpoint.
        """
        endpoints = self._table.candidates
        usable = [
            candidate
            for candidate in endpoints
            if not candidate.ejected and candidate.name not in self._down_names
        ]
        waits = [
            self._wait_s_by_name.get(candidate.name, 0) for candidate in usable
        ]
        return limits.PoolLoad(
            slots=sum(
                candidate.capacity * candidate.weight for candidate in usable
            ),
            entries=entries,
            wait_s=min(waits, default=0),
        )

    def expire(self, now: float) -> None:
        """Remove expired prefix index entries; call every few seconds."""
        self._index.expire(now)

    def admit(self, now: float) -> retries.Admitted | retries.Refused:
        """Return whether a first attempt may be sent to the pool."""
        return self._breaker.admit(now, self._rng)

    def offer(
        self,
        request: routing.RoutingRequest,
        refusals: tuple[routing.RefusedOffer, ...],
        now: float,
        prefix: Sequence[int] = (),
    ) -> routing.Offer | routing.NoEndpoint:
        """Choose an endpoint for a call.

        Endpoints that the request has tried are chosen only if no other may
        be chosen, and ejected ones only if there is still none. Ejected
        endpoints are not ruled out, because an ejection may be wrong and may
        coincide with orders that take the other endpoints out of service.

        ``refusals`` names the endpoints that refused the call because it
        would have been queued. ``prefix`` has the hashes of the prompt's
        blocks; the chosen endpoint is recorded as having cached them.
        """
        self._apply_ejection(now)
        enriched = self._with_endpoint_state(request, now, prefix)
        offer = self._offer_once(enriched, refusals, now)
        if isinstance(offer, routing.NoEndpoint) and request.excluded:
            down = frozenset(self._down_names)
            enriched = dataclasses.replace(enriched, excluded=down)
            offer = self._offer_once(enriched, refusals, now)
        if isinstance(offer, routing.NoEndpoint):
            fallback = self._offer_once(
                enriched, refusals, now, with_ejected=True
            )
            offer = fallback if isinstance(fallback, routing.Offer) else offer
        if prefix and isinstance(offer, routing.Offer):
            self._index.expect_cached(offer.endpoint, prefix, now)
        return offer

    def record_start(self, name: str) -> None:
        """Record that an attempt was sent to an endpoint."""
        self._table.add_work(name)

    def record_end(self, end: AttemptResult, now: float) -> None:
        """Record the end of an attempt that was recorded as started."""
        self._table.remove_work(end.endpoint)
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
            self._budget.record_success(now)

    def decide_retry(
        self, attempt: retries.Attempt, now: float
    ) -> retries.NextStep:
        """Decide whether to retry after an attempt without an answer."""
        return retries.decide_retry(
            attempt, self._budget, self._backoff, now, self._rng
        )

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'retry_budget': round(self._budget.balance, 2),
            'success_share': round(self._breaker.success_share, 3),
            'cached_prefix_blocks': self._index.size,
            'down': sorted(self._down_names),
            'ejected': list(self._ejection.ejected(now)),
            'endpoints': {
                candidate.name: {
                    'in_flight': candidate.in_flight,
                    'others': candidate.reported_other_work,
                    'report_age_s': round(now - candidate.reported_at, 3),
                    'limit': candidate.capacity,
                    'weight': round(candidate.weight, 2),
                }
                for candidate in self._table.candidates
            },
        }

    def _set_down(self, name: str, down: bool) -> None:
        """Set whether an endpoint is down, until its next load report."""
        if down:
            self._down_names.add(name)
        else:
            self._down_names.discard(name)

    def _offer_once(
        self,
        request: routing.RoutingRequest,
        refusals: tuple[routing.RefusedOffer, ...],
        now: float,
        *,
        with_ejected: bool = False,
    ) -> routing.Offer | routing.NoEndpoint:
        candidates = self._table.candidates
        if with_ejected:
            candidates = [
                dataclasses.replace(candidate, ejected=False)
                for candidate in candidates
            ]
        return self._offers.offer(request, candidates, refusals, now, self._rng)

    def _with_endpoint_state(
        self,
        request: routing.RoutingRequest,
        now: float,
        prefix: Sequence[int],
    ) -> routing.RoutingRequest:
        """Return the request with down endpoints and cached tokens added."""
        excluded = request.excluded | self._down_names
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
        depths = self._index.cached_block_counts(prefix, now)
        return {name: depth * tokens for name, depth in depths.items()}

    def _apply_ejection(self, now: float) -> None:
        for name, status in self._ejection.status_changes(now).items():
            self._table.set_ejection_status(
                name, ejected=status.ejected, weight=status.weight
            )
