"""A gateway's entry with stand-in planning, and scripted endpoints."""

import contextlib
import json
import random
import re
from collections.abc import AsyncIterator, Mapping
from functools import partial
from types import MappingProxyType
from typing import Final, cast

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import (
    _content_quarantine,
    _endpoint_checks,
    _http_server,
    _in_flight,
    _ingress,
    _metrics,
    _plain_placement,
    _planning,
    _pool,
    _published,
    _sockets,
    _stop,
    _stream_records,
)

REQUEST_ID = re.compile(rb'(?i)request-id: *(\w+)')
LAST_EVENT = re.compile(rb'(?i)last-event-id: *(\d+)')
_SILENT_S: Final = 0.3
_MAX_ANSWER_BYTES: Final = 1_000_000
_RECEIVE_BYTES: Final = 65536
_TIMEOUT_MS: Final = 3000
SETTINGS: Final = settings.GatewaySettings(
    'g',
    'a',
    '127.0.0.1:0',
    '',
    '',
    '',
    (),
    settings.StoreSettings(''),
    send=settings.SendSettings(
        silent_s=_SILENT_S, max_answer_bytes=_MAX_ANSWER_BYTES
    ),
)
ROUTE_FIELDS: Final[Mapping[str, Mapping[str, object]]] = MappingProxyType(
    {
        'safe': {'kind': 'safe', 'attempts': 3},
        'unsafe': {'kind': 'unsafe'},
        'resumable': {'kind': 'streaming', 'resumable': True, 'attempts': 3},
        'stream': {'kind': 'streaming'},
    }
)
LAST_NUMBER = 3


class ScriptedEndpoint:
    """Sends ``begin`` and then ``repeated`` until its caller closes."""

    def __init__(self, begin: bytes, repeated: bytes, pause_s: float) -> None:
        self._begin = begin
        self._repeated = repeated
        self._pause_s = pause_s
        self.requests = 0
        self.closed = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        request = await read_request(stream)
        found = REQUEST_ID.search(request)
        if found is None:
            return
        self.requests += 1
        try:
            await stream.send_all(self._begin.replace(b'ID', found[1]))
            while True:
                await stream.send_all(self._repeated)
                await trio.sleep(self._pause_s)
        except trio.BrokenResourceError:
            self.closed += 1


async def read_request(stream: trio.SocketStream) -> bytes:
    """Return a request without a body; nothing at the end of the stream."""
    request = b''
    while not request.endswith(b'\r\n\r\n'):
        received = await stream.receive_some(_RECEIVE_BYTES)
        if not received:
            return b''
        request = b'%b%b' % (request, received)
    return request


def reset(stream: trio.SocketStream) -> None:
    """Reset a connection, with all of its bytes that were not sent."""
    _sockets.reset_on_close(stream, enabled=True)
    stream.socket.close()


async def serve_sound(stream: trio.SocketStream) -> None:
    """Answer each request with two bytes, or with the events due."""
    request = await read_request(stream)
    while request:
        found = REQUEST_ID.search(request)
        begin = b'HTTP/1.1 200 OK\r\nServer-Stamp: 1\r\nRequest-Id: %b\r\n' % (
            found[1] if found else b''
        )
        body = b'ok'
        if b'/stream' in request or b'/resumable' in request:
            last = LAST_EVENT.search(request)
            body = events(int(last[1]) if last else 0)
        await stream.send_all(
            b'%bContent-Length: %d\r\n\r\n%b' % (begin, len(body), body)
        )
        request = await read_request(stream)


def events(after: int) -> bytes:
    """Return the numbered events after one."""
    return b''.join(
        b'id: %d\ndata: x\n\n' % number
        for number in range(after + 1, LAST_NUMBER + 1)
    )


class StandInPlan:
    """Chooses the first endpoint that was not tried."""

    def __init__(
        self,
        published: _published.PublishedState,
        request: serving.PlanRequest,
    ) -> None:
        self._published = published
        self._request = request

    async def wait_for_decision(self) -> serving.RunAt:
        endpoints = self._published.endpoint_index.ready('both')
        chosen = min(
            (one.incarnation in self._request.avoid, one.name, one)
            for one in endpoints
        )[2]
        return serving.RunAt(self._request.key, chosen, None, '')

    def report_event(self, event: str) -> None:
        """Ignore the progress of the request."""


