"""Offers of a call to several sidecars before it may queue at one of them."""

import dataclasses
import random
from collections.abc import Sequence
from typing import Final

from lentilspool.routing import _protocols, _types

_MAX_OFFERS_PER_CALL: Final = 64
# The endpoints of the latest refusals are not offered the call again.
_AVOIDED_REFUSALS: Final = 8
_OFFERS_EARNED_PER_CALL: Final = 4.0
_MAX_OFFER_BALANCE: Final = 64.0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedOffer:
    """An offer that a sidecar refused because the call would have queued."""

    endpoint: str
    """Name of the endpoint."""

    wait_s: float
    """Seconds that the call would have waited, as the sidecar estimates."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """The endpoint to send the call to."""

    endpoint: str
    """Name of the endpoint."""

    may_queue: bool
    """Whether a full sidecar may queue the call; otherwise it refuses."""


class OfferPolicy:
    """Finds an endpoint with a free slot although load reports are late.

    Only the sidecar knows at once whether it has a free slot. The entry
    therefore offers a call to one endpoint after another, in the order of
    the routing policy; each one starts the call or refuses it as not run.
    Each call adds a few offers to a balance of the pool, and each further
    offer spends one, which bounds the offers per call under overload. If
    the balance is spent, the call has reached its maximum of offers, or no
    other endpoint may be chosen, the call queues where the latest refusals
    named the shortest wait. Use one instance per pool, and pass all
    refusals of the call so far to ``offer``.
    """

    def __init__(
        self,
        policy: _protocols.RoutingPolicy,
        max_offers_per_call: int = _MAX_OFFERS_PER_CALL,
        offers_earned_per_call: float = _OFFERS_EARNED_PER_CALL,
    ) -> None:
        self._policy = policy
        self._max_offers_per_call = max_offers_per_call
        self._offers_earned_per_call = offers_earned_per_call
        self._offer_balance = 0.0

    def offer(
        self,
        request: _types.RoutingRequest,
        candidates: Sequence[_types.Candidate],
        refusals: tuple[RefusedOffer, ...],
        now: float,
        rng: random.Random,
    ) -> Offer | _types.NoEndpoint:
        """Return the next endpoint, and whether the call may queue there.

        ``refusals`` has the refusals of this call so far, in order.
        """
        if not refusals:
            balance = self._offer_balance + self._offers_earned_per_call
            self._offer_balance = min(balance, _MAX_OFFER_BALANCE)
            choice = self._policy.choose(request, candidates, now, rng)
            if isinstance(choice, _types.NoEndpoint):
                return choice
            return Offer(choice.endpoint, may_queue=False)
        latest_refusals = refusals[-_AVOIDED_REFUSALS:]
        if (
            self._offer_balance >= 1
            and len(refusals) < self._max_offers_per_call
        ):
            avoided = request.excluded.union(
                refusal.endpoint for refusal in latest_refusals
            )
            untried = dataclasses.replace(request, excluded=avoided)
            choice = self._policy.choose(untried, candidates, now, rng)
            if isinstance(choice, _types.Choice):
                self._offer_balance -= 1
                return Offer(choice.endpoint, may_queue=False)
        shortest = min(latest_refusals, key=lambda refusal: refusal.wait_s)
        return Offer(shortest.endpoint, may_queue=True)
