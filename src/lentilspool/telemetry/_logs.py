"""JSON lines on the standard error stream, one for each log record."""

import json
import logging
import sys
from typing import Any, TextIO


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Records of numbered events carry ``event`` and their own fields; others
    carry the message alone.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of JSON."""
        line: dict[str, Any] = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'process': self._process,
            'logger': record.name,
            'message': record.getMessage(),
        }
        event = getattr(record, 'event', None)
        if event is not None:
            line['event'] = event
            line.update(getattr(record, 'fields', {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logs(
    process: str, level: str, stream: TextIO | None = None
) -> None:
    """Send the root logger's records to a stream as JSON lines."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(process))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
