"""Callers' connections in Hypercorn, closed without losing a request."""

from functools import partial
from typing import Any

import trio
from hypercorn import app_wrappers, typing
from hypercorn import config as hypercorn_config
from hypercorn import events as hypercorn_events
from hypercorn.protocol import h11
from hypercorn.trio import tcp_server, worker_context

from lentilspool.daemons import _asgi


class Connections:
    """Serves an application on the connections of one listener."""

    def __init__(self, app: _asgi.App, config: hypercorn_config.Config) -> None:
        self._config = config
        self._app = app_wrappers.ASGIWrapper(app)
        self._context = worker_context.WorkerContext(None)

    async def serve(
        self,
        listener: trio.SocketListener,
        stopping: trio.Event,
        task_status: Any,
    ) -> None:
        """Accept connections until ``stopping``; return when all are closed."""
        state = typing.ConnectionState({})
        connect = partial(
            _Connection, self._app, self._config, self._context, state
        )
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as listening:
                listening.start_soon(
                    partial(
                        trio.serve_listeners,
                        connect,
                        [listener],
                        handler_nursery=connections,
                    )
                )
                task_status.started()
                await stopping.wait()
                listening.cancel_scope.cancel()
            await self._context.terminated.set()


class _Connection(tcp_server.TCPServer):  # type: ignore[misc]
    """A connection that is closed as idle only if nothing was received.

    Hypercorn closes the socket of an idle connection at once, also if its
    reader has a request that it has not yet passed on. Here, the wait for
    bytes is cancelled instead, which has no effect once bytes were received.
    """

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._receiving = trio.CancelScope()
        self._closing = False

    async def _read_data(self) -> None:
        received = await self._receive()
        while received:
            await self.protocol.handle(hypercorn_events.RawData(received))
            if self._closing and self._is_idle():
                break
            self._closing = False
            received = await self._receive()
        await self.protocol.handle(hypercorn_events.Closed())

    async def _receive(self) -> bytes:
        """Return the next bytes; none at the end, and if closed as idle."""
        self._receiving = trio.CancelScope()
        if self._closing:
            self._receiving.cancel()
        with self._receiving:
            try:
                return bytes(
                    await self.stream.receive_some(tcp_server.MAX_RECV)
                )
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                return b''
        return b''

    async def _initiate_server_close(self) -> None:
        self._closing = True
        self._receiving.cancel()

    def _is_idle(self) -> bool:
        protocol = self.protocol.protocol
        if isinstance(protocol, h11.H11Protocol):
            return bool(protocol.stream is None)
        return bool(protocol.idle)
