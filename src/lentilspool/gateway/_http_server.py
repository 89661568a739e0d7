"""HTTP/1.1 towards callers, on h11.

h11 is used directly since the rules need to know whether a request was read
whole, whether its caller is still there, and what was written of the answer.
"""

import dataclasses
import http
import logging
import traceback
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Protocol

import h11
import trio

from lentilspool.gateway import _events, _sockets

_logger: Final = logging.getLogger(__name__)
_RECEIVE_BYTES: Final = 65536
_SEND_LIMIT_S: Final = 10.0
_CLOSE_S: Final = 0.5
_LAST_REQUEST_S: Final = 1.0
Headers = Sequence[tuple[bytes, bytes]]


class Limits(Protocol):
    """Limits towards callers, read for each request."""

    @property
    def max_header_bytes(self) -> int:
        """Largest request head."""

    @property
    def max_body_bytes(self) -> int:
        """Largest request body."""

    @property
    def header_timeout_s(self) -> float:
        """Seconds in which a request head must arrive."""

    @property
    def idle_timeout_s(self) -> float:
        """Seconds for which a connection may be idle."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that was read whole."""

    method: bytes
    """HTTP method."""

    target: bytes
    """Path and query."""

    headers: Headers
    """Headers, with names in lower case."""

    body: bytes
    """Whole body."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Broken:
    """The connection cannot be used any more."""

    status: int | None
    """Status to tell the caller, if it can be told."""


class Reply:
    """The answer to one request; whole, or in chunks."""

    def __init__(self, connection: 'Connection') -> None:
        self._connection = connection
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether anything of the answer was written."""
        return self._begun

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer; the headers declare its length."""
        self._begun = True
        await self._connection.write(
            h11.Response(status_code=status, headers=list(headers)),
            h11.Data(data=body) if body else None,
            h11.EndOfMessage(),
        )

    async def begin(self, status: int, headers: Headers, chunk: bytes) -> None:
        """Write the head of an answer whose length is unknown."""
        self._begun = True
        framed = [*headers, (b'transfer-encoding', b'chunked')]
        await self._connection.write(
            h11.Response(status_code=status, headers=framed),
            h11.Data(data=chunk) if chunk else None,
        )

    async def chunk(self, chunk: bytes) -> None:
        """Write more of the body."""
        await self._connection.write(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Write the end of a complete answer."""
        await self._connection.write(h11.EndOfMessage())

    def abort(self) -> None:
        """Close without an end, so that the answer cannot look complete."""
        self._connection.broken = True


Handler = Callable[[Request, Reply], Awaitable[None]]


