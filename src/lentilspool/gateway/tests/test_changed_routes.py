"""Tests of requests whose route changes before they are sent.

A request must go to a service of the route in force, or be refused at once;
it must not be planned for the old service until its time is up.
"""

from typing import Any

import pytest
import trio

from lentilspool import serving
from lentilspool.gateway import _http_server
from lentilspool.gateway.tests import builders, works
from lentilspool.platform.tests import stand_ins

CHANGE_AFTER_S = 0.1
STAGE_S = 0.3
STAGES = [{'service': builders.STAGE, 'bytes': 100}]


def draft(service: str) -> dict[str, Any]:
    return builders.route(
        'draft', 'streaming', service, stages=STAGES, target_latency_ms=1000
    )


async def reject(
    request: _http_server.Request, reply: _http_server.Reply
) -> None:
    """Answer after a pause that the request has not run."""
    await trio.sleep(STAGE_S)
    sent = stand_ins.decode_endpoint_request(request.headers)
    await reply.write_complete(
        503, stand_ins.rejection_headers(sent.request_id), b''
    )


class TestRouteChangesWhilePlanned:
    def test_request_goes_to_the_new_service(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            old = builders.Endpoint('old', builders.ENGINE, works.streaming({}))
            new = builders.Endpoint(
                'new', builders.OTHER_ENGINE, works.streaming({})
            )
            stage = builders.Endpoint(
                's', builders.STAGE, works.staging(STAGE_S)
            )
            await gateway.start([old, new, stage], [draft(builders.ENGINE)])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    gateway.configure_after,
                    CHANGE_AFTER_S,
                    [draft(builders.OTHER_ENGINE)],
                )
                received = await gateway.request('/draft/', '1')
            assert received.status == 200
            assert received.whole
            assert [len(one.received) for one in (old, new)] == [0, 1]
            assert stage.stage_calls <= 2

        builders.run(scenario)

    def test_request_of_a_removed_route_is_refused_at_once(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            engine = builders.Endpoint(
                'e', builders.ENGINE, works.streaming({})
            )
            stage = builders.Endpoint(
                's', builders.STAGE, works.staging(STAGE_S)
            )
            await gateway.start([engine, stage], [draft(builders.ENGINE)])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(gateway.configure_after, CHANGE_AFTER_S, [])
                received = await gateway.request('/draft/', '1')
            assert received.status == 503
            assert stage.stage_calls == 1
            assert not engine.received

        builders.run(scenario)


class TestRouteChangesBetweenAttempts:
    @pytest.mark.parametrize('kind', ['safe', 'unsafe'])
    def test_next_attempt_goes_to_the_new_service(self, kind: str) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            old = [
                builders.Endpoint(f'old{number}', 'desk', reject)
                for number in range(2)
            ]
            new = builders.Endpoint('new', 'desk-2', works.answering(0))
            before = builders.route('look', kind, 'desk', attempts=3)
            after = builders.route('look', kind, 'desk-2', attempts=3)
            await gateway.start([*old, new], [before])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    gateway.configure_after, CHANGE_AFTER_S, [after]
                )
                received = await gateway.request('/look/')
            assert received == builders.Received(200, b'ok', whole=True)
            assert sum(len(one.received) for one in old) == 1

        builders.run(scenario)

    @pytest.mark.parametrize('kind', ['safe', 'unsafe'])
    def test_request_of_a_removed_route_has_no_other_attempt(
        self, kind: str
    ) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            endpoints = [
                builders.Endpoint(f'e{number}', 'desk', reject)
                for number in range(2)
            ]
            before = builders.route('look', kind, 'desk', attempts=3)
            await gateway.start(endpoints, [before])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(gateway.configure_after, CHANGE_AFTER_S, [])
                received = await gateway.request('/look/')
            assert received.status == 503
            assert sum(len(one.received) for one in endpoints) == 1

        builders.run(scenario)


class TestChangedKind:
    def test_request_is_refused_if_its_route_is_of_another_kind(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            endpoints = [
                builders.Endpoint(f'e{number}', 'desk', reject)
                for number in range(2)
            ]
            before = builders.route('look', 'safe', 'desk', attempts=3)
            after = {**before, 'kind': serving.RouteKind.unsafe.value}
            await gateway.start(endpoints, [before])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    gateway.configure_after, CHANGE_AFTER_S, [after]
                )
                received = await gateway.request('/look/')
            assert received.status == 503
            assert sum(len(one.received) for one in endpoints) == 1

        builders.run(scenario)
