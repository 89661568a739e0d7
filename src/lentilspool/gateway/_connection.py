"""One HTTP/1.1 connection to an endpoint or to the store, on h11.

h11 is used directly since the rules need to know whether a request may have
been read, to which request an answer belongs, and whether it was whole.
"""

import dataclasses
import http
import logging
from typing import Final

import h11
import trio

from lentilspool import platform, serving
from lentilspool.gateway import _clock, _events, _sockets

_logger: Final = logging.getLogger(__name__)
_RECEIVE_BYTES: Final = 65536
_MAX_HEAD_BYTES: Final = 65536
_OK: Final = range(http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES)


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """No complete answer came."""

    reason: str
    """What happened, for logs."""

    sent: bool
    """Whether any byte of the request may have been read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a body."""

    content: bytes
    """Bytes of the body."""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The body is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it is written."""

    method: str
    """HTTP method."""

    target: bytes
    """Path and query."""

    headers: list[tuple[bytes, bytes]]
    """Headers, with the length of the body."""

    body: bytes
    """Whole body."""

    request_id: str = ''
    """Identity that the answer must repeat; empty for other calls."""


class Connection:
    """An open connection; used for one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = _client()
        self._outgoing: Outgoing | None = None
        self._sent = False
        self._whole = False
        self.idle_since = _clock.now()
        self.keep_alive_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._whole
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have been read."""
        return self._sent

    def stale(self, limit_s: float, now: float) -> bool:
        """Whether an idle connection should not get a request."""
        if self.keep_alive_s is not None:
            limit_s = min(limit_s, self.keep_alive_s / 2)
        if now - self.idle_since > limit_s:
            return True
        return _sockets.has_input(self._stream)

    def next_request(self) -> None:
        """Prepare a reusable connection for its next request."""
        self._http.start_next_cycle()
        self._whole = False

    async def send(self, outgoing: Outgoing) -> Broken | None:
        """Write a request; its body may still be on the way on return."""
        self._outgoing = outgoing
        self._sent = False
        head = self._begin(outgoing)
        if head is None:
            return Broken('the request cannot be written', sent=False)
        try:
            # Set before the write: a write that fails may have got through.
            self._sent = True
            await self._stream.send_all(head + outgoing.body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return Broken(f'broken while sending: {error}', sent=True)
        return None

    async def head(self) -> serving.AnswerHead | Broken:
        """Return the head of the answer that belongs to the request."""
        while True:
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if isinstance(event, Broken):
                return event
            if not isinstance(event, h11.Response):
                return Broken(f'no answer but {type(event).__name__}', True)
            head = platform.answer_head(event.status_code, event.headers)
            if self._is_ours(head):
                self.keep_alive_s = head.keep_alive_s
                return head
            skipped = await self._skip_foreign(head)
            if skipped:
                return skipped

    async def chunk(self) -> Chunk | End | Broken:
        """Return the next part of the body."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return Chunk(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._whole = True
            self.idle_since = _clock.now()
            return End()
        if isinstance(event, Broken):
            return event
        return Broken('closed before the end of the answer', sent=True)

    async def body(self, limit: int) -> bytes | Broken:
        """Return the whole body."""
        chunks: list[bytes] = []
        size = 0
        while True:
            part = await self.chunk()
            if isinstance(part, Broken):
                return part
            if isinstance(part, End):
                return b''.join(chunks)
            size += len(part.content)
            if size > limit:
                return Broken(f'an answer above {limit} bytes', sent=True)
            chunks.append(part.content)

    async def close(self) -> None:
        """Close at once; an endpoint stops what it does for us."""
        await trio.aclose_forcefully(self._stream)

    def _is_ours(self, head: serving.AnswerHead) -> bool:
        expected = self._outgoing.request_id if self._outgoing else ''
        if not expected or head.request_id == expected:
            return True
        return not head.request_id and head.status not in _OK

    def _begin(self, outgoing: Outgoing) -> bytes | None:
        """Tell h11 of the whole request; return the bytes of its head."""
        try:
            head = self._http.send(
                h11.Request(
                    method=outgoing.method,
                    target=outgoing.target,
                    headers=outgoing.headers,
                )
            )
            if outgoing.body:
                self._http.send(h11.Data(data=outgoing.body))
            self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            _events.BAD_REQUEST.log(
                _logger, request_id=outgoing.request_id, problem=str(error)
            )
            return None
        return bytes(head or b'')

    async def _skip_foreign(self, head: serving.AnswerHead) -> Broken | None:
        if not head.request_id:
            return Broken('a success without a request id', sent=True)
        _events.FOREIGN_ANSWER.log(
            _logger,
            request_id=self._outgoing.request_id if self._outgoing else '',
            answered=head.request_id,
            status=head.status,
        )
        return await self._skip_answer()

    async def _skip_answer(self) -> Broken | None:
        """Read an answer to another request, and wait for ours again."""
        while True:
            event = await self._next_event()
            if isinstance(event, Broken):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return Broken('closed within an answer to another', True)
        if self._http.their_state is not h11.DONE or not self._outgoing:
            return Broken('closed after an answer to another request', True)
        rest = self._http.trailing_data[0]
        self._http = _client()
        self._begin(self._outgoing)
        if rest:
            self._http.receive_data(rest)
        return None

    async def _next_event(self) -> h11.Event | Broken:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                return Broken(f'not an answer: {error}', sent=True)
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return Broken('bytes after the answer', sent=True)
            try:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                return Broken(f'reset: {error}', sent=True)
            self._http.receive_data(received)


def _client() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
