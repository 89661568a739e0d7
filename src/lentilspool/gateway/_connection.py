"""One HTTP/1.1 connection to an endpoint or to the store, on h11.

h11 is used directly because retries depend on whether a request may have been
read, which request an answer belongs to, and whether the answer was complete.
"""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

import h11
import trio

from lentilspool import platform, serving
from lentilspool.gateway import (
    _answer_bounds,
    _answer_identities,
    _clock,
    _events,
    _parser,
    _sockets,
)

_logger: Final = logging.getLogger(__name__)
_RECEIVE_BYTES: Final = 65536
_MAX_HEAD_BYTES: Final = 16384
# h11 quotes the bytes that it cannot parse.
_MAX_LOGGED_CHARACTERS: Final = 200
_FRAMING_HEADERS: Final = (b'content-length', b'transfer-encoding')


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
    """Identity that the answer must repeat.

    If it is empty, the answer must have none, and the connection is not used
    again unless it is recognized, see ``AnswerIdentities``.
    """

    expects_signature: bool = False
    """Whether the answer must be signed to count as a success."""


HeadListener = Callable[[serving.AnswerHead, float], None]
"""Takes the head of an answer, and when its request was sent."""


class Connection:
    """An open connection that carries one request at a time.

    ``identities`` tells its answers apart.
    ``on_head`` is called with the head of each answer to a request.
    """

    def __init__(
        self, stream: trio.SocketStream, on_head: HeadListener | None = None
    ) -> None:
        self._stream = stream
        self._on_head = on_head
        self._sent_at = 0.0
        self._parser = _new_parser()
        self._outgoing: Outgoing | None = None
        self._answer_complete = False
        self._ignored = _answer_bounds.IgnoredAnswers()
        self._chunk_sizes = _answer_bounds.ChunkSizes()
        self.identities = _answer_identities.AnswerIdentities()
        # When the request was sent or the last bytes arrived.
        self.last_active_at = _clock.now()
        self.idle_since = _clock.now()
        self.keep_alive_s: float | None = None
        # Whether the answer has a length or chunks.
        self.framed = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._answer_complete
            and not self.identities.exhausted
            and self._parser.is_between_messages
        )

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
        self._parser.http.start_next_cycle()
        self._answer_complete = False

    async def send(self, outgoing: Outgoing) -> ExchangeFailure | None:
        """Write a request; its body may still be in transit on return."""
        self._outgoing = outgoing
        self._ignored = _answer_bounds.IgnoredAnswers()
        self.identities.start_request(outgoing.request_id)
        head = self._start_request(outgoing)
        if head is None:
            return ExchangeFailure('the request is not valid HTTP', sent=False)
        self._sent_at = _clock.now()
        self.last_active_at = self._sent_at
        try:
            await self._stream.send_all(head + outgoing.body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            # A failed write may still have reached the endpoint.
            return ExchangeFailure(f'broken while sending: {error}', sent=True)
        return None

    async def receive_head(self) -> serving.AnswerHead | ExchangeFailure:
        """Return the head of the answer to the request.

        Answers to other requests are skipped.
        """
        self._chunk_sizes = _answer_bounds.ChunkSizes()
        while True:
            event = await self._next_final_head()
            if isinstance(event, ExchangeFailure):
                return event
            head = platform.decode_answer_head(event.status_code, event.headers)
            if self.identities.belongs(head):
                names = {name for name, _ in event.headers}
                self.framed = not names.isdisjoint(_FRAMING_HEADERS)
                return self._accept(head)
            skipped = await self._skip_mismatched(head)
            if skipped:
                return skipped

    async def receive_chunk(self) -> Chunk | EndOfBody | ExchangeFailure:
        """Return the next part of the body."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            problem = self._chunk_sizes.add(len(event.data))
            if problem:
                return ExchangeFailure(problem, sent=True)
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
        # Many small chunks would need much more memory in a list.
        body = bytearray()
        while True:
            part = await self.receive_chunk()
            if isinstance(part, ExchangeFailure):
                return part
            if isinstance(part, EndOfBody):
                return bytes(body)
            body += part.content
            if len(body) > limit:
                return ExchangeFailure(
                    f'answer larger than {limit} bytes', sent=True
                )

    def skip_copy(self, body_bytes: int) -> ExchangeFailure | None:
        """Expect another answer after one that was a copy.

        ``body_bytes`` is the size of its body. Returns a failure if there are
        too many copies, or if the connection ended with this one.
        """
        _events.REPEATED_ANSWER.log(_logger, body_bytes=body_bytes)
        return self._count_ignored(body_bytes) or self._expect_answer()

    async def close(self) -> None:
        """Close at once, which makes an endpoint stop the request."""
        await trio.aclose_forcefully(self._stream)

    def _accept(
        self, head: serving.AnswerHead
    ) -> serving.AnswerHead | ExchangeFailure:
        """Take an answer for the one that is due, if it counts as such."""
        expects_signature = bool(
            self._outgoing and self._outgoing.expects_signature
        )
        problem = self.identities.problem(head) or serving.answer_defect(
            head, expects_signature=expects_signature
        )
        if problem:
            return ExchangeFailure(problem, sent=True)
        self.keep_alive_s = head.keep_alive_s
        if self._on_head:
            self._on_head(head, self._sent_at)
        return head

    def _start_request(self, outgoing: Outgoing) -> bytes | None:
        """Pass the whole request to h11; return the bytes of its head.

        Returns None, and logs the reason, if the request is invalid.
        """
        try:
            head = self._parser.http.send(
                h11.Request(
                    method=outgoing.method,
                    target=outgoing.target,
                    headers=outgoing.headers,
                )
            )
            if outgoing.body:
                self._parser.http.send(h11.Data(data=outgoing.body))
            self._parser.http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            _events.BAD_REQUEST.log(
                _logger, request_id=outgoing.request_id, problem=str(error)
            )
            return None
        return bytes(head or b'')

    async def _next_final_head(self) -> h11.Response | ExchangeFailure:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = self._count_ignored() or await self._next_event()
        if isinstance(event, (h11.Response, ExchangeFailure)):
            return event
        return ExchangeFailure(
            f'not an answer but {type(event).__name__}', sent=True
        )

    async def _skip_mismatched(
        self, head: serving.AnswerHead
    ) -> ExchangeFailure | None:
        _events.FOREIGN_ANSWER.log(
            _logger,
            request_id=self._outgoing.request_id if self._outgoing else '',
            answered=head.request_id[:_MAX_LOGGED_CHARACTERS],
            status=head.status,
        )
        return self._count_ignored() or await self._skip_body()

    async def _skip_body(self) -> ExchangeFailure | None:
        """Read the rest of another request's answer, then expect ours."""
        while True:
            part = await self.receive_chunk()
            if isinstance(part, ExchangeFailure):
                return part
            if isinstance(part, EndOfBody):
                return self._expect_answer()
            problem = self._ignored.add_bytes(len(part.content))
            if problem:
                return ExchangeFailure(problem, sent=True)

    def _count_ignored(self, body_bytes: int = 0) -> ExchangeFailure | None:
        """Count an answer that is not ours; return a failure if too many."""
        problem = self._ignored.add_answer() or self._ignored.add_bytes(
            body_bytes
        )
        return ExchangeFailure(problem, sent=True) if problem else None

    def _expect_answer(self) -> ExchangeFailure | None:
        """Parse what follows an answer as another answer to our request."""
        self._answer_complete = False
        if self._parser.http.their_state is not h11.DONE or not self._outgoing:
            return ExchangeFailure(
                'closed after an answer to another request', True
            )
        rest = self._parser.rest
        self._parser = _new_parser()
        self._start_request(self._outgoing)
        if rest:
            self._parser.receive(rest)
        return None

    async def _next_event(self) -> h11.Event | ExchangeFailure:
        while True:
            try:
                event = await self._parser.next_event()
            except h11.RemoteProtocolError as error:
                problem = str(error)[:_MAX_LOGGED_CHARACTERS]
                return ExchangeFailure(f'not an answer: {problem}', sent=True)
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
            self._parser.receive(received)


def _new_parser() -> _parser.Parser:
    return _parser.Parser(
        h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
    )
