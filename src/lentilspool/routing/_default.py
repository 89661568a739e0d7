"""The default routing policy: one score in seconds for each endpoint."""

import random
import zlib
from collections.abc import Iterable, Sequence
from typing import Final

from lentilspool import kernel
from lentilspool.routing import _eligibility, _types

_SAMPLE: Final = 12
_REPORT_TRUST: Final = 0.5
_PREFILL_S_PER_TOKEN: Final = 0.0002
_CROSS_ZONE_S: Final = 0.002
_PRICE_S: Final = 0.05
_ADAPTER_LOAD_S: Final = 1.0
_MIN_WEIGHT: Final = 0.05
_MIN_SERVICE_S: Final = 0.001
_JITTER_CALLS: Final = 1.0
_HOME_SHARE: Final = 0.1
_HASH_RANGE: Final = 4294967296.0


@kernel.registry.register(kernel.PluginKind.routing_policy, 'default')
class Default:
    """Chooses the endpoint that is predicted to end the call first.

    The score of an endpoint is in seconds: waiting behind the work that
    it has, reading the part of the prompt that it has not cached, a
    penalty for another zone, for its price, and for an adapter that it
    would have to load. Ties go to an endpoint on which all entries agree
    by a hash of the prompt's beginning. Only a random sample of the endpoints is scored,
    and those that are predicted to hold the prompt's prefix.
    """

    def __init__(
        self,
        *,
        sample: int = _SAMPLE,
        prefill_s_per_token: float = _PREFILL_S_PER_TOKEN,
        affinity: float = 1.0,
    ) -> None:
        self._sample = sample
        self._prefill_s_per_token = prefill_s_per_token * affinity

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return the endpoint of the sample with the lowest score."""
        sampled = self._draw(request, candidates, rng)
        if not sampled:
            sampled = _eligibility.eligible(request, candidates)
        if not sampled:
            return _eligibility.no_endpoint(request, candidates)
        return self._lowest(request, sampled, now, rng)

    def _lowest(
        self,
        request: _types.RoutingRequest,
        sampled: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Choice:
        typical = sum(seen.reported_others for seen in sampled) / len(sampled)
        # The load at an endpoint is a new one after a service time or so.
        trust_s = _REPORT_TRUST * max(request.service_s, _MIN_SERVICE_S)
        best = sampled[0]
        best_s = float('inf')
        for candidate in sampled:
            age_s = max(now - candidate.reported_at, 0)
            trust = (trust_s / (trust_s + age_s)) ** 2
            others = typical + trust * (candidate.reported_others - typical)
            others += _JITTER_CALLS * rng.random()
            score_s = self._score_s(request, candidate, others)
            if score_s < best_s:
                best = candidate
                best_s = score_s
        return _types.Choice(
            best.name, best_s, request.cached_tokens.get(best.name, 0)
        )

    def _draw(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        rng: random.Random,
    ) -> list[_types.Candidate]:
        drawn: Iterable[_types.Candidate] = candidates
        if len(candidates) > self._sample:
            drawn = rng.sample(candidates, self._sample)
            cached = request.cached_tokens
            if cached:
                names = {seen.name for seen in drawn}
                drawn = list(drawn) + [
                    candidate
                    for candidate in candidates
                    if candidate.name in cached and candidate.name not in names
                ]
        return [
            seen for seen in drawn if _eligibility.is_eligible(request, seen)
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
            + candidate.price * _PRICE_S
        )
        if candidate.zone != request.zone:
            score_s += _CROSS_ZONE_S
        if request.adapter and request.adapter not in candidate.adapters:
            score_s += _ADAPTER_LOAD_S
        if request.prefix_key:
            score_s += self._from_home_s(request, candidate.name)
        return score_s

    def _from_home_s(self, request: _types.RoutingRequest, name: str) -> float:
        """Break ties by rendezvous hash, so that entries agree on them."""
        distance = zlib.crc32(name.encode(), request.prefix_key) / _HASH_RANGE
        prefill_s = request.prompt_tokens * self._prefill_s_per_token
        return _HOME_SHARE * prefill_s * distance
