"""An HTTP/1.1 server on h11.

h11 is used directly because the gateway must know whether a request was read
completely, whether its caller is still connected, and how much of the answer
was written.
"""

import contextlib
import dataclasses
import http
import logging
import traceback
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Final, Protocol

import h11
import trio

from lentilspool.gateway import _events, _parser, _sockets

_logger: Final = logging.getLogger(__name__)
_RECEIVE_BYTES: Final = 65536
# Of later requests, received while one is served.
_MAX_PIPELINED_BYTES: Final = 65536
# h11 quotes the bytes that it cannot parse.
_MAX_LOGGED_CHARACTERS: Final = 200
_SEND_TIMEOUT_S: Final = 10.0
_CLOSE_TIMEOUT_S: Final = 0.5
_LAST_REQUEST_WAIT_S: Final = 1.0
_FIRST_CHUNKED_VERSION: Final = b'1.1'
Headers = Sequence[tuple[bytes, bytes]]


class Limits(Protocol):
    """Limits of requests and connections, read for each request."""

    @property
    def max_header_bytes(self) -> int:
        """Maximum size of a request head."""

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request body."""

    @property
    def header_timeout_s(self) -> float:
        """Seconds from the first byte of a request head to its end."""

    @property
    def idle_timeout_s(self) -> float:
        """Seconds that a connection may wait for a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that was read completely."""

    method: bytes
    """HTTP method."""

    target: bytes
    """Path and query."""

    headers: Headers
    """Headers, with names in lower case."""

    body: bytes
    """Whole body."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestError:
    """A request could not be read; its connection cannot be reused."""

    status: int | None
    """Status to answer; None if the caller cannot be answered."""


