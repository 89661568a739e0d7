"""HTTP server component, which runs an ASGI application in Hypercorn."""

import logging
import socket
from typing import Any, Final

import trio
from hypercorn import config as hypercorn_config

from lentilspool.daemons import _asgi, _http_connection

_LISTEN_BACKLOG: Final = 1024


class HttpServer:
    """Serves an ASGI application at one address and port.

    With port 0, the system chooses a free port; read it from ``port``.
    """

    def __init__(
        self,
        app: _asgi.App,
        address: str,
        port: int,
        nursery: trio.Nursery,
        options: dict[str, Any] | None = None,
    ) -> None:
        self._app = app
        self._nursery = nursery
        self._options = options or {}
        self._stopping = trio.Event()
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self._socket = socket.create_server(
            (address, port),
            backlog=self._options.get('backlog', _LISTEN_BACKLOG),
        )
        self._port: int = self._socket.getsockname()[1]

    @property
    def port(self) -> int:
        """Port at which the server listens."""
        return self._port

    async def start(self) -> None:
        """Start accepting connections."""
        await self._nursery.start(self._serve)

    async def drain(self) -> None:
        """Close idle connections; wait for all responses in flight."""
        self._stopping.set()
        await self._ended.wait()

    async def stop(self) -> None:
        """Close every connection at once."""
        self._stopping.set()
        self._scope.cancel()

    def kill(self) -> None:
        """Break every connection, to simulate a crash of the process."""
        self._scope.cancel()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'stopping': self._stopping.is_set()}

    async def _serve(self, task_status: Any) -> None:
        server = hypercorn_config.Config()
        server.loglevel = 'ERROR'
        server.errorlog = logging.getLogger('hypercorn.error')
        server.accesslog = None
        for name, setting in self._options.items():
            setattr(server, name, setting)
        connections = _http_connection.Connections(self._app, server)
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self._socket)
        )
        with self._scope:
            # The daemon limits the drain, and ends it with ``stop``.
            await connections.serve(listener, self._stopping, task_status)
        self._ended.set()
