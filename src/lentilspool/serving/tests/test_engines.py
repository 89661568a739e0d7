"""Tests of the engines of a service."""

import dataclasses

from lentilspool.serving import _endpoint_statements, _engines, _plan_types
from lentilspool.serving.tests import builders


class TestEngineLimits:
    def test_limits_of_known_engines_change(self) -> None:
        pool = _engines.EnginePool(
            _plan_types.PlanLimits(),
            _endpoint_statements.EndpointStatements(),
        )
        endpoints = (builders.endpoint('e', 'model'),)
        pool.update_endpoints(endpoints, builders.ENGINE)
        changed = dataclasses.replace(builders.ENGINE, slots=8)
        pool.update_endpoints(endpoints, changed)
        assert [one.limits for one in pool.engines.values()] == [changed]