class Server:
    """Serves one address. ``close_idle`` begins a planned stop."""

    def __init__(
        self, address: str, handler: Handler, limits: Callable[[], Limits]
    ) -> None:
        self._address = address
        self.handler = handler
        self.limits = limits
        self._connections: set[Connection] = set()
        self.stopping = False
        self._listener: trio.SocketListener | None = None

    @property
    def port(self) -> int:
        """Port at which the server listens."""
        if self._listener is None:
            return 0
        return int(self._listener.socket.getsockname()[1])

    @property
    def open_requests(self) -> int:
        """Requests that have no final answer."""
        return sum(one.busy for one in self._connections)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled."""
        self._listener = _sockets.listen(self._address)
        task_status.started()
        await trio.serve_listeners(self._connected, [self._listener])

    def close_idle(self) -> None:
        """Close idle connections; others close after their answer."""
        self.stopping = True
        for connection in tuple(self._connections):
            connection.leave()

    async def _connected(self, stream: trio.SocketStream) -> None:
        connection = Connection(_sockets.accepted(stream), self)
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception:
            # One request must not end the process; its connection is closed.
            _events.UNEXPECTED.log(_logger, traceback=traceback.format_exc())
        finally:
            self._connections.discard(connection)


class Connection:
    """One connection of a caller."""

    def __init__(self, stream: trio.SocketStream, server: Server) -> None:
        self._stream = stream
        self._server = server
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits().max_header_bytes,
        )
        self._reading = trio.CancelScope()
        self.busy = False
        self.broken = False

    async def run(self) -> None:
        """Serve requests until either end closes."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.broken = True
        finally:
            await self._close()

    def leave(self) -> None:
        """Close the connection if it is idle."""
        if not self.busy and self._http.their_state is h11.IDLE:
            self._reading.cancel()

    async def write(self, *events: h11.Event | None) -> None:
        """Write parts of an answer; marks the connection broken if it is."""
        if self.broken:
            return
        out = b''.join(
            self._http.send(self._marked(event)) or b''
            for event in events
            if event is not None
        )
        if not out:
            return
        deadline = trio.current_time() + _SEND_LIMIT_S
        scope = trio.CancelScope(shield=True, deadline=deadline)
        with scope:
            try:
                await self._stream.send_all(out)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.broken = True
        self.broken = self.broken or scope.cancelled_caught

    def _marked(self, event: h11.Event) -> h11.Event:
        if isinstance(event, h11.Response) and self._server.stopping:
            headers = [*event.headers, (b'connection', b'close')]
            return h11.Response(status_code=event.status_code, headers=headers)
        return event

    async def _serve_one(self) -> bool:
        request = await self._read()
        if request is None:
            return False
        if isinstance(request, _Broken):
            await self._refuse(request)
            return False
        self.busy = True
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, nursery.cancel_scope)
                await self._server.handler(request, Reply(self))
                nursery.cancel_scope.cancel()
        finally:
            self.busy = False
        done = self._http.our_state is h11.DONE
        return done and not self.broken and self._keeps()

    def _keeps(self) -> bool:
        return self._http.their_state is h11.DONE and not self._server.stopping

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Cancel the work on a request when its caller leaves."""
        while True:
            try:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b''
            if not received:
                self.broken = True
                scope.cancel()
                return
            self._http.receive_data(received)

    async def _read(self) -> Request | _Broken | None:
        limits = self._server.limits()
        wait_s = limits.idle_timeout_s
        if self._server.stopping:
            # A connection accepted during the stop gets one request.
            wait_s = min(wait_s, _LAST_REQUEST_S)
        self._reading = trio.CancelScope(deadline=trio.current_time() + wait_s)
        with self._reading:
            return await self._read_request(limits)
        if self._http.their_state is h11.IDLE and not self._partial():
            return None
        return _Broken(http.HTTPStatus.REQUEST_TIMEOUT)

    def _partial(self) -> bool:
        return bool(self._http.trailing_data[0])

    async def _read_request(self, limits: Limits) -> Request | _Broken | None:
        head = await self._next_event(limits.header_timeout_s)
        if not isinstance(head, h11.Request):
            return head if isinstance(head, _Broken) else None
        names = [name for name, _ in head.headers]
        if b'transfer-encoding' in names and b'content-length' in names:
            return _Broken(http.HTTPStatus.BAD_REQUEST)
        if self._http.they_are_waiting_for_100_continue:
            await self.write(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = await self._read_body(limits)
        if not isinstance(body, bytes):
            return body
        return Request(head.method, head.target, list(head.headers), body)

    async def _read_body(self, limits: Limits) -> bytes | _Broken | None:
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event(limits.idle_timeout_s)
            if isinstance(event, h11.EndOfMessage):
                return b''.join(chunks)
            if not isinstance(event, h11.Data):
                return event if isinstance(event, _Broken) else None
            size += len(event.data)
            if size > limits.max_body_bytes:
                return _Broken(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            chunks.append(bytes(event.data))

    async def _next_event(self, limit_s: float) -> h11.Event | _Broken | None:
        """Return the next event; None if the caller has closed."""
        event = self._parsed()
        while event is h11.NEED_DATA:
            received = await self._stream.receive_some(_RECEIVE_BYTES)
            if received and self._http.their_state is h11.IDLE:
                self._begin_head(limit_s)
            self._http.receive_data(received)
            event = self._parsed()
        if isinstance(event, h11.ConnectionClosed):
            return None
        return event if isinstance(event, (h11.Event, _Broken)) else None

    def _parsed(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            _events.CALLER_BROKEN.log(_logger, problem=str(error))
            return _Broken(error.error_status_hint)

    def _begin_head(self, limit_s: float) -> None:
        """Limit the time for a head from its first byte on."""
        if not self._partial():
            self._reading.deadline = trio.current_time() + limit_s

    async def _refuse(self, broken: _Broken) -> None:
        if broken.status is None or self._http.our_state not in {
            h11.IDLE,
            h11.SEND_RESPONSE,
        }:
            return
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        await self.write(
            h11.Response(status_code=broken.status, headers=headers),
            h11.EndOfMessage(),
        )

    async def _close(self) -> None:
        with trio.CancelScope(shield=True) as scope:
            scope.deadline = trio.current_time() + _CLOSE_S
            if not self.broken:
                await self._finish_sending()
            await trio.aclose_forcefully(self._stream)

    async def _finish_sending(self) -> None:
        """End our side, so that unread bytes do not reset the answer."""
        try:
            await self._stream.send_eof()
            received = await self._stream.receive_some(_RECEIVE_BYTES)
            while received:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
