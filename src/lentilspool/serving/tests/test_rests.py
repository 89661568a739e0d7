"""Tests of rests that endpoints ask of single gateways."""

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders

NAME = 'e1/1'
OTHER_NAME = 'e2/1'


class TestRests:
    @pytest.mark.parametrize(
        ('rests', 'rests_at', 'free_at'),
        [
            # Time and seconds of each rest that is asked for.
            (((0, 3),), 2.9, 3.1),
            (((0, 3), (1, 1)), 2.9, 3.1),
            (((0, 1), (0.5, 3)), 3.4, 3.6),
            (((0, 7200),), 3599, 3601),
        ],
        ids=['one', 'a shorter one', 'a longer one', 'hours'],
    )
    def test_endpoint_is_left_alone_until_the_end(
        self,
        rests: tuple[tuple[float, float], ...],
        rests_at: float,
        free_at: float,
    ) -> None:
        statements = serving.EndpointStatements('g')
        for at, rest_s in rests:
            statements.record_rest(NAME, rest_s, at)
        assert statements.resting(rests_at) == {NAME}
        assert statements.next_at(NAME, rests_at) > rests_at
        assert not statements.resting(free_at)
        assert statements.next_at(NAME, free_at) <= free_at

    def test_rest_is_that_of_one_gateway(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_rest(NAME, 3, 0)
        assert statements.next_at(NAME, 1, 'h') <= 1

    def test_planner_learns_the_rests_of_a_gateway(self) -> None:
        own, planner = (serving.EndpointStatements(name) for name in 'gp')
        own.record_rest(NAME, 3, 0)
        planner.rests.merge('g', own.own_rests(1), 1)
        assert planner.next_at(NAME, 1, 'g') == 3
        assert planner.next_at(NAME, 1) <= 1

    def test_rests_that_have_ended_are_forgotten(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_rest(NAME, 3, 0)
        statements.rests.merge('h', ((NAME, 3),), 0)
        statements.forget_unlisted(set(), 4)
        assert not statements.own_rests(0)
        assert statements.rests.until('h', NAME) == 0

    def test_told_rests_are_bounded(self) -> None:
        statements = serving.EndpointStatements('g')
        for number in range(300):
            statements.record_rest(f'e{number}/1', number + 1, 0)
        told = statements.own_rests(0)
        assert len(told) == 100
        assert told[0] == ('e299/1', 300)

    @pytest.mark.parametrize(
        ('resting', 'rest_s'),
        [((NAME,), 0), ((NAME, OTHER_NAME), 2), ((), 0)],
    )
    def test_rest_of_all_ends_with_the_first(
        self, resting: tuple[str, ...], rest_s: float
    ) -> None:
        statements = serving.EndpointStatements('g')
        for number, name in enumerate(resting):
            statements.record_rest(name, 2 + number, 0)
        endpoints = [builders.endpoint(name, 'desk') for name in ('e1', 'e2')]
        assert statements.rest_s(endpoints, 0) == rest_s


def planner(
    *resting: str, rest_s: float = 3
) -> tuple[serving.Planner, serving.EndpointStatements]:
    """Return a planner for gateway ``g``, of which endpoints want rest."""
    listed = builders.endpoint_index(
        builders.endpoint('e1', 'model'),
        builders.endpoint('e2', 'model'),
        builders.endpoint('s1', 'search'),
    )
    statements = serving.EndpointStatements('g')
    for name in resting:
        statements.record_rest(f'{name}/1', rest_s, 0)
    found = serving.Planner(listed, None, None, statements)
    found.configure(builders.SERVICES)
    return found, statements


class TestPlannerBesideRests:
    """Engines that shed load, and so have less to do than the others."""

    def test_resting_engine_is_not_chosen(self) -> None:
        busy, _ = planner('e1')
        for number in range(6):
            job = builders.plan_request(
                f'r{number}',
                prompt=builders.prompt(key=f'p{number}'),
                gateway='g',
            )
            busy.submit(job, 0)
        chosen = {one.endpoint.name for one in builders.runs(busy.step(0))}
        assert chosen == {'e2'}

    def test_other_gateway_may_use_it(self) -> None:
        busy, _ = planner('e1', 'e2')
        busy.submit(builders.plan_request('r', gateway='h'), 0)
        assert builders.runs(busy.step(0))

    def test_request_is_refused_at_once_if_all_rest(self) -> None:
        busy, _ = planner('e1', 'e2')
        busy.submit(builders.plan_request('r', gateway='g'), 1)
        refused = builders.refusals(busy.step(1))[0]
        assert (refused.reason, refused.retry_after_s) == ('resting', 2)

    def test_request_waits_for_a_rest_that_ends_in_time(self) -> None:
        busy, _ = planner('e1', 'e2', rest_s=0.5)
        busy.submit(builders.plan_request('r', gateway='g'), 0)
        assert not builders.runs(busy.step(0))
        assert builders.runs(busy.step(0.5))

    def test_request_is_refused_if_all_endpoints_of_a_stage_rest(self) -> None:
        busy, _ = planner('s1')
        job = builders.plan_request('r', builders.stage(), gateway='g')
        busy.submit(job, 0)
        refused = builders.refusals(busy.step(0))[0]
        assert (refused.reason, refused.retry_after_s) == ('resting', 3)

    def test_waiting_request_is_refused_when_all_come_to_rest(self) -> None:
        busy, statements = planner('s1', rest_s=0.5)
        job = builders.plan_request('r', builders.stage(), gateway='g')
        busy.submit(job, 0)
        assert not busy.step(0)
        statements.record_rest('s1/1', 3, 0.1)
        assert builders.refusals(busy.step(0.1))
