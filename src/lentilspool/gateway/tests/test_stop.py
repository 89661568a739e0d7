"""Tests of requests that are open when the process has to end."""

import pytest
import trio

from lentilspool import settings
from lentilspool.gateway import _clock, _stop
from lentilspool.gateway.tests import builders, works

STOP = settings.StopSettings(lame_s=0.1, usual_s=0.1, grace_s=1.2, exit_s=0.2)


class TestOpenRequests:
    @pytest.mark.parametrize(
        ('request_after_s', 'stop_after_s'),
        [(0.0, 0.2), (0.2, 0.0)],
        ids=['sent-before', 'sent-after'],
    )
    def test_request_is_answered_before_the_process_ends(
        self, request_after_s: float, stop_after_s: float
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            endpoint = builders.Endpoint(
                'e', 'desk', works.answering(builders.DEADLINE_S)
            )
            await gateway.start(
                [endpoint], [builders.route('look', 'unsafe', 'desk')]
            )
            stop = gateway.context.stop

            async def end_process() -> None:
                await trio.sleep(stop_after_s)
                stop.begin()
                while not stop.time_is_up:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

            received = None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(end_process)
                await trio.sleep(request_after_s)
                received = await gateway.request('/look/')
                nursery.cancel_scope.cancel()
            assert received
            assert received.status == 504
            assert received.whole

        builders.run(scenario, stop=STOP)


class TestPlannedStop:
    def test_time_limit_of_a_request_stays_the_shorter_one(self) -> None:
        async def check() -> None:
            stop = _stop.PlannedStop(STOP)
            scope = trio.move_on_after(0.3)
            with scope, stop.shortening(scope):
                deadline = scope.deadline
                stop.begin()
                assert scope.deadline == deadline

        trio.run(check)

    def test_request_sent_3_s_after_the_signal_is_late(self) -> None:
        # Signals are handled after they are sent, requests as well.
        stop = _stop.PlannedStop(settings.StopSettings())
        stop.begin()
        assert stop.is_late(_clock.now() + 2.7)

    def test_requests_after_the_usual_time_are_late(self) -> None:
        stop = _stop.PlannedStop(STOP)
        assert not stop.is_late(_clock.now() + 1)
        stop.begin()
        now = _clock.now()
        assert not stop.is_late(now + 0.05)
        assert stop.is_late(now + 0.15)

    @pytest.mark.parametrize('grace_s', [0.4, 1.0])
    def test_short_grace_period_leaves_time_to_answer(
        self, grace_s: float
    ) -> None:
        stop = _stop.PlannedStop(settings.StopSettings(grace_s=grace_s))
        stop.begin()
        assert not stop.time_is_up
        assert stop.left_s < grace_s / 2
