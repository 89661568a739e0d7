"""JSON log lines on standard output, written without blocking."""

import logging
import os
import sys
from typing import Any, Final

import msgspec

_BUFFER_CAPACITY_BYTES: Final = 262_144
_DROPPED_EVENT: Final = 126


class NonBlockingHandler(logging.Handler):
    """Writes each record as one line of JSON; never blocks on a slow reader.

    Lines that do not fit into the pipe are buffered. When the buffer is full,
    lines are dropped and counted; once it has drained, a line with the count
    is written.
    """

    def __init__(self, process: str, descriptor: int) -> None:
        super().__init__()
        self._process = process
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of dropped lines that no line has reported yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer a record, or drop it if the buffer is full."""
        line = self._line(record)
        if len(self._buffer) + len(line) > _BUFFER_CAPACITY_BYTES:
            self._dropped += 1
        else:
            self._buffer += line
        self._write()

    def _write(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged.
            self._dropped += 1
            self._buffer.clear()
            return
        del self._buffer[:written]
        if self._dropped and not self._buffer:
            self._buffer += _encode_line(
                {
                    'process': self._process,
                    'event': _DROPPED_EVENT,
                    'dropped': self._dropped,
                }
            )
            self._dropped = 0

    def _line(self, record: logging.LogRecord) -> bytes:
        line: dict[str, Any] = {
            'time': round(record.created, 3),
            'process': self._process,
            'level': record.levelname,
            'message': record.getMessage(),
        }
        event = getattr(record, 'event', None)
        if event is not None:
            line['event'] = event
            line.update(getattr(record, 'fields', {}))
        if record.exc_info and record.exc_info[1]:
            line['exception'] = logging.Formatter().formatException(
                record.exc_info
            )
        return _encode_line(line)


def _encode_line(line: dict[str, Any]) -> bytes:
    return b'%b\n' % msgspec.json.encode(line, enc_hook=str)


def configure_nonblocking_logs(process: str, level: str) -> NonBlockingHandler:
    """Make the root logger write to standard output without blocking."""
    handler = NonBlockingHandler(process, sys.stdout.fileno())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler
