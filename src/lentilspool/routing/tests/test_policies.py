import dataclasses
import random
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from lentilspool import kernel, routing

_POLICY_NAMES = (
    'default',
    'random',
    'round_robin',
    'least_outstanding',
    'two_choices',
)

_CANDIDATES = st.lists(
    st.builds(
        routing.Candidate,
        name=st.sampled_from([f'e{number}' for number in range(40)]),
        in_flight=st.integers(0, 20),
        reported_other_work=st.floats(0, 50),
        reported_at=st.floats(0, 10),
        capacity=st.floats(1, 16),
        zone=st.sampled_from(['a', 'b']),
        ejected=st.booleans(),
        weight=st.floats(0, 1),
    ),
    unique_by=lambda candidate: candidate.name,
    max_size=30,
)


def _choose(
    name: str,
    request: routing.RoutingRequest,
    candidates: list[routing.Candidate],
    seed: int = 1,
) -> Any:
    policy = kernel.registry.find(kernel.PluginKind.routing_policy, name)()
    return policy.choose(request, candidates, 10, random.Random(seed))


def _two_candidates(**changes: Any) -> list[routing.Candidate]:
    first = routing.Candidate(name='first', zone='a', model='m')
    return [first, dataclasses.replace(first, name='second', **changes)]


class TestEveryPolicy:
    @pytest.mark.parametrize('name', _POLICY_NAMES)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        candidates=_CANDIDATES,
        excluded=st.frozensets(
            st.sampled_from([f'e{number}' for number in range(40)])
        ),
        seed=st.integers(0, 5),
    )
    def test_never_chooses_an_excluded_or_ejected_endpoint(
        self,
        name: str,
        candidates: list[routing.Candidate],
        excluded: frozenset[str],
        seed: int,
    ) -> None:
        request = routing.RoutingRequest(excluded=excluded)
        eligible = {
            candidate.name
            for candidate in candidates
            if not candidate.ejected and candidate.name not in excluded
        }
        choice = _choose(name, request, candidates, seed)
        if eligible:
            assert isinstance(choice, routing.Choice)
            assert choice.endpoint in eligible
        else:
            assert isinstance(choice, routing.NoEndpoint)
            assert choice.retry_after_s > 0

    @pytest.mark.parametrize('name', _POLICY_NAMES)
    def test_request_that_requires_an_idle_endpoint_gets_one(
        self, name: str
    ) -> None:
        requires_idle = routing.RoutingRequest(requires_idle=True)
        for seed in range(20):
            choice = _choose(
                name, requires_idle, _two_candidates(in_flight=1), seed
            )
            assert choice.endpoint == 'first'

    @pytest.mark.parametrize('name', _POLICY_NAMES)
    def test_chooses_only_endpoints_with_the_model_and_version(
        self, name: str
    ) -> None:
        request = routing.RoutingRequest(model='m', model_version='2')
        candidates = _two_candidates(model_version='2')
        assert _choose(name, request, candidates).endpoint == 'second'
        missing = routing.RoutingRequest(model='other')
        assert isinstance(
            _choose(name, missing, candidates), routing.NoEndpoint
        )


class TestDefault:
    @pytest.mark.parametrize(
        ('changes', 'request_changes'),
        (
            ({'in_flight': 4}, {}),
            ({'reported_other_work': 8, 'reported_at': 10}, {}),
            ({'zone': 'b'}, {'service_s': 0.001}),
            ({'price': 3.0}, {}),
            ({'weight': 0.2}, {}),
            ({'capacity': 2}, {}),
            ({}, {'cached_tokens': {'first': 800}}),
            (
                {'adapters': frozenset()},
                {'adapter': 'style'},
            ),
        ),
    )
    def test_prefers_the_endpoint_with_less_load_or_cost(
        self, changes: dict[str, Any], request_changes: dict[str, Any]
    ) -> None:
        request = routing.RoutingRequest(
            zone='a', prompt_tokens=1000, **request_changes
        )
        candidates = _two_candidates(**changes)
        candidates[0] = dataclasses.replace(
            candidates[0], adapters=frozenset(('style',))
        )
        for seed in range(20):
            assert _choose('default', request, candidates, seed).endpoint == (
                'first'
            )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        work=st.floats(0, 50), more=st.floats(0, 50), seed=st.integers(0, 99)
    )
    def test_more_load_never_makes_an_endpoint_preferred(
        self, work: float, more: float, seed: int
    ) -> None:
        request = routing.RoutingRequest(zone='a')
        before = _choose(
            'default', request, _two_candidates(in_flight=work), seed
        )
        after = _choose(
            'default', request, _two_candidates(in_flight=work + more), seed
        )
        if before.endpoint == 'first':
            assert after.endpoint == 'first'

    def test_old_load_report_has_little_weight(self) -> None:
        request = routing.RoutingRequest()
        fresh = _two_candidates(reported_other_work=8, reported_at=10)
        old = [
            dataclasses.replace(candidate, reported_at=-1000)
            for candidate in fresh
        ]
        chosen = {
            _choose('default', request, fresh, seed).endpoint
            for seed in range(50)
        }
        assert chosen == {'first'}
        chosen = {
            _choose('default', request, old, seed).endpoint
            for seed in range(50)
        }
        assert chosen == {'first', 'second'}

    def test_endpoint_with_cached_prefix_outside_the_sample_is_scored(
        self,
    ) -> None:
        candidates = [
            routing.Candidate(name=f'e{number}') for number in range(500)
        ]
        request = routing.RoutingRequest(
            prompt_tokens=4000, cached_tokens={'e499': 4000}
        )
        for seed in range(20):
            choice = _choose('default', request, candidates, seed)
            assert choice.endpoint == 'e499'
            assert choice.cached_tokens == 4000


class TestEndpointTable:
    def _table(self) -> routing.EndpointTable:
        table = routing.EndpointTable()
        table.set_endpoints(
            [routing.Candidate(name='a'), routing.Candidate('b')]
        )
        return table

    def test_work_is_counted_and_never_falls_below_zero(self) -> None:
        table = self._table()
        table.add_work('a', 3)
        table.remove_work('a', 1)
        assert [candidate.in_flight for candidate in table.candidates] == [2, 0]
        table.remove_work('a', 9)
        assert [candidate.in_flight for candidate in table.candidates] == [0, 0]
        table.add_work('unknown')

    def test_older_load_report_is_ignored(self) -> None:
        table = self._table()
        table.update_load('a', others=5, measured_at=3, capacity=4)
        table.update_load('a', others=9, measured_at=2)
        candidate = table.find('a')
        assert candidate is not None
        assert (candidate.reported_other_work, candidate.capacity) == (5, 4)

    def test_known_endpoints_keep_their_load_when_replaced(self) -> None:
        table = self._table()
        table.add_work('b')
        table.set_ejection_status('b', ejected=True, weight=0.5)
        table.set_endpoints([routing.Candidate(name='b', zone='z')])
        candidate = table.find('b')
        assert candidate is not None
        assert (candidate.in_flight, candidate.ejected, candidate.zone) == (
            1,
            True,
            'z',
        )
        assert table.find('a') is None
