"""Offers of a call to several sidecars before it may queue at one."""

import dataclasses
import random
from collections.abc import Sequence
from typing import Final

from lentilspool.routing import _protocols, _types

_MAX_OFFERS: Final = 64
_AVOID_LAST: Final = 8
_EARNED_BY_CALL: Final = 4.0
_MAX_BALANCE: Final = 64.0


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
    call to endpoints in turn, as the routing policy chooses; each must
    start it or refuse it as not run. A call earns further offers for the
    pool, so that their number stays a few for each call under overload.
    When there are none left, the call queues where the wait is shortest.
    Keep one for each pool; call ``offer`` with the refusals so far.
    """

    def __init__(
        self,
        policy: _protocols.RoutingPolicy,
        max_offers: int = _MAX_OFFERS,
        earned_by_call: float = _EARNED_BY_CALL,
    ) -> None:
        self._policy = policy
        self._max_offers = max_offers
        self._earned_by_call = earned_by_call
        self._balance = 0.0

    def offer(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        full: tuple[FullEndpoint, ...],
        now: float,
        rng: random.Random,
    ) -> Offer | _types.NoEndpoint:
        """Return the next endpoint, and whether the call may queue there."""
        if not full:
            earned = self._balance + self._earned_by_call
            self._balance = min(earned, _MAX_BALANCE)
            choice = self._policy.choose(request, candidates, now, rng)
            if isinstance(choice, _types.NoEndpoint):
                return choice
            return Offer(choice.endpoint, may_queue=False)
        latest = full[-_AVOID_LAST:]
        if self._balance >= 1 and len(full) < self._max_offers:
            avoided = request.excluded.union(
                refusal.endpoint for refusal in latest
            )
            untried = dataclasses.replace(request, excluded=avoided)
            choice = self._policy.choose(untried, candidates, now, rng)
            if isinstance(choice, _types.Choice):
                self._balance -= 1
                return Offer(choice.endpoint, may_queue=False)
        shortest = min(latest, key=lambda refusal: refusal.wait_s)
        return Offer(shortest.endpoint, may_queue=True)
