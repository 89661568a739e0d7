"""Tests of requests that are planned again when their planner is lost.

A request that ends its planner would end one gateway after another.
"""

from typing import cast

import trio

from lentilspool import serving
from lentilspool.gateway import _peers, _planning
from lentilspool.serving.tests import builders


class LosingLink:
    """A connection that is lost whenever a plan is requested."""

    address = '127.0.0.1:9'

    def __init__(self) -> None:
        self.requested = 0

    def plan(
        self, plan_request: serving.PlanRequest, callback: _peers.PlanCallback
    ) -> int:
        self.requested += 1
        callback(None)
        return self.requested


class LosingPlanning:
    """Planning at another gateway that is always lost."""

    def __init__(self) -> None:
        self.link = LosingLink()

    def planner_link(self) -> LosingLink:
        return self.link


class TestLostPlanners:
    def test_request_is_refused_after_three_planners(self) -> None:
        async def check() -> None:
            planning = LosingPlanning()
            plan = _planning.Plan(
                cast(_planning.Planning, planning), builders.plan_request('p')
            )
            decision = None
            with trio.move_on_after(0.5):
                decision = await plan.wait_for_decision()
            assert planning.link.requested == 3
            assert isinstance(decision, serving.Refuse)
            assert decision.reason == 'planners_lost'

        trio.run(check)
