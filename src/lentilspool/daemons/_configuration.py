"""Replica of the configuration, synchronized with service and peers."""

import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from lentilspool import config, dialects, kernel, settings, wire
from lentilspool.daemons import _hosts

_MAX_SLEEP_S: Final = 0.25

Send = Callable[[str, wire.Message], Awaitable[None]]
Listener = Callable[[config.State], None]


class Configuration(kernel.BaseComponent):
    """Executes the actions that ``config.Synchronizer`` decides on.

    ``send`` sends a message to the process of a given name; the message may
    be lost. Listeners are called with each new state.
    """

    def __init__(
        self,
        local_member: config.Member,
        platform: settings.PlatformSettings,
        send: Send,
        nursery: trio.Nursery,
    ) -> None:
        self._platform = platform
        self._send = send
        self._nursery = nursery
        self._client = dialects.HttpClient(platform.configuration_url, 2)
        self._replica = config.LogReplica(config.registered_names())
        self._synchronizer = config.Synchronizer(
            local_member,
            self._replica,
            random.Random(local_member.process),
            trio.current_time(),
        )
        self._listeners: list[Listener] = []
        self._notified_digest = ''

    @property
    def state(self) -> config.State | None:
        """Current state, or None before the first was received."""
        return self._replica.state

    @property
    def document(self) -> config.Document | None:
        """Current document, or None before the first was received."""
        state = self._replica.state
        return state.document if state else None

    @property
    def version(self) -> int:
        """Number of the current version."""
        return self._replica.version

    @property
    def config_digest(self) -> wire.ConfigDigest:
        """Log position and digest of the replica, for heartbeats."""
        return wire.ConfigDigest(self._replica.number, self._replica.digest)

    @property
    def ready(self) -> bool:
        """Whether a state is held and was compared with those of peers."""
        return self._synchronizer.ready and self._replica.state is not None

    def add_listener(self, listener: Listener) -> None:
        """Add a function that is called with each new state."""
        self._listeners.append(listener)

    def update_hosts(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Update the processes with which to synchronize."""
        members = [config.Member(host.name, host.zone) for host in hosts]
        view = config.View(members)
        self._synchronizer.update_view(trio.current_time(), view)

    async def on_message(
        self,
        peer: str,
        message: wire.ConfigDigest | wire.ConfigPull | wire.ConfigPush,
    ) -> None:
        """Handle a message about the configuration from another process."""
        now = trio.current_time()
        actions = self._synchronizer.on_message(now, peer, _from_wire(message))
        await self._execute(actions)

    async def start(self) -> None:
        """Start synchronizing with the service and the peers."""
        self._nursery.start_soon(self._tick)

    async def stop(self) -> None:
        """Close connections to the configuration service."""
        await self._client.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {**self._replica.dump(), **self._synchronizer.dump()}

    async def _tick(self) -> None:
        while True:
            now = trio.current_time()
            await self._execute(self._synchronizer.tick(now))
            pause_s = self._synchronizer.due - trio.current_time()
            await trio.sleep(min(max(pause_s, 0), _MAX_SLEEP_S))

    async def _execute(self, actions: list[config.Action]) -> None:
        self._notify_listeners()
        for action in actions:
            if isinstance(action, config.Send):
                await self._send(action.peer, _to_wire(action.message))
            else:
                self._nursery.start_soon(self._call_service, action)

    async def _call_service(
        self, action: config.ReadService | config.WatchService
    ) -> None:
        if isinstance(action, config.ReadService):
            plain = await self._read(f'/v1/config?after={action.after}')
        else:
            query = f'after={action.after}&wait_s={action.wait_s}'
            plain = await self._read(f'/v1/config/watch?{query}', action.wait_s)
        now = trio.current_time()
        if plain is None:
            self._synchronizer.on_service_failure(now)
        elif isinstance(action, config.ReadService):
            await self._execute(
                self._synchronizer.on_read(now, _entries(plain))
            )
        else:
            has_entries = bool(_entries(plain))
            await self._execute(self._synchronizer.on_watch(now, has_entries))

    async def _read(self, path: str, wait_s: float = 0) -> Any | None:
        timeout_s = self._platform.read_timeout_s + wait_s
        return await self._client.get_json(path, timeout_s)

    def _notify_listeners(self) -> None:
        state = self._replica.state
        if state is None or state.digest == self._notified_digest:
            return
        self._notified_digest = state.digest
        for listener in self._listeners:
            listener(state)


def _entries(plain: Any) -> tuple[bytes, ...]:
    """Return the encoded log entries of a service reply, the base first."""
    base = plain.get('base')
    listed = [*([base] if base else ()), *plain.get('entries', ())]
    return tuple(config.encode_entry(entry) for entry in listed)


def _to_wire(message: config.Message) -> wire.Message:
    match message:
        case config.ConfigDigest(number=number, digest=digest):
            return wire.ConfigDigest(number, digest)
        case config.ConfigPull(number=number, digest=digest):
            return wire.ConfigPull(number, digest)
        case config.ConfigPush(number=number, digest=digest, entries=entries):
            return wire.ConfigPush(number, digest, entries)


def _from_wire(
    message: wire.ConfigDigest | wire.ConfigPull | wire.ConfigPush,
) -> config.Message:
    match message:
        case wire.ConfigDigest(number=number, digest=digest):
            return config.ConfigDigest(number, digest)
        case wire.ConfigPull(number=number, digest=digest):
            return config.ConfigPull(number, digest)
        case wire.ConfigPush(number=number, digest=digest, entries=entries):
            return config.ConfigPush(number, digest, entries)
