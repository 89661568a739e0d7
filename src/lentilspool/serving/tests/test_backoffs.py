"""Tests of backoffs that endpoints ask of single gateways."""

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders

NAME = 'e1/1'
OTHER_NAME = 'e2/1'


class TestBackoffs:
    @pytest.mark.parametrize(
        ('backoffs', 'backed_off_at', 'free_at'),
        [
            # Time and seconds of each backoff that is asked for.
            (((0, 3),), 2.9, 3.1),
            (((0, 3), (1, 1)), 2.9, 3.1),
            (((0, 1), (0.5, 3)), 3.4, 3.6),
            (((0, 7200),), 3599, 3601),
        ],
        ids=['one', 'a shorter one', 'a longer one', 'hours'],
    )
    def test_endpoint_is_left_alone_until_the_end(
        self,
        backoffs: tuple[tuple[float, float], ...],
        backed_off_at: float,
        free_at: float,
    ) -> None:
        statements = serving.EndpointStatements('g')
        for at, backoff_s in backoffs:
            statements.record_backoff(NAME, backoff_s, at)
        assert statements.backed_off(backed_off_at) == {NAME}
        assert statements.next_at(NAME, backed_off_at) > backed_off_at
        assert not statements.backed_off(free_at)
        assert statements.next_at(NAME, free_at) <= free_at

    def test_backoff_is_that_of_one_gateway(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_backoff(NAME, 3, 0)
        assert statements.next_at(NAME, 1, 'h') <= 1

    def test_planner_learns_the_backoffs_of_a_gateway(self) -> None:
        own, planner = (serving.EndpointStatements(name) for name in 'gp')
        own.record_backoff(NAME, 3, 0)
        planner.backoffs.merge('g', own.own_backoffs(1), 1)
        assert planner.next_at(NAME, 1, 'g') == 3
        assert planner.next_at(NAME, 1) <= 1

    def test_backoffs_that_have_ended_are_forgotten(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_backoff(NAME, 3, 0)
        statements.backoffs.merge('h', ((NAME, 3),), 0)
        statements.forget_unlisted(set(), 4)
        assert not statements.own_backoffs(0)
        assert statements.backoffs.until('h', NAME) == 0

    def test_told_backoffs_are_bounded(self) -> None:
        statements = serving.EndpointStatements('g')
        for number in range(300):
            statements.record_backoff(f'e{number}/1', number + 1, 0)
        told = statements.own_backoffs(0)
        assert len(told) == 100
        assert told[0] == ('e299/1', 300)

    @pytest.mark.parametrize(
        ('backed_off', 'backoff_s'),
        [((NAME,), 0), ((NAME, OTHER_NAME), 2), ((), 0)],
    )
    def test_backoff_of_all_ends_with_the_first(
        self, backed_off: tuple[str, ...], backoff_s: float
    ) -> None:
        statements = serving.EndpointStatements('g')
        for number, name in enumerate(backed_off):
            statements.record_backoff(name, 2 + number, 0)
        endpoints = [builders.endpoint(name, 'desk') for name in ('e1', 'e2')]
        assert statements.backoff_s(endpoints, 0) == backoff_s


def planner(
    *backed_off: str, backoff_s: float = 3
) -> tuple[serving.Planner, serving.EndpointStatements]:
    """Return a planner for gateway ``g``, of which endpoints ask for a backoff."""
    listed = builders.endpoint_index(
        builders.endpoint('e1', 'model'),
        builders.endpoint('e2', 'model'),
        builders.endpoint('s1', 'search'),
    )
    statements = serving.EndpointStatements('g')
    for name in backed_off:
        statements.record_backoff(f'{name}/1', backoff_s, 0)
    found = serving.Planner(listed, None, None, statements)
    found.configure(builders.SERVICES)
    return found, statements


class TestPlannerBesideBackoffs:
    """Engines that shed load, and so have less to do than the others."""

    def test_backed_off_engine_is_not_chosen(self) -> None:
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

    def test_request_is_refused_at_once_if_all_ask_for_backoffs(self) -> None:
        busy, _ = planner('e1', 'e2')
        busy.submit(builders.plan_request('r', gateway='g'), 1)
        refused = builders.refusals(busy.step(1))[0]
        assert (refused.reason, refused.retry_after_s) == ('backoff', 2)

    def test_request_waits_for_a_backoff_that_ends_in_time(self) -> None:
        busy, _ = planner('e1', 'e2', backoff_s=0.5)
        busy.submit(builders.plan_request('r', gateway='g'), 0)
        assert not builders.runs(busy.step(0))
        assert builders.runs(busy.step(0.5))

    def test_request_is_refused_if_all_endpoints_of_a_stage_ask(self) -> None:
        busy, _ = planner('s1')
        job = builders.plan_request('r', builders.stage(), gateway='g')
        busy.submit(job, 0)
        refused = builders.refusals(busy.step(0))[0]
        assert (refused.reason, refused.retry_after_s) == ('backoff', 3)

    def test_waiting_request_is_refused_when_all_ask_for_backoffs(self) -> None:
        busy, statements = planner('s1', backoff_s=0.5)
        job = builders.plan_request('r', builders.stage(), gateway='g')
        busy.submit(job, 0)
        assert not busy.step(0)
        statements.record_backoff('s1/1', 3, 0.1)
        assert builders.refusals(busy.step(0.1))
