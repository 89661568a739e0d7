"""HTTP client of ``lentilspool-config`` for the platform and processes."""

import dataclasses
import json
from typing import Any, Final

import httpcore

from lentilspool import config

_TIMEOUT_S: Final = 5.0
_OK: Final = 200
_CALL_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    json.JSONDecodeError,
)


class CallError(Exception):
    """A call failed; the message has the URL and the reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """URLs of the platform's services."""

    service_url: str
    """URL of the configuration service."""

    hosts_url: str
    """URL of the host list."""


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """A process in the host list."""

    name: str
    """Name of the process."""

    dump_url: str
    """URL of the state dump of the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Configuration that one process has in force."""

    version: int
    """Version of the configuration."""

    digest: str
    """Digest of the configuration."""


class ConfigClient:
    """Client of the configuration service, the host list and processes.

    Methods that make a call raise ``CallError``. Close the client after use.
    """

    def __init__(self, platform: Platform) -> None:
        self._service = platform.service_url.rstrip('/')
        self._hosts = platform.hosts_url.rstrip('/')
        self._pool = httpcore.ConnectionPool(max_keepalive_connections=1)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def log(self) -> tuple[bytes, ...]:
        """Return the published log entries, starting with the base."""
        plain = self._call('GET', f'{self._service}/v1/config?after=0')
        entries = [plain.get('base'), *plain.get('entries', ())]
        return tuple(config.encode_entry(entry) for entry in entries if entry)

    def publish(self, raw: bytes) -> None:
        """Publish an entry at the configuration service."""
        self._call('POST', f'{self._service}/v1/config/publish', raw)

    def processes(self) -> tuple[Process, ...]:
        """Return the processes of the host list that are not leaving."""
        plain = self._call('GET', f'{self._hosts}/v1/hosts')
        return tuple(
            Process(host['name'], _dump_url(host))
            for host in plain['hosts']
            if host.get('state') != 'leaving'
        )

    def config_in_force(self, process: Process) -> ConfigInForce:
        """Return the configuration that a process has in force."""
        plain = self._call('GET', process.dump_url).get('configuration', {})
        return ConfigInForce(plain.get('version', 0), plain.get('digest', ''))

    def _call(self, method: str, url: str, body: bytes = b'') -> Any:
        timeouts = dict.fromkeys(('connect', 'read', 'write'), _TIMEOUT_S)
        try:
            response = self._pool.request(
                method, url, content=body, extensions={'timeout': timeouts}
            )
        except _CALL_ERRORS as error:
            reason = str(error) or type(error).__name__
            raise CallError(f'{url}: {reason}') from None
        if response.status != _OK:
            raise CallError(f'{url}: status {response.status}')
        try:
            return json.loads(response.content)
        except ValueError:
            raise CallError(f'{url}: the answer is not JSON') from None


def _dump_url(host: dict[str, Any]) -> str:
    return f'http://{host["address"]}:{host["dump_port"]}/dump'
