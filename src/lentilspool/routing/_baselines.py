"""Simple routing policies, for comparison and as fall-backs."""

import random
from collections.abc import Sequence

from lentilspool import kernel
from lentilspool.routing import _eligibility, _types

_KIND = kernel.PluginKind.routing_policy


@kernel.registry.register(_KIND, 'random')
class Random:
    """Chooses every endpoint with the same probability."""

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return one eligible endpoint."""
        able = _eligibility.eligible(request, candidates)
        if not able:
            return _eligibility.no_endpoint(request, candidates)
        return _types.Choice(rng.choice(able).name)


@kernel.registry.register(_KIND, 'round_robin')
class RoundRobin:
    """Chooses the endpoints in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return the next eligible endpoint."""
        able = _eligibility.eligible(request, candidates)
        if not able:
            return _eligibility.no_endpoint(request, candidates)
        self._turn += 1
        return _types.Choice(able[self._turn % len(able)].name)


@kernel.registry.register(_KIND, 'least_outstanding')
class LeastOutstanding:
    """Chooses the endpoint with the least work of this entry."""

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return an eligible endpoint with the least calls in flight."""
        able = _eligibility.eligible(request, candidates)
        if not able:
            return _eligibility.no_endpoint(request, candidates)
        least = min(candidate.in_flight for candidate in able)
        tied = [seen for seen in able if seen.in_flight == least]
        return _types.Choice(rng.choice(tied).name)


@kernel.registry.register(_KIND, 'two_choices')
class TwoChoices:
    """Chooses the less loaded of two endpoints drawn at random."""

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return the one with less calls of this entry in flight."""
        able = _eligibility.eligible(request, candidates)
        if not able:
            return _eligibility.no_endpoint(request, candidates)
        first = rng.choice(able)
        second = rng.choice(able)
        if second.in_flight < first.in_flight:
            return _types.Choice(second.name)
        return _types.Choice(first.name)
