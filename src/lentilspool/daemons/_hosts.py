"""The platform's list of hosts, read at a fixed interval."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final, Literal

import msgspec
import trio

from lentilspool import dialects, kernel, settings

# Until a read has returned at least one host.
_FIRST_READ_INTERVAL_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One process in the host list."""

    name: str
    """Name of the process."""

    address: str
    """IP address at which it listens."""

    port: int
    """Port for connections of entries and sidecars."""

    zone: str
    """Availability zone."""

    role: Literal['entry', 'sidecar']
    """Role of the process: entry or sidecar."""

    pool: str = ''
    """Pool that a sidecar serves; empty for an entry."""

    state: Literal['live', 'leaving'] = 'live'
    """State of the process: live or leaving."""

    dump_port: int = 0
    """HTTP port for state dumps."""

    @property
    def target(self) -> tuple[str, int]:
        """Address and port for connections of entries and sidecars."""
        return self.address, self.port


Listener = Callable[[tuple[Host, ...]], None]


class HostList(kernel.BaseComponent):
    """Reads the host list at an interval and passes it to listeners.

    The list lags behind the actual processes, so it is only a hint.
    """

    def __init__(
        self, platform: settings.PlatformSettings, nursery: trio.Nursery
    ) -> None:
        self._platform = platform
        self._nursery = nursery
        self._client = dialects.HttpClient(platform.host_list_url, 2)
        self._listeners: list[Listener] = []
        self._hosts: tuple[Host, ...] = ()
        self._failures = 0
        self._last_reply: Any = None

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Hosts of the last successful read."""
        return self._hosts

    def add_listener(self, listener: Listener) -> None:
        """Add a function that is called with each new host list."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Start reading the host list."""
        self._nursery.start_soon(self._read_periodically)

    async def stop(self) -> None:
        """Close connections to the host list service."""
        await self._client.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'hosts': len(self._hosts), 'failed_reads': self._failures}

    async def _read_periodically(self) -> None:
        while True:
            plain = await self._client.get_json(
                '/v1/hosts', self._platform.read_timeout_s
            )
            self._update_hosts(plain)
            interval_s = self._platform.host_list_interval_s
            await trio.sleep(
                interval_s if self._hosts else _FIRST_READ_INTERVAL_S
            )

    def _update_hosts(self, plain: Any) -> None:
        if plain is not None and plain is self._last_reply:
            return
        try:
            hosts = msgspec.convert(plain['hosts'], tuple[Host, ...])
        except (msgspec.ValidationError, KeyError, TypeError):
            self._failures += 1
            return
        self._hosts = hosts
        self._last_reply = plain
        for listener in self._listeners:
            listener(hosts)
