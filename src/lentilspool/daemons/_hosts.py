"""The platform's list of hosts, read from time to time."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final, Literal

import msgspec
import trio

from lentilspool import dialects, kernel, settings

_FIRST_READS_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One process in the host list."""

    name: str
    """Name of the process."""

    address: str
    """IP address at which it listens."""

    port: int
    """Port for lentilspool's own processes."""

    zone: str
    """Availability zone."""

    role: Literal['entry', 'sidecar']
    """One of entry and sidecar."""

    pool: str = ''
    """Pool that a sidecar serves."""

    state: Literal['live', 'leaving'] = 'live'
    """One of live and leaving."""

    dump_port: int = 0
    """Port of state dumps (HTTP)."""

    @property
    def target(self) -> tuple[str, int]:
        """Address and port for lentilspool's own processes."""
        return self.address, self.port


Listener = Callable[[tuple[Host, ...]], None]


class HostList(kernel.BaseComponent):
    """Reads the host list and tells its listeners; a lagging hint only."""

    def __init__(
        self, platform: settings.PlatformSettings, nursery: trio.Nursery
    ) -> None:
        self._platform = platform
        self._nursery = nursery
        self._client = dialects.HttpClient(platform.host_list_url, 2)
        self._listeners: list[Listener] = []
        self._hosts: tuple[Host, ...] = ()
        self._failures = 0
        self._last: Any = None

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Hosts as last read."""
        return self._hosts

    def listen(self, listener: Listener) -> None:
        """Call a function with the hosts after each read."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Begin to read."""
        self._nursery.start_soon(self._follow)

    async def stop(self) -> None:
        """Close connections."""
        await self._client.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'hosts': len(self._hosts), 'failed_reads': self._failures}

    async def _follow(self) -> None:
        while True:
            plain = await self._client.get_json(
                '/v1/hosts', self._platform.read_timeout_s
            )
            self._adopt(plain)
            interval_s = self._platform.host_list_interval_s
            await trio.sleep(interval_s if self._hosts else _FIRST_READS_S)

    def _adopt(self, plain: Any) -> None:
        if plain is not None and plain is self._last:
            return
        try:
            hosts = msgspec.convert(plain['hosts'], tuple[Host, ...])
        except (msgspec.ValidationError, KeyError, TypeError):
            self._failures += 1
            return
        self._hosts = hosts
        self._last = plain
        for listener in self._listeners:
            listener(hosts)
