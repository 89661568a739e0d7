"""Tests of requests that are planned again when their planner is lost.

A request that ends its planner would end one gateway after another.
"""

from typing import cast

import pytest
import trio

from lentilspool import serving
from lentilspool.gateway import _clock, _peers, _planning
from lentilspool.serving.tests import builders


class LosingLink:
    """A connection that is lost whenever a plan is requested."""

    address = '127.0.0.1:9'

    def __init__(self, *, begins: bool) -> None:
        self.requested = 0
        self.begins = begins
        self.repeated: list[bool] = []

    def plan(
        self, plan_request: serving.PlanRequest, callback: _peers.PlanCallback
    ) -> int:
        self.requested += 1
        self.repeated.append(plan_request.repeated)
        if self.begins:
            callback(serving.Begun(''))
        callback(None)
        return self.requested


class LosingPlanning:
    """Planning at another gateway that is always lost."""

    def __init__(self, *, begins: bool = False) -> None:
        self.link = LosingLink(begins=begins)
        self.losses = serving.PlannerLosses()

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
            assert planning.losses.recent(_clock.now()) == 1
            assert isinstance(decision, serving.Refuse)
            assert decision.reason == 'planners_lost'

        trio.run(check)

    @pytest.mark.parametrize(
        ('begins', 'repeated'),
        [(True, [False, True, True]), (False, [False, False, False])],
    )
    def test_next_planner_learns_whether_pieces_were_sent(
        self, begins: bool, repeated: list[bool]
    ) -> None:
        async def check() -> None:
            planning = LosingPlanning(begins=begins)
            plan = _planning.Plan(
                cast(_planning.Planning, planning), builders.plan_request('p')
            )
            with trio.fail_after(5):
                await plan.wait_for_decision()
            assert planning.link.repeated == repeated

        trio.run(check)
