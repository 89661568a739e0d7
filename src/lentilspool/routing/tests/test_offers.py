import random

import pytest

from lentilspool import routing


class TestOfferPolicy:
    @pytest.fixture(autouse=True)
    def _policy(self) -> None:
        self.policy = routing.OfferPolicy(routing.Default(), max_offers=3)

    def _offer(
        self, full: tuple[routing.FullEndpoint, ...], size: int = 6
    ) -> routing.Offer | routing.NoEndpoint:
        candidates = [routing.Candidate(str(name)) for name in range(size)]
        return self.policy.offer(
            routing.RoutingRequest(), candidates, full, 0, random.Random(1)
        )

    def test_offers_to_untried_endpoints_then_queues_at_the_shortest(
        self,
    ) -> None:
        full: tuple[routing.FullEndpoint, ...] = ()
        for wait_s in (3, 1, 2):
            offer = self._offer(full)
            assert isinstance(offer, routing.Offer)
            assert not offer.may_queue
            assert offer.endpoint not in {seen.endpoint for seen in full}
            full += (routing.FullEndpoint(offer.endpoint, wait_s),)
        assert self._offer(full) == routing.Offer(full[1].endpoint, True)

    def test_queues_when_all_are_full(self) -> None:
        self._offer(())
        full = (routing.FullEndpoint('0', 1),)
        assert self._offer(full, size=1) == routing.Offer('0', True)

    def test_no_endpoint_at_all(self) -> None:
        assert isinstance(self._offer((), size=0), routing.NoEndpoint)

    def test_offers_are_a_few_for_each_call(self) -> None:
        self.policy = routing.OfferPolicy(routing.Default())
        offers = 0
        for _ in range(500):
            full: tuple[routing.FullEndpoint, ...] = ()
            offer = self._offer(full, size=30)
            while isinstance(offer, routing.Offer) and not offer.may_queue:
                offers += 1
                full += (routing.FullEndpoint(offer.endpoint, 1),)
                offer = self._offer(full, size=30)
        assert offers <= 500 * 5
