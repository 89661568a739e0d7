"""Splitting of a body into events, and removal of repeated events."""

import re
from typing import Final

_EVENT_END: Final = re.compile(rb'\n\r?\n')
# An end that began in the last two bytes may be completed by the next ones.
_END_OVERLAP: Final = 2
_MAX_EVENT_BYTES: Final = 1_048_576
# Python refuses to convert very long numbers.
_EVENT_ID: Final = re.compile(rb'(?:^|\n)id:\s*(\d{1,18})(?!\d)')


class EventSplitter:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._incomplete = bytearray()

    @property
    def incomplete(self) -> bytes:
        """Bytes received of an event that is still incomplete."""
        return bytes(self._incomplete)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is larger than any event may be."""
        return len(self._incomplete) > _MAX_EVENT_BYTES

    def feed(self, content: bytes) -> list[bytes]:
        """Add received bytes; return the events that they complete.

        Bytes of an incomplete event are not searched again.
        """
        search_from = max(len(self._incomplete) - _END_OVERLAP, 0)
        self._incomplete += content
        events = []
        begin = 0
        for end in _EVENT_END.finditer(self._incomplete, search_from):
            events.append(bytes(self._incomplete[begin : end.end()]))
            begin = end.end()
        del self._incomplete[:begin]
        return events


class DeliveredEvents:
    """Events already sent to the caller, over all attempts."""

    def __init__(self, last_event: int | None) -> None:
        self._last_event = last_event
        self.failure_body = b''

    @property
    def last_event(self) -> int | None:
        """Number of the last event sent to the caller; None if none was."""
        return self._last_event

    def select_new(self, events: list[bytes]) -> bytes:
        """Return the bytes of the events that the caller does not have yet.

        Events without a number are never regarded as repeated.
        """
        unseen = []
        for event in events:
            found = _EVENT_ID.search(event)
            number = int(found[1]) if found else None
            if number is not None:
                if self._last_event is not None and number <= self._last_event:
                    continue
                self._last_event = number
            unseen.append(event)
        return b''.join(unseen)
