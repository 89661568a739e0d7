"""Offers of a call to several sidecars before it may queue at one."""

import dataclasses
import random
from collections.abc import Sequence
from typing import Final

from lentilspool.routing import _protocols, _types

_MAX_OFFERS: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class FullEndpoint:
    """A sidecar refused an offer since it would have had to queue."""

    endpoint: str
    """Name of the endpoint."""

    wait_s: float
    """Seconds that the call would have waited, by the sidecar."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Send the call to an endpoint."""

    endpoint: str
    """Name of the endpoint."""

    may_queue: bool
    """Whether the sidecar may queue the call, or must refuse if full."""


class OfferPolicy:
    """Finds a free endpoint in spite of load reports that come late.

    A sidecar knows at once whether it has a free slot. The entry offers a
    call to a few endpoints in turn, the first as the routing policy
    chooses; each must start it or refuse it as not run. If all are full,
    the call queues where the wait is shortest. Call ``offer`` with the
    refusals so far.
    """

    def __init__(
        self,
        policy: _protocols.RoutingPolicy,
        max_offers: int = _MAX_OFFERS,
    ) -> None:
        self._policy = policy
        self._max_offers = max_offers

    def offer(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        full: tuple[FullEndpoint, ...],
        now: float,
        rng: random.Random,
    ) -> Offer | _types.NoEndpoint:
        """Return the next endpoint, and whether the call may queue there."""
        if len(full) < self._max_offers:
            untried = dataclasses.replace(
                request,
                excluded=request.excluded.union(
                    refusal.endpoint for refusal in full
                ),
            )
            choice = self._policy.choose(untried, candidates, now, rng)
            if isinstance(choice, _types.Choice):
                return Offer(choice.endpoint, may_queue=False)
            if not full:
                return choice
        shortest = min(full, key=lambda refusal: refusal.wait_s)
        return Offer(shortest.endpoint, may_queue=True)