class StandInPlanning:
    """Plans requests at the published endpoints."""

    def __init__(self, published: _published.PublishedState) -> None:
        self._published = published

    def plan(self, request: serving.PlanRequest) -> StandInPlan:
        return StandInPlan(self._published, request)


class Application:
    """The entry of a gateway that knows two endpoints of service ``both``.

    The sound one alone is also the service ``sound``.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.published = _published.PublishedState()
        self.metrics = _metrics.GatewayMetrics()
        quarantine = _content_quarantine.ContentQuarantine(SETTINGS.quarantine)
        checks = _endpoint_checks.EndpointChecks(
            SETTINGS.send, self.metrics, quarantine, nursery
        )
        planning = cast(_planning.Planning, StandInPlanning(self.published))
        loads = serving.EndpointLoads('a', random.Random(0))
        statements = serving.EndpointStatements()
        context = _in_flight.GatewayContext(
            SETTINGS,
            self.published,
            _pool.ConnectionPool(SETTINGS.send),
            planning,
            loads,
            _in_flight.RetryBudgets(SETTINGS.send, lambda: 1),
            quarantine,
            checks,
            self.metrics,
            _stop.PlannedStop(SETTINGS.stop),
            serving.RepeatCallerDetector(),
            _stream_records.StreamRecords(self.published),
            serving.RunTimes(),
            statements,
            _plain_placement.PlainPlacement(
                self.published, loads, statements, planning
            ),
        )
        ingress = _ingress.Ingress(context)
        self.server = _http_server.Server(
            SETTINGS.callers, ingress.serve, ingress.limits
        )

    def publish(
        self, ports: dict[str, tuple[str, int]], timeout_ms: int
    ) -> None:
        """Publish routes and endpoints, by name with service and port."""
        document = {
            'version': 1,
            'routes': [
                {
                    'name': f'{name}-{service}',
                    'hostname': 'h',
                    'prefix': f'/{name}-{service}/',
                    'service': service,
                    'timeout_ms': timeout_ms,
                    'target_latency_ms': 300,
                    'public': True,
                    **fields,
                }
                for name, fields in ROUTE_FIELDS.items()
                for service in ('both', 'sound')
            ],
            'services': [{'name': 'both'}, {'name': 'sound'}],
        }
        self.published.apply_configuration(
            _stored(platform.CONFIGURATION_KEY, document), 'test'
        )
        entries = [
            _stored(
                f'{platform.ENDPOINT_PREFIX}{name}',
                {
                    'service': service,
                    'address': f'127.0.0.1:{port}',
                    'zone': 'a',
                    'version': 'v1',
                    'slots': 9,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'sequence': 1,
                    'born': 1,
                },
            )
            for name, (service, port) in ports.items()
        ]
        self.published.apply_listing(entries, (0, 2), 0)

    async def exchange(self, path: str) -> bytes:
        """Send a request; return what is received until the end."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.server.port)
        head = f'GET {path}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 9c\r\n'
        await stream.send_all(f'{head}Connection: close\r\n\r\n'.encode())
        received = bytearray()
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                async for part in stream:
                    received.extend(part)
        return bytes(received)


def _stored(key: str, content: object) -> _published.StoredItem:
    return _published.StoredItem(key, json.dumps(content).encode(), 1, 0)


@contextlib.asynccontextmanager
async def serving_application(
    endpoint: ScriptedEndpoint, timeout_ms: int = _TIMEOUT_MS
) -> AsyncIterator[Application]:
    """Yield a gateway with a scripted and a sound endpoint.

    ``timeout_ms`` is the time limit of its routes.
    """
    async with trio.open_nursery() as nursery:
        application = Application(nursery)
        ports = {}
        for name, service, serve in (
            ('a-scripted', 'both', endpoint.serve),
            ('b-sound', 'both', serve_sound),
            ('c-sound', 'sound', serve_sound),
        ):
            listeners = await nursery.start(
                partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
            )
            ports[name] = (service, listeners[0].socket.getsockname()[1])
        application.publish(ports, timeout_ms)
        await nursery.start(application.server.serve)
        yield application
        nursery.cancel_scope.cancel()
