"""Tests of request traces and of the timeline."""

import json

from lentilspool import explain


def line(time: float, process: str, event: int, **fields: object) -> str:
    record = {
        'time': time,
        'process': process,
        'level': 'INFO',
        'message': f'event {event}',
        'event': event,
        **fields,
    }
    return f'   {time} {process} {json.dumps(record)}'


LINES = [
    line(3, 'b', 515, request_id='r', endpoint='e1'),
    line(1, 'a', 520, request_id='r'),
    line(2, 'b', 512, requests=['q', 'r'], endpoint='s1'),
    line(2.5, 'b', 225, endpoint='e1', ready=False),
    line(2.6, 'b', 225, endpoint='e9', ready=False),
    line(4, 'a', 523, request_id='r', status=502, reason='unknown'),
    line(4.5, 'a', 523, request_id='q', status=200, reason='delivered'),
    'no record at all',
    '{"half": ',
]


class TestTraceRequest:
    def test_lines_of_all_processes_are_sorted_by_time(self) -> None:
        rows = explain.trace_request(explain.read(LINES), 'r')
        events = [int(row.split(' ms ')[1].split()[1]) for row in rows]
        assert events == [520, 512, 225, 515, 523]

    def test_event_of_an_endpoint_of_the_request_is_marked(self) -> None:
        rows = explain.trace_request(explain.read(LINES), 'r')
        assert [row[0] for row in rows] == [' ', ' ', '*', ' ', ' ']

    def test_death_of_an_endpoint_under_the_content_is_marked(self) -> None:
        lines = [
            line(1, 'a', 520, request_id='r', content='c'),
            line(2, 'b', 823, endpoint='e1', contents=['b', 'c']),
            line(2.5, 'b', 823, endpoint='e2', contents=['d']),
            line(3, 'a', 523, request_id='r', status=502),
        ]
        rows = explain.trace_request(explain.read(lines), 'r')
        assert [row[0] for row in rows] == [' ', '*', ' ']

    def test_unknown_request_has_no_rows(self) -> None:
        assert not explain.trace_request(explain.read(LINES), 'x')


class TestTimeline:
    def test_successful_requests_are_not_counted(self) -> None:
        rows = list(explain.timeline(explain.read(LINES)))
        assert any('status=502' in row for row in rows)
        assert not any('status=200' in row for row in rows)
