"""Tests of the decision whether to retry after an attempt."""

import pytest

from lentilspool import serving


def route(
    kind: serving.RouteKind, attempts: int, *, resumable: bool = False
) -> serving.Route:
    return serving.Route(
        'r', 'h', '/', kind, (), 1, 1, attempts, resumable=resumable
    )


UNSAFE = route(serving.RouteKind.unsafe, 3)
SAFE = route(serving.RouteKind.safe, 2)
STREAM = route(serving.RouteKind.streaming, 2)
RESUMABLE = route(serving.RouteKind.streaming, 2, resumable=True)
END = serving.AttemptOutcome
STEP = serving.AttemptStep


class TestNextStep:
    @pytest.mark.parametrize(
        ('on', 'end', 'status', 'expected'),
        [
            (UNSAFE, END.answered, 200, STEP.deliver),
            (UNSAFE, END.answered, 500, STEP.deliver),
            (UNSAFE, END.unknown, 0, STEP.fail),
            (UNSAFE, END.rejected, 503, STEP.again),
            (UNSAFE, END.unsent, 0, STEP.again),
            (SAFE, END.answered, 500, STEP.again),
            (SAFE, END.answered, 404, STEP.deliver),
            (SAFE, END.unknown, 0, STEP.again),
            (STREAM, END.unknown, 0, STEP.fail),
            (RESUMABLE, END.unknown, 0, STEP.again),
        ],
    )
    def test_step_after_first_attempt(
        self,
        on: serving.Route,
        end: serving.AttemptOutcome,
        status: int,
        expected: serving.AttemptStep,
    ) -> None:
        tally = serving.AttemptCounts().add(end)
        step = serving.next_step(on, tally, end, status, may_retry=True)
        assert step is expected

    @pytest.mark.parametrize('on', [UNSAFE, SAFE, STREAM, RESUMABLE])
    def test_request_that_may_have_run_is_not_refused(
        self, on: serving.Route
    ) -> None:
        tally = serving.AttemptCounts().add(END.unknown)
        for end in (END.rejected, END.unsent):
            tally = tally.add(end)
            for may_retry in (True, False):
                step = serving.next_step(
                    on, tally, end, 503, may_retry=may_retry
                )
                assert step is not STEP.refuse

    def test_attempts_of_route_are_not_exceeded(self) -> None:
        tally = serving.AttemptCounts().add(END.rejected).add(END.rejected)
        step = serving.next_step(SAFE, tally, END.rejected, 503, may_retry=True)
        assert step is STEP.refuse

    def test_budget_stops_retries(self) -> None:
        tally = serving.AttemptCounts().add(END.rejected)
        step = serving.next_step(
            SAFE, tally, END.rejected, 503, may_retry=False
        )
        assert step is STEP.refuse

    def test_unreachable_endpoints_lead_to_refusal(self) -> None:
        tally = serving.AttemptCounts()
        for _ in range(4):
            tally = tally.add(END.unsent)
        step = serving.next_step(SAFE, tally, END.unsent, 0, may_retry=True)
        assert step is STEP.refuse
