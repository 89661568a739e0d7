"""Tests of endpoints that are silent for a while and then go on.

A request must not lose its answer because its endpoint was silent.
"""

from typing import Any

import pytest
import trio

from lentilspool import settings
from lentilspool.gateway import _clock
from lentilspool.gateway.tests import builders, works

SEND = settings.SendSettings(silent_s=0.2, attempt_share=0.1)
SILENCE_S = 0.8
ALL_EVENTS = b''.join(
    works.event(number) for number in range(1, works.EVENTS + 1)
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
            work = works.streaming({silent_before: SILENCE_S})
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
            work = works.streaming({2: SILENCE_S})
            endpoints = [
                builders.Endpoint(f'e{number}', builders.ENGINE, work)
                for number in range(2)
            ]
            await gateway.start(endpoints, [resumable()])
            budget = gateway.budgets.for_service(builders.ENGINE)
            while budget.try_spend(_clock.now()):
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
                        works.streaming({2: SILENCE_S}),
                    )
                    for number in range(2)
                ),
                builders.Endpoint(
                    's', builders.STAGE, works.staging_each(calls)
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
                    works.in_turn(map(works.streaming, pauses)),
                )
                for number in range(2)
            ]
            await gateway.start(endpoints, [resumable()])
            received = await gateway.request('/draft/')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)
            assert [len(one.received) for one in endpoints] == [1, 1]

        builders.run(scenario, SEND)

    @pytest.mark.parametrize('moved', [False, True])
    def test_stream_goes_on_if_its_route_changes_meanwhile(
        self, moved: bool
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            work = works.streaming({2: SILENCE_S})
            endpoints = [
                builders.Endpoint(f'e{number}', service, work)
                for number, service in enumerate(
                    (builders.ENGINE, builders.ENGINE, builders.OTHER_ENGINE)
                )
            ]
            moved_route = {**resumable(), 'service': builders.OTHER_ENGINE}
            await gateway.start(endpoints, [resumable()])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    gateway.configure_after, 0.1, [moved_route] if moved else []
                )
                received = await gateway.request('/draft/')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)
            assert sum(len(one.received) for one in endpoints) == 1

        builders.run(scenario, SEND)

    def test_stream_returns_if_its_replacement_rejects_it(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            in_turn = iter(
                (
                    works.streaming({2: builders.DEADLINE_S}),
                    works.rejecting,
                    works.streaming({}),
                )
            )
            endpoints = [
                builders.Endpoint(
                    f'e{number}', builders.ENGINE, works.in_turn(in_turn)
                )
                for number in range(2)
            ]
            await gateway.start(endpoints, [resumable(attempts=3)])
            received = await gateway.request('/draft/')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)

        builders.run(scenario, SEND)

    def test_stream_goes_on_later_than_its_first_event_was_due(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            in_turn = iter((works.breaking_after(2, 0.8), works.streaming({})))
            endpoints = [
                builders.Endpoint(
                    f'e{number}', builders.ENGINE, works.in_turn(in_turn)
                )
                for number in range(2)
            ]
            await gateway.start(endpoints, [resumable()])
            received = await gateway.request('/draft/')
            assert received == builders.Received(200, ALL_EVENTS, whole=True)

        builders.run(scenario, settings.SendSettings(silent_s=10))


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
                    f'e{number}', 'desk', works.answering(SILENCE_S)
                )
                for number in range(endpoints)
            ]
            route = builders.route('look', 'safe', 'desk', attempts=2)
            await gateway.start(stand_ins, [route])
            budget = gateway.budgets.for_service('desk')
            while not has_budget and budget.try_spend(_clock.now()):
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
                    f'e{number}',
                    'desk',
                    works.in_turn(map(works.answering, pauses)),
                )
                for number in range(2)
            ]
            route = builders.route('look', 'safe', 'desk', attempts=2)
            await gateway.start(endpoints, [route])
            received = await gateway.request('/look/')
            assert received == builders.Received(200, b'ok', whole=True)
            assert [len(one.received) for one in endpoints] == [1, 1]

        builders.run(scenario, SEND)

    def test_silent_requests_do_not_share_one_retry(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            endpoints = [
                builders.Endpoint(
                    f'e{number}', 'desk', works.answering(SILENCE_S)
                )
                for number in range(2)
            ]
            route = builders.route('look', 'safe', 'desk', attempts=2)
            await gateway.start(endpoints, [route])
            budget = gateway.budgets.for_service('desk')
            while budget.balance >= 2:
                budget.try_spend(_clock.now())
            statuses: list[int] = []

            async def request() -> None:
                received = await gateway.request('/look/')
                statuses.append(received.status)

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(request)
            assert len(statuses) == 20
            assert set(statuses) == {200}

        builders.run(scenario, SEND)

    def test_request_is_not_left_near_its_deadline(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            endpoints = [
                builders.Endpoint(
                    f'e{number}',
                    'desk',
                    works.answering(builders.DEADLINE_S * 0.9),
                )
                for number in range(2)
            ]
            route = builders.route('look', 'safe', 'desk', attempts=2)
            await gateway.start(endpoints[:1], [route])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    gateway.list_after, builders.DEADLINE_S * 0.8, endpoints[1]
                )
                received = await gateway.request('/look/')
            assert received == builders.Received(200, b'ok', whole=True)

        builders.run(scenario, SEND)
