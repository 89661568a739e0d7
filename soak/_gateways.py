"""Real gateway processes, and the signals that they get."""

import contextlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
from typing import Final

import trio

from soak import _history, _proxy, _recorder, _terms

# Time from SIGTERM to SIGKILL, as on the platform.
GRACE_S: Final = 8.0
_RESTART_S: Final = 0.3
_PROBE_S: Final = 1.0
_PROBE: Final = b'GET /readyz HTTP/1.1\r\nhost: soak\r\n\r\n'
_PORTS: Final = range(20_000, 32_000)
_MAX_SHOWN_BYTES: Final = 500
_drawn_ports: set[int] = set()


def free_port() -> int:
    """Return a port that nothing listens at, and that was not returned before.

    It lies below the ports that the system gives to outgoing connections, so
    that none of these takes it before the gateway does.
    """
    while True:
        port = random.choice(_PORTS)  # noqa: S311
        if port in _drawn_ports:
            continue
        _drawn_ports.add(port)
        with contextlib.suppress(OSError):
            socket.create_server(('127.0.0.1', port)).close()
            return port


class Gateway:
    """One gateway, started again whenever it ends."""

    def __init__(
        self, name: str, folder: pathlib.Path, store_port: int
    ) -> None:
        self.name = name
        self.callers = free_port()
        self.peers = free_port()
        self.store_way = _proxy.Proxy(store_port)
        self._readiness = free_port()
        self._path = folder / f'{name}.jsonc'
        self._log = folder / f'{name}.log'
        self._process: subprocess.Popen[bytes] | None = None
        self._stopping: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.was_ready = False
        self.recorder = _recorder.Recorder()
        self.modules: tuple[str, ...] = ('lentilspool.programs.gateway',)

    def configure(self, known: tuple[int, ...]) -> None:
        """Write the settings; ``known`` has ports of gateways to begin with."""
        settings = {
            'name': self.name,
            'zone': 'a',
            'callers': f'127.0.0.1:{self.callers}',
            'readiness': f'127.0.0.1:{self._readiness}',
            'peers': f'127.0.0.1:{self.peers}',
            'metrics': f'127.0.0.1:{free_port()}',
            'known_peers': [f'127.0.0.1:{port}' for port in known],
            'store': {'address': f'127.0.0.1:{self.store_way.port}'},
        }
        self._path.write_text(json.dumps(settings))

    async def serve(self) -> None:
        """Keep the process running until cancelled, then end it."""
        try:
            while True:
                self._start()
                while self._process and self._process.poll() is None:
                    await trio.sleep(_RESTART_S / 3)
                self._note(_terms.Change.ended)
                await trio.sleep(_RESTART_S)
        finally:
            self._kill()

    async def probe(self) -> None:
        """Ask again and again whether the process is ready."""
        while True:
            await trio.sleep(_PROBE_S)
            ready = False
            with trio.move_on_after(_PROBE_S), contextlib.suppress(OSError):
                ready = await self._is_ready()
            self.was_ready = self.was_ready or ready
            now = self.recorder.now()
            self.recorder.note(_history.Probed(now, self.name, ready))

    def describe_start(self) -> str:
        """Return how often it was started, and the end of its log."""
        log = self._log.read_bytes() if self._log.exists() else b''
        shown = log[-_MAX_SHOWN_BYTES:].decode(errors='replace')
        return f'{self.name} was started {self.starts} times; log: {shown!r}'

    def kill(self) -> None:
        """End the process without notice."""
        self._note(_terms.Change.killed)
        self._signal(signal.SIGKILL)

    def reload(self) -> None:
        """Let the process read its settings again."""
        self._note(_terms.Change.reloaded)
        self._signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Stop the process as planned, and end it after the grace time.

        A process is stopped once.
        """
        process = self._process
        is_gone = process is None or process.poll() is not None
        if is_gone or process is self._stopping:
            return
        self._stopping = process
        self._note(_terms.Change.terminated)
        self._signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S):
            while process and process.poll() is None:
                await trio.sleep(_RESTART_S)
        if process and process.poll() is None:
            self._note(_terms.Change.killed)
            process.kill()

    async def pause(self, seconds: float) -> None:
        """Let the process stand still for a time."""
        process = self._process
        self._note(_terms.Change.paused)
        self._signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        self._note(_terms.Change.resumed)
        if process and process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def _note(self, change: _terms.Change) -> None:
        now = self.recorder.now()
        self.recorder.note(_history.Process(now, self.name, change))

    async def _is_ready(self) -> bool:
        stream = await trio.open_tcp_stream('127.0.0.1', self._readiness)
        async with stream:
            try:
                await stream.send_all(_PROBE)
                head = await stream.receive_some()
            except trio.BrokenResourceError:
                return False
        return head.startswith(b'HTTP/1.1 200')

    def _start(self) -> None:
        self.starts += 1
        self._note(_terms.Change.started)
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', *self.modules]
                + ['--settings', str(self._path)],
                stdout=log,
                stderr=log,
            )

    def _signal(self, number: int) -> None:
        if self._process and self._process.poll() is None:
            self._process.send_signal(number)

    def _kill(self) -> None:
        process = self._process
        if process and process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
