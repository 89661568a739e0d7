"""Real gateway processes, started with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import tomllib
from typing import Any

import wire

ROOT = pathlib.Path(__file__).resolve().parents[1]
BOUNDS = {
    'budget_slack': 54,
    'drain_ms': 2000,
    'grace_s': 8,
}


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders that the template of the settings uses."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match[1].split('.'):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', value, template)


class Gateway:
    """One gateway at loopback addresses."""

    def __init__(self, name: str, zone: str, store_port: int) -> None:
        self.name = name
        self.zone = zone
        self.callers = wire.free_port()
        self.ready = wire.free_port()
        self.control = wire.free_port()
        self._metrics = wire.free_port()
        self._store_port = store_port
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = tempfile.TemporaryDirectory()
        self.log = pathlib.Path(self._folder.name) / 'log'

    def configure(self, seeds: list[int]) -> None:
        """Write the settings as the platform fills in the template."""
        fields = {
            'node_name': self.name,
            'zone': self.zone,
            'ip': wire.HOST,
            'listen': {
                'front': f'{wire.HOST}:{self.callers}',
                'ready': f'{wire.HOST}:{self.ready}',
                'control': f'{wire.HOST}:{self.control}',
            },
            'port_range': [self._metrics],
            'seeds': [f'{wire.HOST}:{port}' for port in seeds],
            'limits': {'cpu_share': 0.817, 'cores': 1},
            'bounds': BOUNDS,
            'platform': {'address': f'{wire.HOST}:{self._store_port}'},
        }
        template = (ROOT / _role()['template']).read_text()
        self._settings.write_text(_render(template, fields))

    @property
    def _settings(self) -> pathlib.Path:
        return pathlib.Path(self._folder.name) / 'boot'

    def start(self) -> None:
        """Start the process."""
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['LENTILSPOOL_BOOT'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                _role()['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and remove its files."""
        if self.process:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()
        self._folder.cleanup()

    async def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Return whether it becomes ready in time."""
        for _ in range(int(limit_s / 0.2)):
            answer = await wire.call(
                self.ready, 'GET', '/readyz', {'Host': 'x'}, timeout_s=1
            )
            if answer.status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    @property
    def last_lines(self) -> str:
        """The end of its log, and its exit status if it has ended."""
        ended = self.process.poll() if self.process else None
        return f'exit {ended}, {self.log.read_text(errors="replace")[-600:]!r}'

    def events(self, number: int) -> list[dict[str, Any]]:
        """Return the log records of an event."""
        found = []
        for line in self.log.read_text(errors='replace').splitlines():
            if line.startswith('{'):
                record = json.loads(line)
                if record.get('event') == number:
                    found.append(record)
        return found


def _role() -> dict[str, str]:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    role: dict[str, str] = deploy['roles']['gateway']
    return role
