"""Tests of joining log lines to one request's way."""

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


class TestWay:
    def test_lines_of_all_processes_in_order(self) -> None:
        rows = explain.way(explain.read(LINES), 'r')
        events = [int(row.split(' ms ')[1].split()[1]) for row in rows]
        assert events == [520, 512, 225, 515, 523]

    def test_change_of_an_endpoint_that_it_met_is_marked(self) -> None:
        rows = explain.way(explain.read(LINES), 'r')
        assert [row[0] for row in rows] == [' ', ' ', '*', ' ', ' ']

    def test_unknown_request_has_no_way(self) -> None:
        assert not explain.way(explain.read(LINES), 'x')


class TestTimeline:
    def test_outcomes_are_counted_without_those_that_went_well(self) -> None:
        rows = list(explain.timeline(explain.read(LINES)))
        assert any('status=502' in row for row in rows)
        assert not any('status=200' in row for row in rows)
