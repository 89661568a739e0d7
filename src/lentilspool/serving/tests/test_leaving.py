"""Tests of endpoints that state that they leave."""

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders

FIRST = builders.endpoint('e1', 'model')
SECOND = builders.endpoint('e2', 'model')
SERVES_S = 2.0


def statements() -> serving.EndpointStatements:
    return serving.EndpointStatements('g', leaving_serves_s=SERVES_S)


class TestLeavingEndpoints:
    @pytest.mark.parametrize(
        ('leaving', 'last_resorts', 'ready'),
        [
            ((), (), ['e1', 'e2']),
            ((FIRST,), (FIRST,), ['e2']),
            ((FIRST, SECOND), (FIRST, SECOND), ['e1', 'e2']),
            ((FIRST, SECOND), (SECOND,), ['e2']),
            ((FIRST, SECOND), (), []),
        ],
        ids=['none', 'one', 'all', 'one for too long', 'all for too long'],
    )
    def test_endpoint_gets_work_only_if_there_is_no_other(
        self,
        leaving: tuple[serving.Endpoint, ...],
        last_resorts: tuple[serving.Endpoint, ...],
        ready: list[str],
    ) -> None:
        listed = builders.endpoint_index(FIRST, SECOND)
        listed.apply_leaving(
            frozenset(one.incarnation for one in leaving),
            frozenset(one.incarnation for one in last_resorts),
        )
        assert [one.name for one in listed.ready('model')] == ready

    def test_new_listing_does_not_bring_it_back(self) -> None:
        listed = builders.endpoint_index(FIRST, SECOND)
        listed.apply_leaving(frozenset((FIRST.incarnation,)), frozenset())
        listed.remove('e1')
        listed.put(FIRST)
        assert listed.ready('model') == (SECOND,)

    def test_it_is_a_last_resort_for_half_of_its_time(self) -> None:
        known = statements()
        known.leaving.merge([FIRST.incarnation], 0)
        assert known.leaving.last_resorts(0.9) == {FIRST.incarnation}
        assert not known.leaving.last_resorts(1.1)

    def test_repeated_statement_does_not_renew_its_time(self) -> None:
        known = statements()
        assert known.leaving.merge([FIRST.incarnation], 0)
        assert not known.leaving.merge([FIRST.incarnation], 0.9)
        assert not known.leaving.last_resorts(1.1)

    def test_statement_outlives_the_listing(self) -> None:
        known = statements()
        known.leaving.merge([FIRST.incarnation], 0)
        known.forget_unlisted(set(), 500)
        assert known.leaving.incarnations
        known.forget_unlisted({FIRST.incarnation}, 900)
        assert known.leaving.incarnations
        known.forget_unlisted(set(), 901)
        assert not known.leaving.incarnations

    def test_latest_statements_are_told_at_once(self) -> None:
        known = statements()
        known.leaving.merge([FIRST.incarnation], 0)
        assert known.leaving.told(1, everything=False)
        assert not known.leaving.told(9, everything=False)
        assert known.leaving.told(9, everything=True)


class TestPlannerBesideLeaving:
    def test_call_that_runs_at_a_leaving_endpoint_is_not_repeated(self) -> None:
        listed = builders.endpoint_index(
            FIRST,
            builders.endpoint('s1', 'search'),
            builders.endpoint('s2', 'search'),
        )
        planner = builders.planner(listed)
        planner.submit(builders.plan_request('r', builders.stage()), 0)
        call = builders.calls(planner.step(0))[0]
        leaving = frozenset((call.endpoint.incarnation,))
        listed.apply_leaving(leaving, frozenset())
        assert not builders.calls(planner.step(0.1))
        planner.call_ended(call.number, builders.results_of(call), 0.2)
        assert builders.runs(planner.step(0.2))

    def test_engine_that_leaves_is_no_source_of_cached_parts(self) -> None:
        listed = builders.endpoint_index(FIRST, SECOND)
        planner = builders.planner(listed)
        prompt = builders.prompt(shared=50_000)
        planner.submit(builders.plan_request('r1', prompt=prompt), 0)
        first = builders.runs(planner.step(0))[0]
        leaving = frozenset((first.endpoint.incarnation,))
        listed.apply_leaving(leaving, frozenset())
        planner.submit(builders.plan_request('r2', prompt=prompt), 1)
        second = builders.runs(planner.step(1))[0]
        assert second.endpoint != first.endpoint
        assert not second.cache_source
