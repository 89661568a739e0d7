"""Tests of log lines that never wait for their reader."""

import json
import logging
import os

from lentilspool import telemetry


def record(text: str) -> logging.LogRecord:
    made = logging.LogRecord('x', logging.INFO, '', 1, text, None, None)
    made.event = 7
    made.fields = {'request_id': 'r'}
    return made


class TestLineHandler:
    def test_line_has_event_and_fields(self) -> None:
        reader, writer = os.pipe()
        telemetry.LineHandler('p', writer).emit(record('done'))
        line = json.loads(os.read(reader, 10_000))
        assert line['event'] == 7
        assert line['request_id'] == 'r'
        assert line['process'] == 'p'

    def test_lines_that_nobody_reads_are_counted_not_waited_for(self) -> None:
        reader, writer = os.pipe()
        handler = telemetry.LineHandler('p', writer)
        for _ in range(5000):
            handler.emit(record('x' * 200))
        assert handler.dropped > 0
        received = b''
        while b'"dropped"' not in received:
            received += os.read(reader, 1_000_000)
            handler.emit(record('again'))
        lines = received.splitlines()
        assert any(json.loads(line).get('dropped') for line in lines[:-1])
