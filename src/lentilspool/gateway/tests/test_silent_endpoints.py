"""Tests of endpoints that are silent for a while and then go on.

A request must not lose its answer because its endpoint was silent.
"""

from typing import Any

import pytest

from lentilspool import settings
from lentilspool.gateway.tests import builders

SEND = settings.SendSettings(silent_s=0.2, attempt_share=0.1)
SILENCE_S = 0.8
ALL_EVENTS = b''.join(
    builders.event(number) for number in range(1, builders.EVENTS + 1)
)


def resumable(**changes: Any) -> dict[str, Any]:
    return builders.route(
        'draft',
        'streaming',
        builders.ENGINE,
        **{'resumable': True, 'attempts': 2, **changes},
    )


class TestSilentStream:
    @pytest.mark.parametrize('silent_before', [0, 1, 3])
    @pytest.mark.parametrize(
        ('attempts', 'engines'),
        [(1, 2), (2, 1)],
        ids=['attempts-used-up', 'no-other-engine'],
    )
    def test_stream_goes_on_if_nothing_can_replace_its_endpoint(
        self, silent_before: int, attempts: int, engines: int
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            work = builders.streaming({silent_before: SILENCE_S})
            endpoints = [
                builders.Endpoint(f'e{number}', builders.ENGINE, work)
                for number in range(engines)
            ]
            await gateway.start(endpoints, [resumable(attempts=attempts)])
            received = await gateway.request('/draft/')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)
            assert sum(len(one.received) for one in endpoints) == 1

        builders.run(scenario, SEND)

    def test_stream_goes_on_if_the_retry_budget_is_empty(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            work = builders.streaming({2: SILENCE_S})
            endpoints = [
                builders.Endpoint(f'e{number}', builders.ENGINE, work)
                for number in range(2)
            ]
            await gateway.start(endpoints, [resumable()])
            budget = gateway.budgets.for_service(builders.ENGINE)
            while budget.try_spend(0):
                """Spend all retries."""
            received = await gateway.request('/draft/')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)
            assert sum(len(one.received) for one in endpoints) == 1

        builders.run(scenario, SEND)

    def test_stream_goes_on_while_its_replacement_is_planned(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            stages = [{'service': builders.STAGE, 'bytes': 100}]
            calls = iter((0.0, SILENCE_S * 2))
            endpoints = [
                *(
                    builders.Endpoint(
                        f'e{number}',
                        builders.ENGINE,
                        builders.streaming({2: SILENCE_S}),
                    )
                    for number in range(2)
                ),
                builders.Endpoint(
                    's', builders.STAGE, builders.staging_each(calls)
                ),
            ]
            await gateway.start(endpoints, [resumable(stages=stages)])
            received = await gateway.request('/draft/', '1')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)
            assert [len(one.received) for one in endpoints[:2]] in (
                [1, 0],
                [0, 1],
            )

        builders.run(scenario, SEND)

    def test_stream_moves_from_an_endpoint_that_stays_silent(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            pauses = iter(({2: builders.DEADLINE_S * 2}, {}))
            endpoints = [
                builders.Endpoint(
                    f'e{number}',
                    builders.ENGINE,
                    builders.streaming_each(pauses),
                )
                for number in range(2)
            ]
            await gateway.start(endpoints, [resumable()])
            received = await gateway.request('/draft/')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)
            assert [len(one.received) for one in endpoints] == [1, 1]

        builders.run(scenario, SEND)


class TestSilentPlainRequest:
    @pytest.mark.parametrize(
        ('endpoints', 'has_budget'),
        [(1, True), (2, False)],
        ids=['no-other-endpoint', 'no-retry-budget'],
    )
    def test_safe_request_waits_if_nothing_can_replace_its_endpoint(
        self, endpoints: int, has_budget: bool
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            stand_ins = [
                builders.Endpoint(
                    f'e{number}', 'desk', builders.answering(SILENCE_S)
                )
                for number in range(endpoints)
            ]
            route = builders.route('look', 'safe', 'desk', attempts=2)
            await gateway.start(stand_ins, [route])
            budget = gateway.budgets.for_service('desk')
            while not has_budget and budget.try_spend(0):
                """Spend all retries."""
            received = await gateway.request('/look/')
            assert received == builders.Received(200, b'ok', whole=True)

        builders.run(scenario, SEND)

    def test_safe_request_moves_from_an_endpoint_that_stays_silent(
        self,
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            pauses = iter((builders.DEADLINE_S * 2, 0))
            endpoints = [
                builders.Endpoint(
                    f'e{number}', 'desk', builders.answering_each(pauses)
                )
                for number in range(2)
            ]
            route = builders.route('look', 'safe', 'desk', attempts=2)
            await gateway.start(endpoints, [route])
            received = await gateway.request('/look/')
            assert received == builders.Received(200, b'ok', whole=True)
            assert [len(one.received) for one in endpoints] == [1, 1]

        builders.run(scenario, SEND)
