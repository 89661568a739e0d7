"""Parsing of HTTP/1.1 with h11, in steps that hold the event loop only briefly.

h11 parses whatever it has received at once, and the cost of a chunk header
grows with the square of its length.
"""

from typing import Final

import h11
import trio

_PIECE_BYTES: Final = 2048
# Also bounds trailers, which h11 keeps in the same buffer.
_MAX_CHUNK_HEADER_BYTES: Final = 1024
_EVENTS_PER_TURN: Final = 64
ParsedEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class Parser:
    """Passes received bytes to h11 in pieces, as it needs them."""

    def __init__(self, http: h11.Connection) -> None:
        self.http = http
        self._received = bytearray()
        self._ended = False
        self._events = 0

    @property
    def rest(self) -> bytes:
        """Received bytes that belong to no event so far."""
        return self.http.trailing_data[0] + bytes(self._received)

    @property
    def rest_size(self) -> int:
        """Number of received bytes that belong to no event so far."""
        return len(self.http.trailing_data[0]) + len(self._received)

    @property
    def ended(self) -> bool:
        """Whether the end of the connection was received."""
        return self._ended

    @property
    def is_between_messages(self) -> bool:
        """Whether request and answer are complete, and no byte follows."""
        http_states = {self.http.our_state, self.http.their_state}
        return (
            http_states == {h11.DONE} and not self.ended and not self.rest_size
        )

    def receive(self, received: bytes) -> None:
        """Add received bytes; no bytes are the end of the connection."""
        self._received += received
        self._ended = self._ended or not received

    async def next_event(self) -> ParsedEvent:
        """Return the next event, and give other tasks their turns.

        Raises ``h11.RemoteProtocolError`` like h11, and for a chunk header or
        trailers that are too long.
        """
        self._events += 1
        if not self._events % _EVENTS_PER_TURN:
            await trio.lowlevel.checkpoint()
        event = self.http.next_event()
        while event is h11.NEED_DATA and self._received:
            self._check_chunk_header()
            self.http.receive_data(bytes(self._received[:_PIECE_BYTES]))
            del self._received[:_PIECE_BYTES]
            event = self.http.next_event()
        if event is h11.NEED_DATA:
            self._check_chunk_header()
            if self._ended:
                self.http.receive_data(b'')
                event = self.http.next_event()
        return event

    def _check_chunk_header(self) -> None:
        if self.http.their_state is not h11.SEND_BODY:
            return
        if len(self.http.trailing_data[0]) > _MAX_CHUNK_HEADER_BYTES:
            raise h11.RemoteProtocolError('chunk header or trailers too long')
