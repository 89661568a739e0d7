"""Tests of endpoints that write an earlier answer once more.

The copy comes where the answer to the next request on the connection is due.
"""

import functools
import itertools
from collections import Counter
from types import MappingProxyType
from typing import Final

import pytest

from lentilspool.gateway.tests import repeating_endpoints, stating_fleet

GATEWAYS: Final = 2
ENDPOINTS: Final = 4
RATE: Final = 10.0
LOAD_S: Final = 2.0
ROUTES: Final = ('plain', 'order', 'talk', 'draft')
REFUSES_EVERY: Final = 4
# Share of what is served without copies that must be served beside them.
SERVED_SHARE: Final = 0.9
Fault: Final = repeating_endpoints.Fault
Moment: Final = repeating_endpoints.Moment
FAULTS: Final = MappingProxyType(
    {
        'results': Fault(('200',)),
        'results at the next request': Fault(('200',), Moment.after_request),
        'results twice': Fault(('200',), copies=2),
        'results while idle': Fault(('200',), Moment.idle),
        'refusals': Fault(('503',), refuses_every=REFUSES_EVERY),
        'refusals without an id': Fault(
            ('503',), refuses_every=REFUSES_EVERY, states_ids=False
        ),
        'refusals without an id at the next request': Fault(
            ('503',),
            Moment.after_request,
            refuses_every=REFUSES_EVERY,
            states_ids=False,
        ),
        'all': Fault(('200', '503'), refuses_every=REFUSES_EVERY),
    }
)
SOUND: Final = MappingProxyType(
    {
        (refuses_every, states_ids): Fault(
            refuses_every=refuses_every, states_ids=states_ids
        )
        for refuses_every in (0, REFUSES_EVERY)
        for states_ids in (True, False)
    }
)


class Played:
    """A load that was played beside a fault, as seen from outside."""

    def __init__(self, fleet: stating_fleet.StatingFleet) -> None:
        self.replies = fleet.replies
        self._endpoints = [
            one
            for one in itertools.chain(*fleet.endpoints.values())
            if isinstance(one, repeating_endpoints.Endpoint)
        ]

    @property
    def runs(self) -> Counter[str]:
        """Number of runs by request."""
        return Counter(
            itertools.chain.from_iterable(one.runs for one in self._endpoints)
        )

    @property
    def served(self) -> int:
        """Number of requests that were served."""
        return sum(one.status == 200 for one in self.replies)

    def foreign_inputs(self) -> list[str]:
        """Return requests that ran on the results of other requests."""
        made: dict[str, str] = {}
        for endpoint in self._endpoints:
            made.update(endpoint.made)
        return [
            request_id
            for endpoint in self._endpoints
            for request_id, handles in endpoint.read.items()
            if any(made[handle] != request_id for handle in handles)
        ]


@functools.cache
def play(fault: repeating_endpoints.Fault, endpoints: int) -> Played:
    """Play the load with endpoints that all have a fault."""

    async def scenario(fleet: stating_fleet.StatingFleet) -> None:
        await fleet.load(RATE, LOAD_S, ROUTES)

    make = functools.partial(repeating_endpoints.Endpoint, fault)
    return Played(stating_fleet.play(scenario, GATEWAYS, endpoints, make))


@pytest.mark.parametrize(
    ('name', 'endpoints'),
    [
        *((name, ENDPOINTS) for name in FAULTS),
        # Connections and requests come again at the only endpoint.
        ('results', 1),
        ('results while idle', 1),
        ('refusals', 1),
        ('refusals without an id', 1),
        ('all', 1),
    ],
)
class TestRepeatedAnswers:
    def test_no_request_reads_results_of_another(
        self, name: str, endpoints: int
    ) -> None:
        assert not play(FAULTS[name], endpoints).foreign_inputs()

    def test_answers_belong_to_their_requests(
        self, name: str, endpoints: int
    ) -> None:
        for reply in play(FAULTS[name], endpoints).replies:
            if reply.status == 200:
                assert f'data: {reply.request_id}.'.encode() in reply.received

    def test_requests_that_ran_are_not_refused(
        self, name: str, endpoints: int
    ) -> None:
        played = play(FAULTS[name], endpoints)
        untrue = [
            one.request_id
            for one in played.replies
            if one.status in {408, 421, 429, 503}
            and played.runs[one.request_id]
            and one.route != 'plain'
        ]
        assert not untrue

    def test_requests_that_may_run_once_run_once(
        self, name: str, endpoints: int
    ) -> None:
        played = play(FAULTS[name], endpoints)
        twice = [
            one.request_id
            for one in played.replies
            if one.route != 'plain' and played.runs[one.request_id] > 1
        ]
        assert not twice


@pytest.mark.parametrize('name', FAULTS)
class TestServiceBesideRepeatedAnswers:
    def test_requests_are_served(self, name: str) -> None:
        fault = FAULTS[name]
        sound = play(SOUND[fault.refuses_every, fault.states_ids], ENDPOINTS)
        played = play(fault, ENDPOINTS)
        assert played.served >= SERVED_SHARE * sound.served
