"""Tests of event splitting and of the removal of repeated events."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilspool.gateway import _event_stream

EVENTS = [f'id: {number}\ndata: x\n\n'.encode() for number in range(1, 6)]
EVENT = re.compile(rb'.*?\n\r?\n', re.DOTALL)
STREAMS = st.lists(
    st.sampled_from([b'\n', b'\r', b'\r\n', b'\n\n', b'a', b'id: 1']),
    max_size=40,
).map(b''.join)


class CountingPattern:
    """Counts the bytes that a pattern may examine."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self._pattern = pattern
        self.scanned = 0

    def finditer(
        self, text: bytearray, begin: int = 0
    ) -> list[re.Match[bytes]]:
        self.scanned += len(text) - begin
        return list(self._pattern.finditer(text, begin))

    def search(self, text: bytearray, begin: int = 0) -> re.Match[bytes] | None:
        found = self._pattern.search(text, begin)
        self.scanned += (found.end() if found else len(text)) - begin
        return found


class TestEventSplitter:
    @given(st.lists(st.integers(min_value=1, max_value=40), max_size=20))
    def test_events_do_not_depend_on_chunk_sizes(
        self, sizes: list[int]
    ) -> None:
        splitter = _event_stream.EventSplitter()
        rest = b''.join(EVENTS)
        found = []
        for size in sizes:
            found.extend(splitter.feed(rest[:size]))
            rest = rest[size:]
        found.extend(splitter.feed(rest))
        assert found == EVENTS
        assert splitter.incomplete == b''

    @given(STREAMS, st.lists(st.integers(min_value=0, max_value=9)))
    def test_any_split_of_any_bytes_gives_the_same_events(
        self, stream: bytes, sizes: list[int]
    ) -> None:
        splitter = _event_stream.EventSplitter()
        rest = stream
        found = []
        for size in sizes:
            found.extend(splitter.feed(rest[:size]))
            rest = rest[size:]
        found.extend(splitter.feed(rest))
        assert found == EVENT.findall(stream)
        assert b''.join([*found, splitter.incomplete]) == stream

    @pytest.mark.parametrize('size', [1, 100, 10_000])
    def test_cost_of_a_long_event_is_linear(
        self, size: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        counting = CountingPattern(_event_stream._EVENT_END)
        monkeypatch.setattr(_event_stream, '_EVENT_END', counting)
        splitter = _event_stream.EventSplitter()
        for _ in range(100_000 // size):
            assert not splitter.feed(b'x' * size)
        assert counting.scanned <= 4 * 100_000

    def test_event_without_end_is_oversized(self) -> None:
        splitter = _event_stream.EventSplitter()
        splitter.feed(b'%b%b' % (b'\n\n' * 600_000, b'x' * 1_000_000))
        assert not splitter.is_oversized
        splitter.feed(b'x' * 100_000)
        assert splitter.is_oversized

    def test_incomplete_event_is_not_returned(self) -> None:
        splitter = _event_stream.EventSplitter()
        assert splitter.feed(b'%bid: 2\nda' % EVENTS[0]) == [EVENTS[0]]
        assert splitter.incomplete == b'id: 2\nda'


class TestDeliveredEvents:
    def test_second_attempt_repeats_no_event(self) -> None:
        delivered = _event_stream.DeliveredEvents(None)
        assert delivered.select_new(EVENTS[:3]) == b''.join(EVENTS[:3])
        assert delivered.last_event == 3
        assert delivered.select_new(EVENTS[1:]) == b''.join(EVENTS[3:])

    def test_resuming_caller_gets_only_later_events(self) -> None:
        delivered = _event_stream.DeliveredEvents(4)
        assert delivered.select_new(EVENTS) == EVENTS[4]

    def test_event_with_an_overlong_number_has_none(self) -> None:
        delivered = _event_stream.DeliveredEvents(4)
        event = b'id: %b\ndata: x\n\n' % (b'9' * 5000)
        assert delivered.select_new([event]) == event
        assert delivered.last_event == 4
