"""Tests of events: whole ones, each passed on once."""

from hypothesis import given
from hypothesis import strategies as st

from lentilspool.gateway import _event_stream

EVENTS = [f'id: {number}\ndata: x\n\n'.encode() for number in range(1, 6)]


class TestSplitter:
    @given(st.lists(st.integers(min_value=1, max_value=40), max_size=20))
    def test_any_cut_gives_the_same_events(self, sizes: list[int]) -> None:
        splitter = _event_stream.Splitter()
        rest = b''.join(EVENTS)
        found = []
        for size in sizes:
            found.extend(splitter.take(rest[:size]))
            rest = rest[size:]
        found.extend(splitter.take(rest))
        assert found == EVENTS
        assert splitter.rest == b''

    def test_half_an_event_is_kept_back(self) -> None:
        splitter = _event_stream.Splitter()
        assert splitter.take(b'%bid: 2\nda' % EVENTS[0]) == [EVENTS[0]]
        assert splitter.rest == b'id: 2\nda'


class TestPassed:
    def test_events_of_another_run_go_on_without_repeats(self) -> None:
        passed = _event_stream.Passed(None)
        assert passed.new(EVENTS[:3]) == b''.join(EVENTS[:3])
        assert passed.last_event == 3
        assert passed.new(EVENTS[1:]) == b''.join(EVENTS[3:])

    def test_caller_who_resumes_gets_later_events_only(self) -> None:
        passed = _event_stream.Passed(4)
        assert passed.new(EVENTS) == EVENTS[4]
