"""A gateway over stand-in endpoints, in the event loop of a test."""

import dataclasses
import json
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, cast

import h11
import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import (
    _content_quarantine,
    _endpoint_checks,
    _http_server,
    _in_flight,
    _ingress,
    _local_planning,
    _metrics,
    _plain_placement,
    _planning,
    _pool,
    _published,
    _statements,
    _stop,
    _stream_records,
)
from lentilspool.gateway.tests import works
from lentilspool.platform.tests import stand_ins

HOST: Final = 'example'
ENGINE: Final = 'model'
OTHER_ENGINE: Final = 'model-2'
STAGE: Final = 'prepare'
DEADLINE_S: Final = 4.0
_RECEIVE_BYTES: Final = 65536


class NoLinks:
    """Connections of a gateway that knows no other one."""

    def find(self, address: str) -> None:
        """Return that there is no connection."""


class Endpoint:
    """An endpoint whose work a test defines."""

    def __init__(self, name: str, service: str, work: works.Work) -> None:
        self.name = name
        self.service = service
        self.received: list[stand_ins.EndpointRequest] = []
        self.stage_calls = 0
        self._work = work
        self.server = _http_server.Server(
            '127.0.0.1:0', self._serve, serving.CallLimits
        )

    def entry(self, revision: int) -> _published.StoredItem:
        """Return its entry in the store."""
        address = f'127.0.0.1:{self.server.port}'
        payload = stand_ins.encode_entry(
            self.service, address, 8, 1, ready=True
        )
        key = f'{platform.ENDPOINT_PREFIX}{self.name}'
        return _published.StoredItem(key, payload, revision)

    async def _serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        self.received.append(stand_ins.decode_endpoint_request(request.headers))
        self.stage_calls += stand_ins.is_stage_run(request.target)
        await self._work(request, reply)


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration document."""
    plain = {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeout_ms': DEADLINE_S * 1000,
        'target_latency_ms': 100,
    }
    return {**plain, **changes}


def document(version: int, routes: Sequence[dict[str, Any]]) -> bytes:
    """Return a configuration document with the services of the stand-ins."""
    pieces = {
        'slots': 1,
        'queue': 2,
        'batch': 4,
        # Longer than the calls of the tests, so that none is overdue.
        'call_ms': 1000,
        'item_ms': 1,
        'headroom_mb': 1,
        'handle_s': 4,
    }
    engine = {'slots': 8, 'kv_capacity': 100_000}
    services: list[dict[str, Any]] = [
        {'name': ENGINE, 'engine': engine},
        {'name': OTHER_ENGINE, 'engine': engine},
        {'name': STAGE, 'pieces': pieces},
        {'name': 'desk'},
        {'name': 'desk-2'},
    ]
    return json.dumps(
        {'version': version, 'routes': list(routes), 'services': services}
    ).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller received."""

    status: int
    """Status of the answer; 0 if there was none."""

    body: bytes
    """Body as far as it arrived."""

    whole: bool
    """Whether the answer ended as complete."""


