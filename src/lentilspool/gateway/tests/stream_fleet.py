"""Gateways, a store and engines of several versions, over loopback."""

import contextlib
import dataclasses
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
_CLOSED_PORT: Final = 9
_FIRST_PORT: Final = 20_000
_LAST_PORT: Final = 32_000
_EVENT_S: Final = 0.02
_WATCH_S: Final = 5.0
_POLL_S: Final = 0.01
_LAG_S: Final = 60.0
_SLOTS: Final = 32
_OK: Final = 200
_GONE: Final = 410
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


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A write to the store."""

    key: str
    """Key."""

    payload: bytes | None
    """Content; None if the key was removed."""

    revision: int
    """Revision of the write."""

    created: int
    """Revision at which the key was created."""

    def encode(self) -> dict[str, object]:
        """Return it as the store does."""
        return stand_ins.encode_item(
            self.key, self.payload, self.revision, self.created
        )


class Store:
    """A store with a configuration and the entries of engines.

    It keeps the history since revision ``history_after``. While it is
    ``away`` it answers nothing.
    """

    def __init__(self, document: bytes) -> None:
        self._items: dict[str, Written] = {}
        self._history: list[Written] = []
        self._revision = 1
        self._changed = trio.Event()
        self.history_after = 0
        self.away = False
        self.server = _http_server.Server(
            '127.0.0.1:0', self._serve, lambda: _LIMITS
        )
        self.write(platform.CONFIGURATION_KEY, document)

    def put(self, name: str, entry: bytes | None) -> None:
        """Write the entry of an engine; None removes it."""
        self.write(f'{platform.ENDPOINT_PREFIX}{name}', entry)

    def write(self, key: str, payload: bytes | None) -> None:
        """Write an item; None removes it."""
        self._revision += 1
        before = self._items.pop(key, None)
        created = before.created if before else self._revision
        written = Written(key, payload, self._revision, created)
        if payload is not None:
            self._items[key] = written
        self._history.append(written)
        self._changed.set()
        self._changed = trio.Event()

    def forget_history(self) -> None:
        """Drop the history up to now."""
        self.history_after = self._revision

    async def _serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        watches, prefix, after = stand_ins.parse_store_query(request.target)
        if watches and after >= self.history_after:
            watch_s = stand_ins.parse_watch_s(request.target, _WATCH_S)
            with trio.move_on_after(watch_s):
                while not self._since(prefix, after):
                    await self._changed.wait()
        while self.away:
            await trio.sleep(_POLL_S)
        if watches and after < self.history_after:
            await reply.write_complete(_GONE, [(b'content-length', b'0')], b'')
            return
        found = self._since(prefix, after) if watches else self._held(prefix)
        kind = 'events' if watches else 'items'
        body = stand_ins.encode_page(
            kind, [one.encode() for one in found], self._revision
        )
        length = str(len(body)).encode()
        await reply.write_complete(_OK, [(b'content-length', length)], body)

    def _held(self, prefix: str) -> list[Written]:
        held = (self._items[key] for key in sorted(self._items))
        return [one for one in held if one.key.startswith(prefix)]

    def _since(self, prefix: str, after: int) -> list[Written]:
        return [
            one
            for one in self._history
            if one.key.startswith(prefix) and one.revision > after
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
        return self._entry_at(self._server.port)

    @property
    def closed_entry(self) -> bytes:
        """Entry with a port at which nothing listens."""
        return self._entry_at(_CLOSED_PORT)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled, which is a crash."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._server.serve)
                task_status.started()

    def _entry_at(self, port: int) -> bytes:
        entry = stand_ins.encode_entry(
            'model', f'127.0.0.1:{port}', _SLOTS, self.born_ms, ready=True
        )
        return stand_ins.with_version(entry, self.version)

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

    def __init__(
        self,
        name: str,
        store_port: int,
        *seeds: str,
        gather_s: float = _POLL_S,
    ) -> None:
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
                f'127.0.0.1:{store_port}', gather_s=gather_s
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
        self._document = document or _document(timeout_ms)
        self.store = Store(self._document)
        self._engines: list[Listed] = []
        self.nodes: list[Node] = []

    async def start(self, gateways: int, *engines: Listed) -> None:
        """Start the store, engines and gateways; wait until they are linked."""
        await self._nursery.start(self.store.server.serve)
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
        node = Node(name, self.store.server.port, *seeds)
        self.nodes.append(node)
        self._nursery.start_soon(node.serve)
        await self.until_listed()
        return node

    async def add_lagging_node(self, name: str) -> Node:
        """Start a gateway that knows no other, and reads one change only."""
        node = Node(name, self.store.server.port, gather_s=_LAG_S)
        self._nursery.start_soon(node.serve)
        with trio.fail_after(5):
            while node.gateway is None or not node.state['endpoints']:
                await trio.sleep(_POLL_S)
        return node

    def write_configuration(self) -> None:
        """Write the configuration once more."""
        self.store.write(platform.CONFIGURATION_KEY, self._document)

    def kill(self, node: Node) -> None:
        """End a gateway without notice."""
        node.scope.cancel()
        self.nodes.remove(node)

    def list_(self, engine: Listed) -> None:
        """Write the entry of an engine."""
        self.store.put(engine.name, engine.entry)
        self._engines.append(engine)

    def delist(self, engine: Listed) -> None:
        """Remove the entry of an engine."""
        self.store.put(engine.name, None)
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
