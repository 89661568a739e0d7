"""Gateways, a store and engines of several versions, over loopback."""

import contextlib
import json
import random
import re
import socket
from typing import Final, Protocol

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import _gateway, _http_server
from lentilspool.platform.tests import stand_ins

EVENTS: Final = 8
TARGET_S: Final = 1.0
_MS_PER_S: Final = 1000
_FIRST_PORT: Final = 20_000
_LAST_PORT: Final = 32_000
_EVENT_S: Final = 0.02
_WATCH_S: Final = 5.0
_POLL_S: Final = 0.01
_SLOTS: Final = 32
_OK: Final = 200
_MISDIRECTED: Final = 421
_LIMITS: Final = serving.CallLimits(header_timeout_s=5, idle_timeout_s=60)
_BEAT_S: Final = 0.02
_SILENT_S: Final = 0.3
_EVENT: Final = re.compile(rb'id: (\d+)\ndata: (\S+)')


def _document(timeout_ms: int) -> bytes:
    route = {
        'name': 'talk',
        'hostname': 'talk.example',
        'prefix': '/',
        'kind': 'streaming',
        'service': 'model',
        'timeout_ms': timeout_ms,
        'target_latency_ms': int(TARGET_S * _MS_PER_S),
        'max_gap_ms': 500,
        'attempts': 3,
        'resumable': True,
        'public': True,
    }
    engine = {'slots': _SLOTS, 'kv_capacity': 100_000}
    services = [{'name': 'model', 'max_connections': 100, 'engine': engine}]
    document = {'version': 1, 'routes': [route], 'services': services}
    return json.dumps(document).encode()


class Listed(Protocol):
    """An endpoint that the store lists."""

    @property
    def name(self) -> str:
        """Name of the endpoint."""

    @property
    def entry(self) -> bytes:
        """Entry that it publishes."""

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""


class Store:
    """A store with a configuration and the entries of engines."""

    def __init__(self, document: bytes) -> None:
        self._items: dict[str, tuple[bytes | None, int]] = {
            platform.CONFIGURATION_KEY: (document, 1)
        }
        self._revision = 1
        self._changed = trio.Event()
        self.server = _http_server.Server(
            '127.0.0.1:0', self._serve, lambda: _LIMITS
        )

    def put(self, name: str, entry: bytes | None) -> None:
        """Write the entry of an engine; None removes it."""
        self._revision += 1
        key = f'{platform.ENDPOINT_PREFIX}{name}'
        self._items[key] = (entry, self._revision)
        self._changed.set()
        self._changed = trio.Event()

    async def _serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        watches, prefix, after = stand_ins.parse_store_query(request.target)
        if watches:
            with trio.move_on_after(_WATCH_S):
                while not self._since(prefix, after):
                    await self._changed.wait()
        items = self._since(prefix, after if watches else 0)
        kind = 'events' if watches else 'items'
        body = stand_ins.encode_page(kind, items, self._revision)
        length = str(len(body)).encode()
        await reply.write_complete(_OK, [(b'content-length', length)], body)

    def _since(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            stand_ins.encode_item(key, payload, revision)
            for key, (payload, revision) in self._items.items()
            if key.startswith(prefix) and revision > after
        ]


class Engine:
    """One start of an engine, whose events name its version."""

    def __init__(self, name: str, version: str, born_ms: int = 1) -> None:
        self.name = name
        self.version = version
        self.born_ms = born_ms
        # Number of the event after which it crashes; 0 for never.
        self.last_event = 0
        # Request and last event of each run.
        self.runs: list[tuple[str, int]] = []
        self._server = _http_server.Server(
            '127.0.0.1:0', self._serve, lambda: _LIMITS
        )
        self.scope = trio.CancelScope()

    @property
    def entry(self) -> bytes:
        """Entry that it publishes."""
        entry = stand_ins.encode_entry(
            'model',
            f'127.0.0.1:{self._server.port}',
            _SLOTS,
            self.born_ms,
            ready=True,
        )
        return stand_ins.with_version(entry, self.version)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled, which is a crash."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._server.serve)
                task_status.started()

    async def _serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        sent = stand_ins.decode_endpoint_request(request.headers)
        if sent.endpoint != self.name:
            headers = stand_ins.rejection_headers(sent.request_id)
            await reply.write_complete(_MISDIRECTED, headers, b'')
            return
        self.runs.append((sent.request_id, sent.last_event))
        headers = stand_ins.answer_headers(sent.request_id, self.name)
        await reply.write_head(_OK, headers, b'')
        for number in range(sent.last_event + 1, EVENTS + 1):
            await trio.sleep(_EVENT_S)
            event = f'id: {number}\ndata: {self.version}\n\n'
            await reply.write_chunk(event.encode())
            if number == self.last_event:
                await trio.sleep(_EVENT_S)
                self.scope.cancel()
                await trio.sleep_forever()
        await reply.write_end()


