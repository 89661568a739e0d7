"""The store that gateways read: configuration and endpoints."""

import json
from typing import Final

import trio

from lentilspool import platform, serving
from lentilspool.gateway import _http_server
from lentilspool.platform.tests import stand_ins
from soak import _endpoints, _history, _recorder

_LIMITS: Final = serving.CallLimits(65536, 65536, 5, 60)
_WATCH_S: Final = 5.0
_MOST_COPIES: Final = 200
_DESK: Final = 'desk'
HOST: Final = 'soak.example'
TEAMS: Final = ('brides', 'clerks')
# Route of streams that last for seconds.
LONG_ROUTE: Final = 'story'
_TIMEOUT_S: Final = 4.0
_LONG_TIMEOUT_S: Final = 12.0
_GAP_S: Final = 0.5
_LONG_GAP_S: Final = 3.5
_MS_PER_S: Final = 1000


def key_of(team: str) -> str:
    """Return the key of a team."""
    return f'key-of-{team}'


def attempts_of(*, repeatable: bool) -> int:
    """Return the endpoints to which one attempt of a route may be sent."""
    return 2 if repeatable else 1


def timeout_s_of(route: str) -> float:
    """Return the timeout of a route in seconds."""
    return _LONG_TIMEOUT_S if route == LONG_ROUTE else _TIMEOUT_S


def document(version: int, extra_routes: int, moving_to: str = _DESK) -> bytes:
    """Return a configuration with some routes that nobody asks for."""
    chain = [
        {'service': 'prepare', 'bytes': 1000},
        {'service': 'prepare', 'after': [0], 'bytes': 1000},
    ]
    routes = [
        _route('once', 'unsafe', _DESK),
        _route('again', 'safe', _DESK, attempts=attempts_of(repeatable=True)),
        _route(
            'moving', 'safe', moving_to, attempts=attempts_of(repeatable=True)
        ),
        _route('draft', 'streaming', 'model', stages=chain),
        _route(
            LONG_ROUTE,
            'streaming',
            'model',
            stages=chain,
            max_gap_ms=int(_LONG_GAP_S * _MS_PER_S),
        ),
        _route(
            'resume',
            'streaming',
            'model',
            stages=chain,
            resumable=True,
            attempts=attempts_of(repeatable=True),
        ),
        *(
            _route(f'new{index}', 'safe', _DESK)
            for index in range(extra_routes)
        ),
    ]
    pieces = {
        'slots': 1,
        'queue': 2,
        'batch': 6,
        'call_ms': 30,
        'item_ms': 1,
        'headroom_mb': 1,
        'handle_s': 4,
    }
    services = [
        {'name': _DESK, 'max_connections': 100},
        {'name': 'counter', 'max_connections': 100},
        {'name': 'prepare', 'max_connections': 100, 'pieces': pieces},
        {
            'name': 'model',
            'max_connections': 100,
            'engine': {'slots': 32, 'kv_capacity': 100_000},
        },
    ]
    teams = [{'name': team, 'api_keys': [key_of(team)]} for team in TEAMS]
    content = {
        'version': version,
        'routes': routes,
        'services': services,
        'tenants': teams,
    }
    return json.dumps(content).encode()


def _route(
    name: str, kind: str, service: str, **changes: object
) -> dict[str, object]:
    plain: dict[str, object] = {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeout_ms': int(timeout_s_of(name) * _MS_PER_S),
        'target_latency_ms': 1000,
        'max_gap_ms': int(_GAP_S * _MS_PER_S),
    }
    return {**plain, **changes}


Items = dict[str, tuple[bytes | None, int]]


