"""Tests of what a fleet reports while its processes start."""

import collections
from typing import Any

import trio

from lentilspool import daemons, settings, wire
from standins import _fleet, _platform

_ADDRESS = '127.0.0.1'
_KEY = 'a key for tests only'
_DOCUMENT: dict[str, Any] = {
    'pipelines': {'lookup': {'stages': [{'name': 'encode', 'pool': 'p'}]}},
    'pools': {'p': {'kind': 'stage', 'max_in_flight': 3}},
    'teams': {'t': {}},
}
_LONG_LEASE_MS = 600_000
_LIMIT_S = 20
_REQUESTS = 5
_INTERVAL_S = 0.03
_MAX_FRAME_BYTES = 1 << 20


async def _serve(app: Any, nursery: trio.Nursery) -> str:
    server = daemons.HttpServer(app, _ADDRESS, 0, nursery)
    await server.start()
    return f'http://{_ADDRESS}:{server.port}'


async def _next_limit(stream: wire.MessageStream) -> int:
    while True:
        message = await stream.receive()
        assert not isinstance(message, wire.Closed)
        if isinstance(message, wire.Heartbeat):
            return message.limit


def _request_for_rare_heartbeats() -> wire.Heartbeat:
    return wire.Heartbeat(
        process='entry-0',
        incarnation=1,
        sequence=0,
        leaving=False,
        config=wire.ConfigDigest(0, ''),
        in_flight=0,
        queued=0,
        limit=0,
        lease_ms=_LONG_LEASE_MS,
        suspects=(),
        zone='z',
        pool='',
        address=_ADDRESS,
        port=1,
    )


class TestSidecarWithoutConfiguration:
    def test_reports_no_limit_until_its_first_configuration(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            service = _platform.ConfigurationService(_DOCUMENT)
            service.set_mode('down')
            port = _fleet.free_port()
            sidecar = daemons.sidecar(
                settings.SidecarSettings(
                    name='p-0',
                    zone='z',
                    address=_ADDRESS,
                    port=port,
                    http_port=0,
                    pool='p',
                    endpoint_url=f'http://{_ADDRESS}:1',
                    platform=settings.PlatformSettings(
                        await _serve(service, nursery),
                        await _serve(_platform.HostList(), nursery),
                    ),
                    keys=settings.KeySettings(_KEY),
                )
            )
            await nursery.start(sidecar.run)
            stream = wire.MessageStream(
                await trio.open_tcp_stream(_ADDRESS, port), _MAX_FRAME_BYTES
            )
            await stream.send(wire.Hello(wire.PROTOCOL_VERSION, 'e', 1, 'z'))
            await stream.send(_request_for_rare_heartbeats())
            assert await _next_limit(stream) == 0
            service.set_mode('normal')
            assert await _next_limit(stream) == 3

        _run(scenario)


class TestEntryThatIsReady:
    def test_answers_the_requests_that_follow_at_once(self) -> None:
        async def scenario(nursery: trio.Nursery) -> None:
            plan = _fleet.Plan(_DOCUMENT, {'p': 1})
            fleet = _fleet.Fleet(plan, nursery)
            await fleet.start()
            refused = await _refused_attempts(fleet)
            statuses: collections.Counter[int] = collections.Counter()

            async def send_request() -> None:
                reply = await fleet.request('lookup', 't', {'text': 'a'})
                statuses[reply.status] += 1

            async with trio.open_nursery() as requests:
                for _ in range(_REQUESTS):
                    requests.start_soon(send_request)
                    await trio.sleep(_INTERVAL_S)
            assert statuses == {200: _REQUESTS}
            assert await _refused_attempts(fleet) == refused
            await fleet.aclose()

        _run(scenario)


async def _refused_attempts(fleet: _fleet.Fleet) -> list[bytes]:
    """Return the counters of refused attempts, of all tests until now."""
    metrics = await fleet.get('entry-0', '/metrics')
    return [
        line
        for line in metrics.body.splitlines()
        if line.startswith(b'lentilspool_attempts') and b'"NotRun"' in line
    ]


def _run(scenario: Any) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            with trio.fail_after(_LIMIT_S):
                await scenario(nursery)
            nursery.cancel_scope.cancel()

    trio.run(main)
