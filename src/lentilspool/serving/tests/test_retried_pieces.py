"""Tests of retried pieces after calls without results."""

import pytest

from lentilspool import serving
from lentilspool.serving.tests import builders

SEARCH = builders.endpoint('s1', 'search')
OTHER = builders.endpoint('s2', 'search')
ENGINE = builders.endpoint('e1', 'model')
FULL_CALL_PIECES = 4


def fail_calls(
    planner: serving.Planner, now: float, *, ran: bool = True
) -> int:
    """Fail all calls that start now; return the number of their pieces."""
    calls = builders.calls(planner.step(now))
    for call in calls:
        planner.call_ended(call.number, None, now + 0.01, ran=ran)
    return sum(len(call.pieces) for call in calls)


class TestRetriedPieces:
    """Stage endpoints fail or reject calls under load.

    They crash, or two planners send them calls at the same time.
    """

    def submit(
        self, planner: serving.Planner, count: int, deadline_s: float = 8
    ) -> None:
        for number in range(count):
            plan_request = builders.plan_request(
                f'{number}',
                builders.stage(1),
                target_s=deadline_s,
                deadline_s=deadline_s,
            )
            planner.submit(plan_request, 0)

    def test_repeated_failure_blocks_endpoint_longer(self) -> None:
        planner = builders.planner(builders.endpoint_index(SEARCH, ENGINE))
        self.submit(planner, 2 * FULL_CALL_PIECES, deadline_s=60)
        call_times = [
            now for now in range(15) if fail_calls(planner, now + 0.5)
        ]
        pauses = [
            later - earlier
            for earlier, later in zip(call_times, call_times[1:])
        ]
        assert pauses[0] < pauses[1]
        assert max(pauses) <= 3

    def test_rejected_calls_are_sent_again_within_the_budget(self) -> None:
        limits = serving.PlanLimits(retry_reserve=5 * FULL_CALL_PIECES)
        planner = builders.planner(
            builders.endpoint_index(SEARCH, ENGINE), limits
        )
        self.submit(planner, FULL_CALL_PIECES, deadline_s=12)
        rejected = [
            fail_calls(planner, step * 1.1, ran=False) for step in range(6)
        ]
        assert set(rejected) == {FULL_CALL_PIECES}
        assert not builders.refusals(planner.step(6.6))
        assert fail_calls(planner, 7.7, ran=False) == 0

    def test_repeated_rejection_blocks_endpoint_longer(self) -> None:
        limits = serving.PlanLimits(retry_reserve=99)
        planner = builders.planner(
            builders.endpoint_index(SEARCH, ENGINE), limits
        )
        self.submit(planner, FULL_CALL_PIECES, deadline_s=60)
        call_times = [
            step
            for step in range(100)
            if fail_calls(planner, step / 20, ran=False)
        ]
        pauses = [
            later - earlier
            for earlier, later in zip(call_times, call_times[1:])
        ]
        # In steps of 50 ms.
        assert pauses[0] < 4 < pauses[2]
        assert max(pauses) < 24

    def test_piece_of_a_stage_earns_no_retry_of_its_own(self) -> None:
        limits = serving.PlanLimits(retry_reserve=0, retry_calls=0)
        planner = builders.planner(
            builders.endpoint_index(SEARCH, ENGINE), limits
        )
        for number in range(9):
            plan_request = builders.plan_request(
                f'{number}', builders.stage(FULL_CALL_PIECES)
            )
            planner.submit(plan_request, number)
            (call,) = builders.calls(planner.step(number))
            planner.call_ended(
                call.number, builders.results_of(call), number + 0.2
            )
            assert builders.runs(planner.step(number + 0.2))
        self.submit(planner, 1, deadline_s=60)
        assert fail_calls(planner, 9) == 1
        assert fail_calls(planner, 11) == 0

    def test_full_calls_of_dead_endpoints_are_retried(self) -> None:
        limits = serving.PlanLimits(retry_reserve=1)
        planner = builders.planner(
            builders.endpoint_index(SEARCH, OTHER, ENGINE), limits
        )
        self.submit(planner, 2 * FULL_CALL_PIECES)
        assert fail_calls(planner, 0) == 2 * FULL_CALL_PIECES
        assert fail_calls(planner, 1.1) == 2 * FULL_CALL_PIECES
        assert not builders.refusals(planner.step(1.1))

    def test_pieces_wait_for_retry_budget(self) -> None:
        limits = serving.PlanLimits(retry_reserve=1, retry_calls=0)
        planner = builders.planner(
            builders.endpoint_index(SEARCH, ENGINE), limits
        )
        self.submit(planner, FULL_CALL_PIECES, deadline_s=30)
        assert fail_calls(planner, 0) == FULL_CALL_PIECES
        assert fail_calls(planner, 1.1) == 1
        (later,) = builders.calls(planner.step(12))
        assert len(later.pieces) == 1

    def test_request_without_retry_budget_is_refused_near_deadline(
        self,
    ) -> None:
        limits = serving.PlanLimits(retry_reserve=0, retry_calls=0)
        planner = builders.planner(
            builders.endpoint_index(SEARCH, ENGINE), limits
        )
        self.submit(planner, 1)
        fail_calls(planner, 0)
        assert not builders.refusals(planner.step(1))
        assert builders.refusals(planner.step(7.9))


class TestRetriesThatComeTooLate:
    """A piece was rejected, and the retry budget refills after the deadline."""

    @pytest.mark.known_red
    def test_request_is_refused_at_once(self) -> None:
        limits = serving.PlanLimits(retry_reserve=0, retry_calls=0)
        planner = builders.planner(
            builders.endpoint_index(SEARCH, ENGINE), limits
        )
        plan_request = builders.plan_request(
            'late', builders.stage(1), target_s=2, deadline_s=8
        )
        planner.submit(plan_request, 0)
        assert fail_calls(planner, 0, ran=False) == 1
        (refusal,) = builders.refusals(planner.step(0.1))
        assert refusal.retry_after_s