class Store:
    """Answers reads and watches; ``publish`` and ``list_`` change it.

    ``restore`` brings it back from an older copy, in a new era.
    """

    def __init__(self) -> None:
        self._items: Items = {}
        self._revision = 0
        # Time until which each copy was current, its revision and its items.
        self._copies: list[tuple[float, int, Items]] = []
        self.era = 1
        self._away = False
        self._changed = trio.Event()
        self.server = _http_server.Server(
            '127.0.0.1:0', self._serve, lambda: _LIMITS
        )
        self.version = 0
        self._document = b''
        self._moving_to = _DESK
        self.recorder = _recorder.Recorder()

    def publish(self, extra_routes: int) -> None:
        """Put the next configuration in force."""
        self.version += 1
        self._document = document(self.version, extra_routes, self._moving_to)
        version = self.version
        routes = json.loads(self._document)['routes']
        services = {one['prefix'].strip('/'): one['service'] for one in routes}
        now = self.recorder.now()
        sent = _history.Configured(now, version, services=services, teams=TEAMS)
        self.recorder.note(sent)
        self.publish_again()
        self.recorder.note(_history.Configured(now, version, taken=True))

    def move_route(self, extra_routes: int) -> None:
        """Move a route to the other service that can serve it."""
        self._moving_to = 'counter' if self._moving_to == _DESK else _DESK
        self.publish(extra_routes)

    def publish_again(self) -> None:
        """Write the latest configuration, as the operator does after a loss."""
        self._put(platform.CONFIGURATION_KEY, self._document)

    def restore(self, age_s: float) -> None:
        """Come back as it was some seconds ago."""
        now = trio.current_time()
        copies = [one for one in self._copies if one[0] <= now - age_s]
        if copies:
            latest = copies[-1]
            self._revision = latest[1]
            self._items = latest[2]
            self._copies = copies
        self.era += 1

    async def leave(self, seconds: float) -> None:
        """Be away for a time: waiting watches are cut, calls are refused."""
        self._note('restore')
        self._away = True
        self._changed.set()
        self._changed = trio.Event()
        await trio.sleep(seconds)
        self._away = False

    def settle(self) -> None:
        """Note that its writers have written again what was lost."""
        self._note('restore', over=True)

    def list_endpoint(self, endpoint: _endpoints.Endpoint) -> None:
        """Publish what an endpoint says of itself."""
        entry = stand_ins.encode_entry(
            endpoint.service,
            endpoint.address,
            8,
            endpoint.born_ms,
            ready=endpoint.ready,
            sequence=endpoint.next_sequence(),
        )
        self._put(
            f'{platform.ENDPOINT_PREFIX}{endpoint.name}',
            stand_ins.with_version(entry, endpoint.version),
        )
        self._note_entry(endpoint, ready=endpoint.ready)

    def drop_endpoint(self, endpoint: _endpoints.Endpoint) -> None:
        """Remove the entry of an endpoint that is gone."""
        self._put(f'{platform.ENDPOINT_PREFIX}{endpoint.name}', None)
        self._note_entry(endpoint, ready=False)

    def _note(self, how: str, *, over: bool = False) -> None:
        now = self.recorder.now()
        self.recorder.note(
            _history.Disrupted(now, _history.STORE, how, over=over)
        )

    def _note_entry(
        self, endpoint: _endpoints.Endpoint, *, ready: bool
    ) -> None:
        listed = _history.Listed(
            self.recorder.now(),
            endpoint.name,
            endpoint.service,
            endpoint.version,
            ready,
        )
        self.recorder.note(listed)

    def _put(self, key: str, payload: bytes | None) -> None:
        self._copies.append(
            (trio.current_time(), self._revision, dict(self._items))
        )
        self._copies = self._copies[-_MOST_COPIES:]
        self._revision += 1
        self._items[key] = (payload, self._revision)
        self._changed.set()
        self._changed = trio.Event()

    async def _serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        watches, prefix, after = stand_ins.parse_store_query(request.target)
        era = stand_ins.era_header(self.era)
        if self._away or after > self._revision:
            status = 503 if self._away else 410
            headers = [era, (b'content-length', b'0')]
            await reply.write_complete(status, headers, b'')
            return
        if watches:
            watch_s = stand_ins.parse_watch_s(request.target, _WATCH_S)
            with trio.move_on_after(watch_s):
                while not (self._away or self._since(prefix, after)):
                    await self._changed.wait()
            if self._away:
                reply.abort()
                return
            body = stand_ins.encode_page(
                'events', self._since(prefix, after), self._revision
            )
        else:
            held = [
                one for one in self._since(prefix, 0) if 'tombstone' not in one
            ]
            body = stand_ins.encode_page('items', held, self._revision)
        length = str(len(body)).encode()
        headers = [era, (b'content-length', length)]
        await reply.write_complete(200, headers, body)

    def _since(self, prefix: str, after: int) -> list[dict[str, object]]:
        found = [
            (revision, key, payload)
            for key, (payload, revision) in self._items.items()
            if key.startswith(prefix) and revision > after
        ]
        return [
            stand_ins.encode_item(key, payload, revision)
            for revision, key, payload in sorted(found, key=lambda one: one[0])
        ]
