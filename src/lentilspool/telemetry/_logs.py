"""Log records as JSON lines, by default on standard error."""

import json
import logging
import sys
from typing import Any, TextIO


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Records of numbered events also have ``event`` and the fields that were
    logged with them.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON without a line break."""
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
    """Make the root logger write JSON lines to a stream."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(process))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
