"""Tests of event splitting and of the removal of repeated events."""

from hypothesis import given
from hypothesis import strategies as st

from lentilspool.gateway import _event_stream

EVENTS = [f'id: {number}\ndata: x\n\n'.encode() for number in range(1, 6)]


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