class Gateway:
    """The parts of a gateway that serve callers, without store and peers.

    Enter ``run`` with the endpoints that are listed, then ``configure``.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        send: settings.SendSettings,
        stop: settings.StopSettings,
    ) -> None:
        self.published = _published.PublishedState()
        self._nursery = nursery
        own = settings.GatewaySettings(
            name='g',
            zone='a',
            callers='127.0.0.1:0',
            readiness='127.0.0.1:0',
            peers='127.0.0.1:0',
            metrics='127.0.0.1:0',
            known_peers=(),
            store=settings.StoreSettings('127.0.0.1:9'),
            send=send,
            stop=stop,
        )
        metrics = _metrics.GatewayMetrics()
        quarantine = _content_quarantine.ContentQuarantine(own.quarantine)
        statements = _statements.StatementRecorder(
            serving.EndpointStatements('g'), self.published, metrics
        )
        pool = _pool.ConnectionPool(send, statements.record)
        checks = _endpoint_checks.EndpointChecks(
            send, metrics, quarantine, nursery
        )
        local = _local_planning.LocalPlanning(
            self.published,
            pool,
            checks,
            serving.PlanLimits(),
            nursery,
            statements.known,
        )
        self.budgets = _in_flight.RetryBudgets(send, lambda: 1)
        planning = _planning.Planning(
            local,
            cast(_planning.Links, NoLinks()),
            serving.Roster(serving.Member('g', '127.0.0.1', 9, 'a', 1, 1), 8),
        )
        loads = serving.EndpointLoads('a', random.Random(1))
        self.context = _in_flight.GatewayContext(
            own,
            self.published,
            pool,
            planning,
            loads,
            self.budgets,
            quarantine,
            checks,
            metrics,
            _stop.PlannedStop(own.stop),
            serving.RepeatCallerDetector(),
            _stream_records.StreamRecords(self.published),
            serving.RunTimes(),
            statements.known,
            _plain_placement.PlainPlacement(
                self.published, loads, statements.known, planning
            ),
        )
        self._local = local
        ingress = _ingress.Ingress(self.context)
        self._server = _http_server.Server(
            own.callers, ingress.serve, ingress.limits
        )

    async def start(
        self, endpoints: Sequence[Endpoint], routes: Sequence[dict[str, Any]]
    ) -> None:
        """Start serving callers with these endpoints and routes."""
        for endpoint in endpoints:
            await self._nursery.start(endpoint.server.serve)
        self.configure(1, routes)
        self.published.apply_listing(
            [one.entry(revision) for revision, one in enumerate(endpoints, 1)],
            (0, len(endpoints)),
            0,
        )
        await self._nursery.start(self._server.serve)
        self._nursery.start_soon(self._local.serve)

    def configure(self, version: int, routes: Sequence[dict[str, Any]]) -> None:
        """Put a version of the configuration in force."""
        item = _published.StoredItem(
            platform.CONFIGURATION_KEY, document(version, routes), version
        )
        self.published.apply_configuration(item, 'store')

    async def configure_after(
        self, seconds: float, routes: Sequence[dict[str, Any]]
    ) -> None:
        """Put the next version of the configuration in force after a time."""
        await trio.sleep(seconds)
        self.configure(self.published.version + 1, routes)

    async def list_after(self, seconds: float, endpoint: Endpoint) -> None:
        """Start and list another endpoint after a time."""
        await trio.sleep(seconds)
        await self._nursery.start(endpoint.server.serve)
        revision = self.published.revision + 1
        self.published.apply_changes(
            [endpoint.entry(revision)], (0, revision), 0
        )

    async def request(self, path: str, pieces: str = '') -> Received:
        """Send one request as a caller does; return what it received."""
        headers = [
            (b'host', HOST.encode()),
            (b'content-length', b'0'),
            *stand_ins.caller_headers('r1', 'k', DEADLINE_S, pieces),
        ]
        client = h11.Connection(h11.CLIENT)
        stream = await trio.open_tcp_stream('127.0.0.1', self._server.port)
        async with stream:
            head = h11.Request(method='POST', target=path, headers=headers)
            begin = client.send(head) or b''
            await stream.send_all(
                begin + (client.send(h11.EndOfMessage()) or b'')
            )
            return await _receive(client, stream)


async def _receive(
    client: h11.Connection, stream: trio.SocketStream
) -> Received:
    status = 0
    body = b''
    while True:
        try:
            found = client.next_event()
        except h11.RemoteProtocolError:
            return Received(status, body, whole=False)
        if found is h11.NEED_DATA:
            client.receive_data(await stream.receive_some(_RECEIVE_BYTES))
        elif isinstance(found, h11.Response):
            status = found.status_code
        elif isinstance(found, h11.Data):
            body += bytes(found.data)
        else:
            whole = isinstance(found, h11.EndOfMessage)
            return Received(status, body, whole=whole)


def run(
    scenario: Callable[[Gateway], Awaitable[None]],
    send: settings.SendSettings | None = None,
    stop: settings.StopSettings | None = None,
) -> None:
    """Run a scenario with a gateway.

    ``send`` and ``stop`` are its settings for endpoints and planned stops.
    """

    async def main() -> None:
        with trio.fail_after(DEADLINE_S * 3):
            async with trio.open_nursery() as nursery:
                await scenario(
                    Gateway(
                        nursery,
                        send or settings.SendSettings(),
                        stop or settings.StopSettings(),
                    )
                )
                nursery.cancel_scope.cancel()

    trio.run(main)
