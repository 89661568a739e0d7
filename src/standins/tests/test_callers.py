"""Tests of limits towards callers, over loopback sockets."""

import json

import httpcore
import trio

from standins import _fleet
from standins.tests import test_path

PATH = '/v1/pipelines/day-plan/requests'
SLOW = {'slow': 50}
REQUEST = b'POST /v1/pipelines/day-plan/requests HTTP/1.1\r\nhost: x\r\n'


async def _exchange(fleet: _fleet.Fleet, payload: bytes) -> bytes:
    """Send raw bytes and return all that comes back until the end."""
    stream = await trio.open_tcp_stream('127.0.0.1', _port(fleet))
    async with stream:
        await stream.send_all(payload)
        chunks = [chunk async for chunk in stream]
    return b''.join(chunks)


def _port(fleet: _fleet.Fleet) -> int:
    return fleet.entries['entry-0'][1]


async def _wait_for_cancel(fleet: _fleet.Fleet) -> None:
    engines = [
        place.app for place in fleet.places.values() if place.pool == 'model'
    ]
    while not any(engine.cancelled for engine in engines):
        await trio.sleep(0.02)


async def _slow_plan(fleet: _fleet.Fleet) -> _fleet.Reply:
    return await fleet.request('day-plan', 'brides', {'text': 'a b c d e'})


def _slow_down(fleet: _fleet.Fleet) -> None:
    for place in fleet.places.values():
        if place.pool == 'model':
            place.faults.apply(SLOW)


async def _wait_running(fleet: _fleet.Fleet) -> None:
    while not any(
        place.app.running
        for place in fleet.places.values()
        if place.pool == 'model'
    ):
        await trio.sleep(0.02)


class TestRefusals:
    def test_header_bomb(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            bomb = (REQUEST, b'x-bomb: ', b'a' * 200_000, b'\r\n\r\n')
            received = await _exchange(fleet, b''.join(bomb))
            assert b' 4' in received.split(b'\r\n')[0]
            assert (await _slow_plan(fleet)).status == 200

        test_path.run(scenario)

    def test_body_too_large(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            fields = {'text': 'a' * 2_000_000}
            reply = await fleet.request('day-plan', 'brides', fields)
            assert reply.status == 413

        test_path.run(scenario)

    def test_slow_headers_end_the_connection(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            with trio.fail_after(15):
                await _exchange(fleet, REQUEST)

        test_path.run(scenario)

    def test_slow_body_is_refused(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            head = b''.join((REQUEST, b'content-length: 100\r\n\r\n{'))
            with trio.fail_after(15):
                received = await _exchange(fleet, head)
            assert b' 408 ' in received.split(b'\r\n')[0]

        test_path.run(scenario)


class TestProtocols:
    def test_http_2(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            body = {'team': 'brides', 'input': {'text': 'a'}}
            async with httpcore.AsyncConnectionPool(
                http1=False, http2=True
            ) as pool:
                response = await pool.request(
                    'POST',
                    f'http://127.0.0.1:{_port(fleet)}{PATH}',
                    content=json.dumps(body).encode(),
                )
            assert response.status == 200
            assert response.extensions['http_version'] == b'HTTP/2'

        test_path.run(scenario)


class TestCancel:
    def test_a_caller_that_leaves_cancels_the_engine(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            _slow_down(fleet)
            with trio.move_on_after(0.5):
                await _slow_plan(fleet)
            await _wait_for_cancel(fleet)

        test_path.run(scenario)

    def test_delete_cancels_the_engine(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            _slow_down(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_slow_plan, fleet)
                await _wait_running(fleet)
                dump = (await fleet.get('entry-0', '/dump')).plain
                request_id = dump['front']['open'][0]
                await fleet.delete('entry-0', f'/v1/requests/{request_id}')
                await _wait_for_cancel(fleet)
                nursery.cancel_scope.cancel()

        test_path.run(scenario)
