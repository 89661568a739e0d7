"""Simple routing policies, for comparison and as fallbacks."""

import random
from collections.abc import Sequence

from lentilspool import kernel
from lentilspool.routing import _eligibility, _types

_KIND = kernel.PluginKind.routing_policy


@kernel.registry.register(_KIND, 'random')
class Random:
    """Chooses an eligible endpoint at random, all with equal probability."""

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return one eligible endpoint."""
        usable = _eligibility.eligible(request, candidates)
        if not usable:
            return _eligibility.no_endpoint(request, candidates)
        return _types.Choice(rng.choice(usable).name)


@kernel.registry.register(_KIND, 'round_robin')
class RoundRobin:
    """Chooses the endpoints in turn."""

    def __init__(self) -> None:
        self._choices = 0

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return the next eligible endpoint."""
        usable = _eligibility.eligible(request, candidates)
        if not usable:
            return _eligibility.no_endpoint(request, candidates)
        self._choices += 1
        return _types.Choice(usable[self._choices % len(usable)].name)


@kernel.registry.register(_KIND, 'least_outstanding')
class LeastOutstanding:
    """Chooses the endpoint with the fewest in-flight calls of this entry."""

    def choose(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        now: float,
        rng: random.Random,
    ) -> _types.Decision:
        """Return an eligible endpoint with the fewest in-flight calls."""
        usable = _eligibility.eligible(request, candidates)
        if not usable:
            return _eligibility.no_endpoint(request, candidates)
        lowest = min(candidate.in_flight for candidate in usable)
        tied = [endpoint for endpoint in usable if endpoint.in_flight == lowest]
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
        """Return the one with fewer in-flight calls of this entry."""
        usable = _eligibility.eligible(request, candidates)
        if not usable:
            return _eligibility.no_endpoint(request, candidates)
        first = rng.choice(usable)
        second = rng.choice(usable)
        if second.in_flight < first.in_flight:
            return _types.Choice(second.name)
        return _types.Choice(first.name)
