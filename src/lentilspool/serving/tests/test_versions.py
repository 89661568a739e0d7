"""Tests of the choice of an engine for a stream that a version has begun."""

import dataclasses

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders

OLD = dataclasses.replace(builders.endpoint('e1', 'model'), version='v1.1')
NEW = dataclasses.replace(builders.endpoint('e2', 'model'), version='v1.2')
BARE = builders.endpoint('e3', 'model')
SEARCH = builders.endpoint('s1', 'search')


def step(
    planner: serving.Planner, now: float, **changes: object
) -> list[serving.Action]:
    planner.submit(builders.plan_request('one', **changes), now)
    return planner.step(now)


class TestEngineOfVersion:
    @pytest.mark.parametrize(
        ('version', 'chosen'),
        [('v1.1', OLD), ('v1.2', NEW), ('', BARE), (None, OLD)],
    )
    def test_only_engines_of_the_version_are_chosen(
        self, version: str | None, chosen: serving.Endpoint
    ) -> None:
        planner = builders.planner(builders.endpoint_index(OLD, NEW, BARE))
        (run,) = builders.runs(step(planner, 0, version=version))
        assert run.endpoint == chosen

    def test_cached_prompt_at_another_version_does_not_matter(self) -> None:
        planner = builders.planner(builders.endpoint_index(OLD, NEW))
        text = builders.prompt(50_000)
        (first,) = builders.runs(step(planner, 0, prompt=text, version='v1.1'))
        planner.submit(
            builders.plan_request('two', prompt=text, version='v1.2'), 0.1
        )
        (run,) = builders.runs(planner.step(0.1))
        assert first.endpoint == OLD
        assert run.endpoint == NEW
        assert not run.cache_source

    @pytest.mark.parametrize(
        'changes', [{'version': 'v1'}, {'version': 'v1.2', 'avoid': ('e2/1',)}]
    )
    def test_request_is_refused_at_once_if_no_engine_can_have_it(
        self, changes: dict[str, object]
    ) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, OLD, NEW))
        planner.submit(
            builders.plan_request('one', builders.stage(), **changes), 0
        )
        actions = planner.step(0)
        (refused,) = builders.refusals(actions)
        assert refused.reason == 'no_engine_of_version'
        assert refused.retry_after_s
        assert not builders.calls(actions)

    def test_request_waits_for_a_busy_engine_of_its_version(self) -> None:
        planner = builders.planner(builders.endpoint_index(OLD, NEW))
        for number in range(builders.ENGINE.slots):
            planner.submit(
                builders.plan_request(f'p{number}', version='v1.2'), 0
            )
            planner.step(0)
        assert not step(planner, 0.1, version='v1.2')
        for number in range(builders.ENGINE.slots):
            planner.engine_ended(f'p{number}', 0.2)
        found = {run.key: run for run in builders.runs(planner.step(0.2))}
        assert found['one'].endpoint == NEW

    def test_request_is_refused_when_the_last_engine_leaves(self) -> None:
        listed = builders.endpoint_index(SEARCH, OLD, NEW)
        planner = builders.planner(listed)
        planner.submit(
            builders.plan_request('one', builders.stage(), version='v1.2'), 0
        )
        assert builders.calls(planner.step(0))
        listed.remove(NEW.name)
        (refused,) = builders.refusals(planner.step(0.1))
        assert refused.reason == 'no_engine_of_version'

    def test_engine_that_started_again_counts_with_its_new_version(
        self,
    ) -> None:
        listed = builders.endpoint_index(OLD, NEW)
        planner = builders.planner(listed)
        planner.step(0)
        listed.put(dataclasses.replace(NEW, version='v1.1', born_ms=2))
        (refused,) = builders.refusals(step(planner, 0.1, version='v1.2'))
        assert refused.reason == 'no_engine_of_version'
