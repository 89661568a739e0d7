"""Stand-ins of the platform: configuration service and host list."""

import json
from typing import Any, Final
from urllib import parse

import trio

from standins import _faults

_UNAVAILABLE: Final = 503
_NOT_MODIFIED: Final = 304


class ConfigurationService:
    """Publishes a base document and patches; counts every read.

    ``GET /v1/config?after=N`` returns the base and the entries after N;
    ``GET /v1/config/watch?after=N&wait_s=S`` waits for a newer one.
    ``POST /v1/config/publish`` is the operators' door. ``mode`` is one of
    normal, down and stale.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        self._base = {'number': 1, 'document': document}
        self._entries: list[dict[str, Any]] = []
        self._shown = 0
        self._mode = 'normal'
        self._changed = trio.Event()
        self.reads = 0

    def set_mode(self, mode: str) -> None:
        """Change the mode; stale keeps showing what is published now."""
        self._mode = mode
        if mode != 'stale':
            self._shown = len(self._entries)
            self._wake()

    def publish(self, entry: dict[str, Any]) -> None:
        """Append an entry to the published log."""
        self._entries.append(entry)
        if self._mode != 'stale':
            self._shown = len(self._entries)
            self._wake()

    def rewind(self) -> None:
        """Forget every entry but the base."""
        self._entries = []
        self._shown = 0
        self._wake()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call."""
        if scope['type'] == 'lifespan':
            await _faults.lifespan(receive, send)
            return
        path = scope['path']
        if path == '/v1/config/publish':
            self.publish(json.loads(await _faults.body_of(receive)))
            await _faults.reply(send, {'published': len(self._entries)})
            return
        if path == '/v1/config/mode':
            self.set_mode(json.loads(await _faults.body_of(receive))['mode'])
            await _faults.reply(send, {'mode': self._mode})
            return
        await self._read(scope, send)

    async def _read(self, scope: Any, send: Any) -> None:
        self.reads += 1
        if self._mode == 'down':
            await _faults.reply(send, {'error': 'down'}, _UNAVAILABLE)
            return
        query = dict(parse.parse_qsl(scope['query_string'].decode()))
        after = int(query.get('after', 0))
        if scope['path'].endswith('/watch'):
            await self._wait(after, float(query.get('wait_s', 1)))
        base = None if after else self._base
        shown = [
            entry
            for entry in self._entries[: self._shown]
            if entry['number'] > after
        ]
        await _faults.reply(send, {'base': base, 'entries': shown})

    async def _wait(self, after: int, wait_s: float) -> None:
        with trio.move_on_after(wait_s):
            while self._newest() <= after:
                await self._changed.wait()

    def _newest(self) -> int:
        shown = self._entries[: self._shown]
        return int(shown[-1]['number']) if shown else 1

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class HostList:
    """Lists hosts, ``lag_s`` seconds late."""

    def __init__(self, lag_s: float = 0) -> None:
        self._lag_s = lag_s
        self._versions: list[tuple[float, list[dict[str, Any]]]] = []

    def publish(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the list; readers see it after the lag."""
        self._versions.append((trio.current_time() + self._lag_s, hosts))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve ``GET /v1/hosts`` and ``POST /v1/hosts``."""
        if scope['type'] == 'lifespan':
            await _faults.lifespan(receive, send)
            return
        if scope['method'] == 'POST':
            self.publish(json.loads(await _faults.body_of(receive))['hosts'])
            await _faults.reply(send, {'ok': True})
            return
        now = trio.current_time()
        shown = [hosts for visible, hosts in self._versions if visible <= now]
        tag = f'"{len(shown)}"'.encode()
        if (b'if-none-match', tag) in scope['headers']:
            await _faults.reply(send, None, _NOT_MODIFIED)
            return
        hosts = shown[-1] if shown else []
        await _faults.reply(send, {'hosts': hosts}, tag=tag)


class Platform:
    """Configuration service and host list at one port."""

    def __init__(
        self,
        document: dict[str, Any],
        hosts: list[dict[str, Any]],
        lag_s: float = 0,
    ) -> None:
        self.configuration = ConfigurationService(document)
        self.hosts = HostList(lag_s)
        self.hosts.publish(hosts)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call."""
        if scope['type'] == 'http' and scope['path'].startswith('/v1/hosts'):
            await self.hosts(scope, receive, send)
        else:
            await self.configuration(scope, receive, send)