class Reply:
    """Writes the answer to one request, at once or in chunks."""

    def __init__(self, connection: 'Connection', nursery: trio.Nursery) -> None:
        self._connection = connection
        self._nursery = nursery
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether a part of the answer was written."""
        return self._begun

    async def write_complete(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Write a complete answer; the headers declare its length."""
        self._begun = True
        await self._connection.write(
            h11.Response(status_code=status, headers=list(headers)),
            h11.Data(data=body) if body else None,
            h11.EndOfMessage(),
        )

    async def write_head(
        self, status: int, headers: Headers, chunk: bytes
    ) -> None:
        """Write the head of an answer whose length is unknown."""
        self._begun = True
        framed = [*headers, (b'transfer-encoding', b'chunked')]
        await self._connection.write(
            h11.Response(status_code=status, headers=framed),
            h11.Data(data=chunk) if chunk else None,
        )

    async def write_chunk(self, chunk: bytes) -> None:
        """Write more of the body."""
        await self._connection.write(h11.Data(data=chunk))

    async def write_end(self) -> None:
        """Write the end of a complete answer."""
        await self._connection.write(h11.EndOfMessage())

    @contextlib.contextmanager
    def background(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> Iterator[None]:
        """Run a task of the request within this context.

        It is cancelled at the end, but not awaited there: a checkpoint could
        discard an answer that has just arrived.
        """
        scope = trio.CancelScope()

        async def run() -> None:
            with scope:
                await task(*arguments)

        self._nursery.start_soon(run)
        try:
            yield
        finally:
            scope.cancel()

    def abort(self) -> None:
        """Close the connection without ending the answer.

        The caller sees that the answer is incomplete.
        """
        self._connection.broken = True


Handler = Callable[[Request, Reply], Awaitable[None]]


class Server:
    """Accepts and serves connections at one address."""

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
        """Requests that have no final answer, also those not read to the end."""
        return sum(one.has_request for one in self._connections)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled."""
        self._listener = _sockets.listen(self._address)
        task_status.started()
        await trio.serve_listeners(self._serve_connection, [self._listener])

    def close_idle(self) -> None:
        """Begin a planned stop.

        Idle connections close now, others after their current answer.
        """
        self.stopping = True
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = Connection(_sockets.configure_accepted(stream), self)
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception:
            # A fault in one request closes its connection; the server continues.
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
        self._parser = _parser.Parser(self._http)
        self._read_scope = trio.CancelScope()
        self._close_announced = False
        self._reading = False
        self._reset_on_close = False
        self.busy = False
        self.broken = False

    @property
    def has_request(self) -> bool:
        """Whether a request is served, or a part of one has arrived."""
        if self._reading:
            return not self._is_idle or _sockets.has_input(self._stream)
        return self.busy

    async def run(self) -> None:
        """Serve requests until either end closes."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.broken = True
        finally:
            await self._close()

    def close_if_idle(self) -> None:
        """Close the connection if it is idle."""
        if not self.busy and self._is_idle:
            self._read_scope.cancel()

    async def write(self, *events: h11.Event | None) -> None:
        """Write parts of an answer.

        Sets ``broken`` if the caller is gone or too slow.
        """
        if self.broken:
            return
        out = b''.join(
            self._http.send(self._with_close_header(event)) or b''
            for event in events
            if event is not None
        )
        if _ends_with_connection(self._http):
            self._reset_on_close = self._http.our_state is h11.SEND_BODY
            _sockets.reset_on_close(self._stream, enabled=self._reset_on_close)
        if not out:
            return
        deadline = trio.current_time() + _SEND_TIMEOUT_S
        scope = trio.CancelScope(shield=True, deadline=deadline)
        with scope:
            try:
                await self._stream.send_all(out)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.broken = True
        self.broken = self.broken or scope.cancelled_caught

    def _with_close_header(self, event: h11.Event) -> h11.Event:
        if isinstance(event, h11.Response) and self._server.stopping:
            self._close_announced = True
            headers = [*event.headers, (b'connection', b'close')]
            return h11.Response(status_code=event.status_code, headers=headers)
        return event

    async def _serve_one(self) -> bool:
        self._reading = True
        try:
            request = await self._read_with_timeout()
        finally:
            self._reading = False
        if request is None:
            return False
        if isinstance(request, _RequestError):
            await self._refuse(request)
            return False
        self.busy = True
        handled = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._cancel_on_disconnect, nursery.cancel_scope
                )
                handled = await self._handle(request, Reply(self, nursery))
                nursery.cancel_scope.cancel()
        finally:
            self.busy = False
        ends_here = self._close_announced or self.broken or not handled
        states = {self._http.our_state, self._http.their_state}
        return states == {h11.DONE} and not ends_here

    async def _handle(self, request: Request, reply: Reply) -> bool:
        """Call the handler; answer with an error if it raises an exception.

        Returns whether the connection may carry another request.
        """
        try:
            await self._server.handler(request, reply)
            return True
        except Exception:
            _events.UNEXPECTED.log(_logger, traceback=traceback.format_exc())
            if self._http.our_state is h11.SEND_RESPONSE:
                await self._refuse(
                    _RequestError(http.HTTPStatus.INTERNAL_SERVER_ERROR)
                )
            self.broken = self._http.our_state is not h11.DONE
            return False

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the handler of a request when its caller disconnects.

        The end of a caller that sends too much meanwhile is not seen: its
        bytes stay unread.
        """
        while self._parser.rest_size < _MAX_PIPELINED_BYTES:
            try:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b''
            if not received:
                self.broken = True
                scope.cancel()
                return
            self._parser.receive(received)

    @property
    def _is_idle(self) -> bool:
        """Whether no byte of a request has been read."""
        waits = self._http.their_state is h11.IDLE
        return waits and not self._parser.rest_size

    async def _read_with_timeout(self) -> Request | _RequestError | None:
        waiting_since = trio.current_time()
        while True:
            limits = self._server.limits()
            self._read_scope = trio.CancelScope(
                deadline=waiting_since + self._idle_limit_s(limits)
            )
            with self._read_scope:
                return await self._read_request(limits)
            if not self._is_idle:
                return _RequestError(http.HTTPStatus.REQUEST_TIMEOUT)
            if _sockets.has_input(self._stream):
                # A request that has arrived is served before the close.
                waiting_since = trio.current_time()
                continue
            # The configuration may allow a longer wait by now.
            idle_limit_s = self._idle_limit_s(self._server.limits())
            expired = trio.current_time() >= waiting_since + idle_limit_s
            if expired or self._server.stopping:
                return None

    def _idle_limit_s(self, limits: Limits) -> float:
        if self._server.stopping:
            # A connection accepted during the stop gets one request.
            return min(limits.idle_timeout_s, _LAST_REQUEST_WAIT_S)
        return limits.idle_timeout_s

    async def _read_request(
        self, limits: Limits
    ) -> Request | _RequestError | None:
        head = await self._next_event(limits)
        if not isinstance(head, h11.Request):
            return head if isinstance(head, _RequestError) else None
        # The configuration may have changed while the connection was idle.
        limits = self._server.limits()
        names = [name for name, _ in head.headers]
        if b'transfer-encoding' in names and b'content-length' in names:
            return _RequestError(http.HTTPStatus.BAD_REQUEST)
        if self._http.they_are_waiting_for_100_continue:
            await self.write(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = await self._read_body(limits)
        if not isinstance(body, bytes):
            return body
        return Request(head.method, head.target, list(head.headers), body)

    async def _read_body(self, limits: Limits) -> bytes | _RequestError | None:
        # Many small chunks would need much more memory in a list.
        body = bytearray()
        while True:
            self._read_scope.deadline = (
                trio.current_time() + limits.idle_timeout_s
            )
            event = await self._next_event(limits)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                return event if isinstance(event, _RequestError) else None
            body += event.data
            if len(body) > limits.max_body_bytes:
                return _RequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    async def _next_event(
        self, limits: Limits
    ) -> h11.Event | _RequestError | None:
        """Return the next event; None if the caller has closed."""
        event = await self._parse_event()
        while event is h11.NEED_DATA:
            received = await self._stream.receive_some(_RECEIVE_BYTES)
            if received and self._is_idle:
                # The first byte of a head starts its time limit.
                self._read_scope.deadline = (
                    trio.current_time() + limits.header_timeout_s
                )
            self._parser.receive(received)
            event = await self._parse_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        return event if isinstance(event, (h11.Event, _RequestError)) else None

    async def _parse_event(self) -> object:
        try:
            return await self._parser.next_event()
        except h11.RemoteProtocolError as error:
            problem = str(error)[:_MAX_LOGGED_CHARACTERS]
            _events.CALLER_BROKEN.log(_logger, problem=problem)
            return _RequestError(error.error_status_hint)

    async def _refuse(self, error: _RequestError) -> None:
        if error.status is None or self._http.our_state not in {
            h11.IDLE,
            h11.SEND_RESPONSE,
        }:
            return
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        await self.write(
            h11.Response(status_code=error.status, headers=headers),
            h11.EndOfMessage(),
        )

    async def _close(self) -> None:
        with trio.CancelScope(shield=True) as scope:
            scope.deadline = trio.current_time() + _CLOSE_TIMEOUT_S
            if not (self.broken or self._reset_on_close):
                await _finish_sending(self._stream)
            await trio.aclose_forcefully(self._stream)


def _ends_with_connection(connection: h11.Connection) -> bool:
    """Whether an answer ends with its connection, unless it has a length."""
    version = connection.their_http_version
    return version is not None and version < _FIRST_CHUNKED_VERSION


async def _finish_sending(stream: trio.SocketStream) -> None:
    """Close our side and read until the caller closes its own.

    Closing with unread bytes would reset the connection, and the caller
    could lose the answer.
    """
    try:
        await stream.send_eof()
        received = await stream.receive_some(_RECEIVE_BYTES)
        while received:
            received = await stream.receive_some(_RECEIVE_BYTES)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
