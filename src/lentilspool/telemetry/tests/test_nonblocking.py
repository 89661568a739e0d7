"""Tests of log lines that are written without blocking."""

import json
import logging
import os

from lentilspool import telemetry


def record(text: str) -> logging.LogRecord:
    log_record = logging.LogRecord('x', logging.INFO, '', 1, text, None, None)
    log_record.event = 7
    log_record.fields = {'request_id': 'r'}
    return log_record


class TestNonBlockingHandler:
    def test_line_has_event_and_fields(self) -> None:
        reader, writer = os.pipe()
        telemetry.NonBlockingHandler('p', writer).emit(record('done'))
        line = json.loads(os.read(reader, 10_000))
        assert line['event'] == 7
        assert line['request_id'] == 'r'
        assert line['process'] == 'p'

    def test_unread_lines_are_dropped_and_counted_without_blocking(
        self,
    ) -> None:
        reader, writer = os.pipe()
        handler = telemetry.NonBlockingHandler('p', writer)
        for _ in range(5000):
            handler.emit(record('x' * 200))
        assert handler.dropped > 0
        received = b''
        while b'"dropped"' not in received:
            received += os.read(reader, 1_000_000)
            handler.emit(record('again'))
        lines = received.splitlines()
        assert any(json.loads(line).get('dropped') for line in lines[:-1])
