"""Tests of how a gateway counts lost planners."""

from lentilspool import serving


class TestPlannerLosses:
    def test_plans_that_are_lost_together_count_once(self) -> None:
        losses = serving.PlannerLosses()
        for number in range(20):
            losses.record('g1', number / 100)
        assert losses.recent(1) == 1

    def test_each_loss_of_a_planner_counts(self) -> None:
        losses = serving.PlannerLosses()
        for planner, now in (('g1', 0), ('g2', 1), ('g1', 2), ('g1', 4)):
            losses.record(planner, now)
        assert losses.recent(4) == 4

    def test_losses_are_forgotten(self) -> None:
        losses = serving.PlannerLosses()
        losses.record('g1', 0)
        losses.record('g2', 8)
        assert losses.recent(11) == 1