class Node:
    """A gateway that can be killed."""

    def __init__(self, name: str, store_port: int, *seeds: str) -> None:
        self.name = name
        self.peers = f'127.0.0.1:{free_port()}'
        self.callers = free_port()
        self._settings = settings.GatewaySettings(
            name=name,
            zone='a',
            callers=f'127.0.0.1:{self.callers}',
            readiness='127.0.0.1:0',
            peers=self.peers,
            metrics='127.0.0.1:0',
            known_peers=seeds,
            store=settings.StoreSettings(
                f'127.0.0.1:{store_port}', gather_s=_POLL_S
            ),
            link=settings.PeerSettings(beat_s=_BEAT_S, silent_s=_SILENT_S),
        )
        self.scope = trio.CancelScope()
        self.gateway: _gateway.Gateway | None = None

    @property
    def state(self) -> dict[str, object]:
        """State of the gateway."""
        assert self.gateway
        return self.gateway.dump()

    async def serve(self) -> None:
        """Run the gateway until cancelled, as a kill does."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.gateway = _gateway.Gateway(self._settings, nursery)
                await self.gateway.run()


class Fleet:
    """Gateways over a store, with the engines that it lists."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timeout_ms: int = 5000,
        document: bytes = b'',
    ) -> None:
        self._nursery = nursery
        self._store = Store(document or _document(timeout_ms))
        self._engines: list[Listed] = []
        self.nodes: list[Node] = []

    async def start(self, gateways: int, *engines: Listed) -> None:
        """Start the store, engines and gateways; wait until they are linked."""
        await self._nursery.start(self._store.server.serve)
        for engine in engines:
            await self.add(engine)
        for index in range(gateways):
            await self.add_node(f'g{index}')

    async def add(self, engine: Listed) -> None:
        """Start an engine and list it."""
        await self._nursery.start(engine.serve)
        self.list_(engine)

    async def add_node(self, name: str) -> Node:
        """Start a gateway and wait until all gateways know all others."""
        seeds = tuple(one.peers for one in self.nodes)
        node = Node(name, self._store.server.port, *seeds)
        self.nodes.append(node)
        self._nursery.start_soon(node.serve)
        await self.until_listed()
        return node

    def kill(self, node: Node) -> None:
        """End a gateway without notice."""
        node.scope.cancel()
        self.nodes.remove(node)

    def list_(self, engine: Listed) -> None:
        """Write the entry of an engine."""
        self._store.put(engine.name, engine.entry)
        self._engines.append(engine)

    def delist(self, engine: Listed) -> None:
        """Remove the entry of an engine."""
        self._store.put(engine.name, None)
        self._engines.remove(engine)

    async def until_listed(self) -> None:
        """Wait until all gateways know the engines that are listed."""
        with trio.fail_after(5):
            while not self._settled():
                await trio.sleep(_POLL_S)

    def _settled(self) -> bool:
        return all(self._is_settled(node) for node in self.nodes)

    def _is_settled(self, node: Node) -> bool:
        others = len(self.nodes) - 1
        return node.gateway is not None and (
            node.state['version'],
            node.state['members'],
            node.state['links'],
            node.state['endpoints'],
        ) == (1, others, others, len(self._engines))


class Caller:
    """Reads one stream, until its end or a number of events."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.received = b''
        self.broken = False

    @property
    def status(self) -> int:
        """Status of the answer."""
        return int(self.received.split(b' ', 2)[1])

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and version of each event."""
        return [
            (int(number), version.decode())
            for number, version in _EVENT.findall(self.received)
        ]

    @property
    def versions(self) -> set[str]:
        """Versions that wrote the events."""
        return {version for _, version in self.events}

    @property
    def complete(self) -> bool:
        """Whether the answer ended as complete."""
        return self.received.endswith(b'\r\n0\r\n\r\n')

    async def read(
        self,
        node: Node,
        *,
        stop_after: int = EVENTS,
        resumes: str = '',
        last_event: int | None = None,
    ) -> None:
        """Send the request and read; past ``stop_after`` events, leave."""
        lines = [
            'GET / HTTP/1.1',
            'Host: talk.example',
            'Deadline-Ms: 4000',
            'Connection: close',
        ]
        if self.request_id:
            lines.append(f'Request-Id: {self.request_id}')
        if resumes:
            lines.append(f'Resumes: {resumes}')
        if last_event is not None:
            lines.append(f'Last-Event-Id: {last_event}')
        head = '\r\n'.join([*lines, '', '']).encode()
        with trio.fail_after(5):
            stream = await trio.open_tcp_stream('127.0.0.1', node.callers)
            async with stream:
                await stream.send_all(head)
                await self._receive(stream, stop_after)

    async def read_some(self, node: Node, events: int) -> None:
        """Begin a stream and leave it after some events."""
        await self.read(node, stop_after=events)

    async def take_up(self, node: Node, resumes: str, last_event: int) -> None:
        """Take up a stream."""
        await self.read(node, resumes=resumes, last_event=last_event)

    async def _receive(
        self, stream: trio.SocketStream, stop_after: int
    ) -> None:
        try:
            async for part in stream:
                self.received += part
                if stop_after <= min(len(self.events), EVENTS - 1):
                    return
        except trio.BrokenResourceError:
            self.broken = True


def free_port() -> int:
    """Return a port that nothing listens at.

    It lies below the ports that the system gives to outgoing connections.
    """
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)  # noqa: S311
        with contextlib.suppress(OSError):
            socket.create_server(('127.0.0.1', port)).close()
            return port
