import random

import pytest

from lentilspool import routing


class TestOfferPolicy:
    @pytest.fixture(autouse=True)
    def _policy(self) -> None:
        self.policy = routing.OfferPolicy(
            routing.DefaultPolicy(), max_offers_per_call=3
        )

    def _offer(
        self, refusals: tuple[routing.RefusedOffer, ...], size: int = 6
    ) -> routing.Offer | routing.NoEndpoint:
        candidates = [routing.Candidate(str(name)) for name in range(size)]
        return self.policy.offer(
            routing.RoutingRequest(), candidates, refusals, 0, random.Random(1)
        )

    def test_untried_endpoints_get_offers_before_the_call_queues(
        self,
    ) -> None:
        refusals: tuple[routing.RefusedOffer, ...] = ()
        for wait_s in (3, 1, 2):
            offer = self._offer(refusals)
            assert isinstance(offer, routing.Offer)
            assert not offer.may_queue
            assert offer.endpoint not in {
                refusal.endpoint for refusal in refusals
            }
            refusals += (routing.RefusedOffer(offer.endpoint, wait_s),)
        assert self._offer(refusals) == routing.Offer(
            refusals[1].endpoint, True
        )

    def test_call_queues_when_all_endpoints_are_full(self) -> None:
        self._offer(())
        refusals = (routing.RefusedOffer('0', 1),)
        assert self._offer(refusals, size=1) == routing.Offer('0', True)

    def test_empty_pool_gives_no_endpoint(self) -> None:
        assert isinstance(self._offer((), size=0), routing.NoEndpoint)

    def test_offers_per_call_are_bounded_under_overload(self) -> None:
        self.policy = routing.OfferPolicy(routing.DefaultPolicy())
        offers = 0
        for _ in range(500):
            refusals: tuple[routing.RefusedOffer, ...] = ()
            offer = self._offer(refusals, size=30)
            while isinstance(offer, routing.Offer) and not offer.may_queue:
                offers += 1
                refusals += (routing.RefusedOffer(offer.endpoint, 1),)
                offer = self._offer(refusals, size=30)
        assert offers <= 500 * 5
