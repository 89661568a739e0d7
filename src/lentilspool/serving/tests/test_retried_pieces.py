"""Tests of pieces that are sent again after a call brought no results."""

from lentilspool import serving
from lentilspool.serving.tests import builders

SEARCH = builders.endpoint('s1', 'search')
OTHER = builders.endpoint('s2', 'search')
ENGINE = builders.endpoint('e1', 'model')
FULL = 4


def fail_calls(
    planner: serving.Planner, now: float, *, ran: bool = True
) -> int:
    """End all calls that are started now without results; count pieces."""
    calls = builders.calls(planner.step(now))
    for call in calls:
        planner.call_ended(call.number, None, now + 0.01, ran=ran)
    return sum(len(call.pieces) for call in calls)


class TestRetriedPieces:
    """Stage endpoints crash, or two planners fill them, under load."""

    def submit(
        self, planner: serving.Planner, count: int, deadline_s: float = 8
    ) -> None:
        for number in range(count):
            ask = builders.ask(
                f'{number}',
                builders.stage(1),
                target_s=deadline_s,
                deadline_s=deadline_s,
            )
            planner.submit(ask, 0)

    def test_endpoint_that_goes_on_failing_gets_fewer_calls(self) -> None:
        planner = builders.planner(builders.directory(SEARCH, ENGINE))
        self.submit(planner, 2 * FULL, deadline_s=60)
        began = [now for now in range(15) if fail_calls(planner, now + 0.5)]
        pauses = [later - earlier for earlier, later in zip(began, began[1:])]
        assert pauses[0] < pauses[1]
        assert max(pauses) <= 3

    def test_rejected_calls_cost_no_retries(self) -> None:
        planner = builders.planner(builders.directory(SEARCH, ENGINE))
        self.submit(planner, FULL)
        rejected = [
            fail_calls(planner, step / 2, ran=False) for step in range(6)
        ]
        assert set(rejected) == {FULL}
        assert not builders.refusals(planner.step(3))

    def test_full_calls_of_a_dead_endpoint_are_sent_again(self) -> None:
        limits = serving.PlanLimits(retry_reserve=1)
        planner = builders.planner(
            builders.directory(SEARCH, OTHER, ENGINE), limits
        )
        self.submit(planner, 2 * FULL)
        assert fail_calls(planner, 0) == 2 * FULL
        assert fail_calls(planner, 1.1) == 2 * FULL
        assert not builders.refusals(planner.step(1.1))

    def test_pieces_wait_until_the_budget_allows_them(self) -> None:
        limits = serving.PlanLimits(retry_reserve=1, retry_calls=0)
        planner = builders.planner(builders.directory(SEARCH, ENGINE), limits)
        self.submit(planner, FULL, deadline_s=30)
        assert fail_calls(planner, 0) == FULL
        assert fail_calls(planner, 1.1) == 1
        (later,) = builders.calls(planner.step(12))
        assert len(later.pieces) == 1

    def test_request_that_waits_in_vain_is_refused(self) -> None:
        limits = serving.PlanLimits(retry_reserve=0, retry_calls=0)
        planner = builders.planner(builders.directory(SEARCH, ENGINE), limits)
        self.submit(planner, 1)
        fail_calls(planner, 0)
        assert not builders.refusals(planner.step(1))
        assert builders.refusals(planner.step(7.9))
