"""One HTTP/1.1 connection to an endpoint or to the store, on h11.

h11 is used directly because retries depend on whether a request may have been
read, which request an answer belongs to, and whether the answer was complete.
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
_SUCCESS_STATUSES: Final = range(
    http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES
)


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Reason why a request has no complete answer."""

    reason: str
    """Description for logs."""

    sent: bool
    """Whether the endpoint may have read any byte of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a body."""

    content: bytes
    """Bytes of the body, without transfer coding."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndOfBody:
    """End of a complete body."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to write on a connection."""

    method: str
    """HTTP method."""

    target: bytes
    """Path and query."""

    headers: list[tuple[bytes, bytes]]
    """Headers, including the length of the body."""

    body: bytes
    """Whole body."""

    request_id: str = ''
    """Identity that the answer must repeat; empty if it need not."""


class Connection:
    """An open connection that carries one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = _new_client()
        self._outgoing: Outgoing | None = None
        self._sent = False
        self._answer_complete = False
        # When the request was sent or the last bytes arrived.
        self.last_active_at = _clock.now()
        self.idle_since = _clock.now()
        self.keep_alive_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._answer_complete
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    @property
    def sent(self) -> bool:
        """Whether the endpoint may have read any byte of the request."""
        return self._sent

    def is_stale(self, max_idle_s: float, now: float) -> bool:
        """Whether an idle connection is unsafe for another request.

        It is if it was idle for more than the limit or half the keep-alive
        time that the peer announced, or if the peer has sent or closed.
        """
        if self.keep_alive_s is not None:
            max_idle_s = min(max_idle_s, self.keep_alive_s / 2)
        if now - self.idle_since > max_idle_s:
            return True
        return _sockets.has_input(self._stream)

    def next_request(self) -> None:
        """Prepare a reusable connection for its next request."""
        self._http.start_next_cycle()
        self._answer_complete = False

    async def send(self, outgoing: Outgoing) -> ExchangeFailure | None:
        """Write a request; its body may still be in transit on return."""
        self._outgoing = outgoing
        self._sent = False
        head = self._start_request(outgoing)
        if head is None:
            return ExchangeFailure('the request is not valid HTTP', sent=False)
        try:
            # Set before the write, because a failed write may still have
            # reached the endpoint.
            self._sent = True
            self.last_active_at = _clock.now()
            await self._stream.send_all(head + outgoing.body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return ExchangeFailure(f'broken while sending: {error}', sent=True)
        return None

    async def receive_head(self) -> serving.AnswerHead | ExchangeFailure:
        """Return the head of the answer to the request.

        Answers to other requests are skipped.
        """
        while True:
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if isinstance(event, ExchangeFailure):
                return event
            if not isinstance(event, h11.Response):
                return ExchangeFailure(
                    f'not an answer but {type(event).__name__}', True
                )
            head = platform.decode_answer_head(event.status_code, event.headers)
            if self._answers_request(head):
                self.keep_alive_s = head.keep_alive_s
                return head
            skipped = await self._skip_mismatched(head)
            if skipped:
                return skipped

    async def receive_chunk(self) -> Chunk | EndOfBody | ExchangeFailure:
        """Return the next part of the body."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return Chunk(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._answer_complete = True
            self.idle_since = _clock.now()
            return EndOfBody()
        if isinstance(event, ExchangeFailure):
            return event
        return ExchangeFailure('closed before the end of the answer', sent=True)

    async def receive_body(self, limit: int) -> bytes | ExchangeFailure:
        """Return the whole body, of at most ``limit`` bytes."""
        chunks: list[bytes] = []
        size = 0
        while True:
            part = await self.receive_chunk()
            if isinstance(part, ExchangeFailure):
                return part
            if isinstance(part, EndOfBody):
                return b''.join(chunks)
            size += len(part.content)
            if size > limit:
                return ExchangeFailure(
                    f'answer larger than {limit} bytes', sent=True
                )
            chunks.append(part.content)

    async def close(self) -> None:
        """Close at once, which makes an endpoint stop the request."""
        await trio.aclose_forcefully(self._stream)

    def _answers_request(self, head: serving.AnswerHead) -> bool:
        expected = self._outgoing.request_id if self._outgoing else ''
        if not expected or head.request_id == expected:
            return True
        return not head.request_id and head.status not in _SUCCESS_STATUSES

    def _start_request(self, outgoing: Outgoing) -> bytes | None:
        """Pass the whole request to h11; return the bytes of its head.

        Returns None, and logs the reason, if the request is invalid.
        """
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

    async def _skip_mismatched(
        self, head: serving.AnswerHead
    ) -> ExchangeFailure | None:
        if not head.request_id:
            return ExchangeFailure('success without a request id', sent=True)
        _events.FOREIGN_ANSWER.log(
            _logger,
            request_id=self._outgoing.request_id if self._outgoing else '',
            answered=head.request_id,
            status=head.status,
        )
        return await self._skip_answer()

    async def _skip_answer(self) -> ExchangeFailure | None:
        """Read the rest of another request's answer, then expect ours."""
        while True:
            event = await self._next_event()
            if isinstance(event, ExchangeFailure):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return ExchangeFailure(
                    'closed during the answer to another request', True
                )
        if self._http.their_state is not h11.DONE or not self._outgoing:
            return ExchangeFailure(
                'closed after an answer to another request', True
            )
        rest = self._http.trailing_data[0]
        self._http = _new_client()
        self._start_request(self._outgoing)
        if rest:
            self._http.receive_data(rest)
        return None

    async def _next_event(self) -> h11.Event | ExchangeFailure:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                return ExchangeFailure(f'not an answer: {error}', sent=True)
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return ExchangeFailure(
                    'unexpected bytes after the answer', sent=True
                )
            try:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                return ExchangeFailure(f'reset: {error}', sent=True)
            self.last_active_at = _clock.now()
            self._http.receive_data(received)


def _new_client() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
