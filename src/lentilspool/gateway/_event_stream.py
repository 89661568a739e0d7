"""Splits a body into events, and passes each on once."""

import re
from typing import Final

_END: Final = re.compile(rb'\r?\n\r?\n')
_ID: Final = re.compile(rb'(?:^|\n)id:\s*(\d+)')


class Splitter:
    """Collects bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not complete."""
        return self._rest

    def take(self, content: bytes) -> list[bytes]:
        """Add bytes; return the events that they complete."""
        self._rest += content
        events = []
        begin = 0
        for end in _END.finditer(self._rest):
            events.append(self._rest[begin : end.end()])
            begin = end.end()
        self._rest = self._rest[begin:]
        return events


class Passed:
    """Events that the caller has got, over all attempts."""

    def __init__(self, last_event: int | None) -> None:
        self._last_event = last_event
        self.failure = b''

    @property
    def last_event(self) -> int | None:
        """Number of the last event that was passed on, if there is one."""
        return self._last_event

    def new(self, events: list[bytes]) -> bytes:
        """Return the bytes of events that were not passed on before."""
        fresh = []
        for event in events:
            found = _ID.search(event)
            number = int(found[1]) if found else None
            if number is not None:
                if self._last_event is not None and number <= self._last_event:
                    continue
                self._last_event = number
            fresh.append(event)
        return b''.join(fresh)
