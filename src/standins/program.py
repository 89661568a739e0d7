"""``lentilspool-standin``: small stand-ins as processes."""

import dataclasses
import json
import pathlib
import signal
import sys
from collections.abc import Callable
from typing import Any

import jsonc
import trio

from lentilspool import daemons
from lentilspool.programs import _command
from standins import (
    _endpoints,
    _engine,
    _faults,
    _platform,
    _weights,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Serves one stand-in until the process is told to stop."""

    make: Callable[[], Any]
    """Makes the ASGI application."""

    address: str
    """IP address to listen at."""

    port: int
    """Port to listen at."""

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT."""
        trio.run(self._serve)
        return 0

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            app = self.make()
            server = daemons.HttpServer(app, self.address, self.port, nursery)
            await server.start()
            sys.stderr.write(f'listening at {self.address}:{server.port}\n')
            with trio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                async for number in signals:
                    sys.stderr.write(f'signal {number}\n')
                    break
            await server.stop()
            nursery.cancel_scope.cancel()


def platform(
    configuration: str,
    hosts: str,
    port: int = 8500,
    address: str = '127.0.0.1',
    lag: float = 0,
) -> Serve:
    """Publish a configuration and a host list.

    Example: lentilspool-standin platform --configuration
    examples/configuration.jsonc --hosts examples/hosts.jsonc --port 8500

    Args:
        configuration: File with the base document.
        hosts: File with the hosts.
        port: Port to listen at.
        address: IP address to listen at.
        lag: Seconds by which the host list is late.
    """
    document = _read(configuration)
    listed = _read(hosts)['hosts']
    return Serve(
        lambda: _platform.Platform(document, listed, lag), address, port
    )


def engine(
    port: int,
    address: str = '127.0.0.1',
    checks_fencing: bool = True,
    batch: int = 16,
) -> Serve:
    """Serve completions.

    Example: lentilspool-standin engine --port 9003

    Args:
        port: Port to listen at.
        address: IP address to listen at.
        checks_fencing: Whether orders with an old number are refused.
        batch: Completions that run together.
    """
    return Serve(
        lambda: _faults.Faulty(_engine.Engine(checks_fencing, batch)),
        address,
        port,
    )


def stage(port: int, texts: str, address: str = '127.0.0.1') -> Serve:
    """Encode, retrieve and rerank over a folder of text files.

    Example: lentilspool-standin stage --port 9001 --texts examples/texts

    Args:
        port: Port to listen at.
        texts: Folder with the text files.
        address: IP address to listen at.
    """
    return Serve(
        lambda: _faults.Faulty(_endpoints.StageEndpoint.from_folder(texts)),
        address,
        port,
    )


def service(port: int, address: str = '127.0.0.1') -> Serve:
    """Serve a plain service that counts its executions.

    Example: lentilspool-standin service --port 9004

    Args:
        port: Port to listen at.
        address: IP address to listen at.
    """
    return Serve(
        lambda: _faults.Faulty(_endpoints.ServiceEndpoint()), address, port
    )


def weights(
    port: int, address: str = '127.0.0.1', loads_per_s: float = 1
) -> Serve:
    """Serve a rate-limited weight store.

    Example: lentilspool-standin weights --port 9005

    Args:
        port: Port to listen at.
        address: IP address to listen at.
        loads_per_s: Weights handed out a second.
    """
    return Serve(lambda: _weights.WeightStore(loads_per_s), address, port)


def main() -> None:
    """Run the program."""
    kinds: dict[str, Callable[..., Any]] = {
        'platform': platform,
        'engine': engine,
        'stage': stage,
        'service': service,
        'weights': weights,
    }
    sys.exit(_command.run(kinds, 'lentilspool-standin'))


def _read(path: str) -> Any:
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return json.loads(json.dumps(jsonc.loads(text)))
