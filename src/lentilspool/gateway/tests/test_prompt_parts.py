"""Tests of the prompt parts that an endpoint's end is attributed to."""

from collections.abc import Iterable
from typing import cast

import pytest
import trio

from lentilspool import serving
from lentilspool.gateway import _endpoint_checks, _http_server, _in_flight
from lentilspool.gateway.tests import application, builders, works

SHARED = frozenset(('aa',))
SUSPECT = _endpoint_checks.PromptParts(suspects=SHARED)
PROVED = _endpoint_checks.PromptParts(proved=SHARED)


def parts_of_broken_stream(
    events: int, pause_s: float
) -> list[_endpoint_checks.PromptParts]:
    """Break a stream after some events; return the parts that are checked."""
    checked: list[_endpoint_checks.PromptParts] = []

    def record(
        endpoint: serving.Endpoint,
        contents: Iterable[str],
        parts: _endpoint_checks.PromptParts = SUSPECT,
    ) -> None:
        checked.append(parts)

    async def scenario(gateway: builders.Gateway) -> None:
        gateway.context.checks.check = record  # type: ignore[method-assign]
        engine = builders.Endpoint(
            'e', builders.ENGINE, works.breaking_after(events, pause_s)
        )
        route = builders.route('draft', 'streaming', builders.ENGINE)
        await gateway.start([engine], [route])
        await gateway.request('/draft/', '1')

    builders.run(scenario)
    return checked


class TestPartsAtEndpoint:
    @pytest.mark.parametrize(
        ('events', 'pause_s', 'parts'),
        [(0, 0.01, SUSPECT), (3, 0.01, SUSPECT), (4, 0.12, PROVED)],
        ids=['no event', 'first events', 'older events'],
    )
    def test_older_events_prove_the_parts_of_a_broken_stream(
        self, events: int, pause_s: float, parts: _endpoint_checks.PromptParts
    ) -> None:
        assert parts_of_broken_stream(events, pause_s) == [parts]


# Longer than the time within which deaths count once.
APART_S = 0.3
DEATHS = 3
NOT_RUN = _in_flight.UNAVAILABLE
MAY_HAVE_RUN = _in_flight.BAD_GATEWAY


async def condemn(gateway: builders.Gateway, first_pause_s: float = 0) -> None:
    """Let endpoints end under the part that all requests share."""
    await trio.sleep(first_pause_s)
    for number in range(DEATHS):
        if number:
            await trio.sleep(APART_S)
        gateway.context.quarantine.record_prompt_death(
            builders.ENGINE, f'x{number}/1', SHARED, ()
        )


class TestRefusals:
    def test_part_that_has_completed_needs_more_deaths(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            engine = builders.Endpoint(
                'e', builders.ENGINE, works.streaming({})
            )
            route = builders.route('draft', 'streaming', builders.ENGINE)
            await gateway.start([engine], [route])
            before = await gateway.request('/draft/', '1')
            assert before.status == 200
            await condemn(gateway)
            assert (await gateway.request('/draft/', '1')).status == 200

        builders.run(scenario)

    def test_request_with_an_unknown_part_is_refused_on_arrival(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            engine = builders.Endpoint(
                'e', builders.ENGINE, works.streaming({})
            )
            route = builders.route('draft', 'streaming', builders.ENGINE)
            await gateway.start([engine], [route])
            await condemn(gateway)
            received = await gateway.request('/draft/', '1')
            assert (received.status, received.whole) == (NOT_RUN, True)
            assert not engine.received

        builders.run(scenario)

    def test_request_that_waits_for_its_stage_is_refused(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            engine = builders.Endpoint(
                'e', builders.ENGINE, works.streaming({})
            )
            stage = builders.Endpoint('s', builders.STAGE, works.staging(1.0))
            stages = [{'service': builders.STAGE, 'bytes': 100}]
            route = builders.route(
                'draft',
                'streaming',
                builders.ENGINE,
                stages=stages,
                target_latency_ms=2000,
            )
            await gateway.start([engine, stage], [route])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(condemn, gateway, 0.2)
                received = await gateway.request('/draft/', '1')
            assert (received.status, received.whole) == (NOT_RUN, True)
            assert stage.stage_calls == 1
            assert not engine.received

        builders.run(scenario)

    def test_broken_request_has_no_attempt_after_the_refusal(self) -> None:
        async def scenario(gateway: builders.Gateway) -> None:
            async def end(
                request: _http_server.Request, reply: _http_server.Reply
            ) -> None:
                await condemn(gateway)
                reply.abort()

            engines = [
                builders.Endpoint(name, builders.ENGINE, end) for name in 'ab'
            ]
            route = builders.route(
                'draft',
                'streaming',
                builders.ENGINE,
                resumable=True,
                attempts=3,
                target_latency_ms=2000,
                max_gap_ms=2000,
            )
            await gateway.start(engines, [route])
            received = await gateway.request('/draft/', '1')
            assert (received.status, received.whole) == (MAY_HAVE_RUN, True)
            assert sum(len(engine.received) for engine in engines) == 1

        builders.run(scenario)


class UnframedServer:
    """Answers with neither a length nor chunks, and closes."""

    def __init__(self, body: bytes) -> None:
        self.port = 0
        self._body = body

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._answer, listeners)

    async def _answer(self, stream: trio.SocketStream) -> None:
        await application.read_request(stream)
        head = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: 1\r\n\r\n'
        await stream.send_all(head + self._body)
        await stream.aclose()


class TestClearing:
    @pytest.mark.parametrize(
        ('body', 'cleared'),
        [(b'', False), (works.event(1), True)],
        ids=['no event', 'an event'],
    )
    def test_stream_without_an_event_clears_nothing(
        self, body: bytes, cleared: bool
    ) -> None:
        """An engine that ends may close its connections as a whole answer."""

        async def scenario(gateway: builders.Gateway) -> None:
            engine = builders.Endpoint(
                'e', builders.ENGINE, works.streaming({})
            )
            server = UnframedServer(body)
            engine.server = cast(_http_server.Server, server)
            route = builders.route('draft', 'streaming', builders.ENGINE)
            await gateway.start([engine], [route])
            await gateway.request('/draft/', '1')
            await condemn(gateway)
            refusal_s = gateway.context.quarantine.prompt_refusal_s(
                tuple(SHARED)
            )
            assert (refusal_s is None) is cleared

        builders.run(scenario)
