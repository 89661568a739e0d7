"""Default routing policy: a score in seconds for each endpoint."""

import random
import zlib
from collections.abc import Iterable, Sequence
from typing import Final

from lentilspool import kernel
from lentilspool.routing import _eligibility, _types

_SAMPLE_SIZE: Final = 12
_REPORT_LIFETIME_FACTOR: Final = 0.5
_PREFILL_S_PER_TOKEN: Final = 0.0002
_CROSS_ZONE_PENALTY_S: Final = 0.002
_PENALTY_S_PER_PRICE: Final = 0.05
_ADAPTER_LOAD_PENALTY_S: Final = 1.0
_MIN_WEIGHT: Final = 0.05
_MIN_SERVICE_S: Final = 0.001
_MAX_JITTER_CALLS: Final = 1.0
_TIE_BREAK_SHARE: Final = 0.1
_HASH_RANGE: Final = 4294967296.0


@kernel.registry.register(kernel.PluginKind.routing_policy, 'default')
class DefaultPolicy:
    """Chooses the endpoint with the lowest predicted time and penalties.

    The score of an endpoint, in seconds, is the sum of the time for the
    work that it already has and for the call, the prefill time of the part
    of the prompt that it has not cached, and penalties for another
    availability zone, for its price and for an adapter that it would have
    to load. Near-ties are decided by a hash of the prompt's beginning, so
    that all entries prefer the same endpoint. Scored are a random sample of
    the endpoints and those that are predicted to have cached the prompt's
    prefix.

    ``prefix_affinity`` scales the weight of cached prefixes in the score.
    """

    def __init__(
        self,
        *,
        sample_size: int = _SAMPLE_SIZE,
        prefill_s_per_token: float = _PREFILL_S_PER_TOKEN,
        prefix_affinity: float = 1.0,
    ) -> None:
        self._sample_size = sample_size
        self._prefill_s_per_token = prefill_s_per_token * prefix_affinity

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return the endpoint with the lowest score in the sample.

        If no sampled endpoint is eligible, all eligible ones are scored.
        """
        sampled = self._eligible_sample(request, candidates, rng)
        if not sampled:
            sampled = _eligibility.eligible(request, candidates)
        if not sampled:
            return _eligibility.no_endpoint(request, candidates)
        return self._lowest_score(request, sampled, now, rng)

    def _lowest_score(
        self,
        request: _types.RoutingRequest,
        sampled: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Choice:
        mean_others = sum(other.reported_other_work for other in sampled) / len(
            sampled
        )
        # After about one service time an endpoint runs other calls than those
        # reported, so the report loses its weight against the mean.
        report_lifetime_s = _REPORT_LIFETIME_FACTOR * max(
            request.service_s, _MIN_SERVICE_S
        )
        best = sampled[0]
        best_s = float('inf')
        for candidate in sampled:
            age_s = max(now - candidate.reported_at, 0)
            report_weight = (
                report_lifetime_s / (report_lifetime_s + age_s)
            ) ** 2
            others = mean_others + report_weight * (
                candidate.reported_other_work - mean_others
            )
            others += _MAX_JITTER_CALLS * rng.random()
            score_s = self._score_s(request, candidate, others)
            if score_s < best_s:
                best = candidate
                best_s = score_s
        return _types.Choice(
            best.name, best_s, request.cached_tokens.get(best.name, 0)
        )

    def _eligible_sample(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        rng: random.Random,
    ) -> list[_types.Candidate]:
        drawn: Iterable[_types.Candidate] = candidates
        if len(candidates) > self._sample_size:
            drawn = rng.sample(candidates, self._sample_size)
            cached = request.cached_tokens
            if cached:
                names = {endpoint.name for endpoint in drawn}
                drawn = list(drawn) + [
                    candidate
                    for candidate in candidates
                    if candidate.name in cached and candidate.name not in names
                ]
        return [
            endpoint
            for endpoint in drawn
            if _eligibility.is_eligible(request, endpoint)
        ]

    def _score_s(
        self,
        request: _types.RoutingRequest,
        candidate: _types.Candidate,
        others: float,
    ) -> float:
        work = 1 + candidate.in_flight + others
        weight = max(candidate.weight, _MIN_WEIGHT)
        cached = request.cached_tokens.get(candidate.name, 0)
        score_s = (
            request.service_s * work / (candidate.capacity * weight)
            + (request.prompt_tokens - cached) * self._prefill_s_per_token
            + candidate.price * _PENALTY_S_PER_PRICE
        )
        if candidate.zone != request.zone:
            score_s += _CROSS_ZONE_PENALTY_S
        if request.adapter and request.adapter not in candidate.adapters:
            score_s += _ADAPTER_LOAD_PENALTY_S
        if request.prefix_key:
            score_s += self._tie_break_s(request, candidate.name)
        return score_s

    def _tie_break_s(self, request: _types.RoutingRequest, name: str) -> float:
        """Return a small penalty by rendezvous hash, equal at all entries."""
        hash_share = zlib.crc32(name.encode(), request.prefix_key) / _HASH_RANGE
        prefill_s = request.prompt_tokens * self._prefill_s_per_token
        return _TIE_BREAK_SHARE * prefill_s * hash_share
