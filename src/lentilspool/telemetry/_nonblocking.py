"""JSON lines on standard output that never wait for their reader."""

import logging
import os
import sys
from typing import Any, Final

import msgspec

_MOST_WAITING_BYTES: Final = 262_144
_DROPPED_EVENT: Final = 126


class LineHandler(logging.Handler):
    """Writes each record as a line; drops lines while nobody reads.

    Lines that the pipe does not take wait up to a bound, then are counted
    and dropped; the next line that is written tells how many.
    """

    def __init__(self, process: str, descriptor: int) -> None:
        super().__init__()
        self._process = process
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        line = self._line(record)
        if len(self._waiting) + len(line) > _MOST_WAITING_BYTES:
            self._dropped += 1
        else:
            self._waiting += line
        self._write()

    def _write(self) -> None:
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody can be told: the reader of the logs is gone.
            self._dropped += 1
            self._waiting.clear()
            return
        del self._waiting[:written]
        if self._dropped and not self._waiting:
            self._waiting += _encoded(
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
        return _encoded(line)


def _encoded(line: dict[str, Any]) -> bytes:
    return b'%b\n' % msgspec.json.encode(line, enc_hook=str)


def configure_lines(process: str, level: str) -> LineHandler:
    """Send the root logger's records to standard output."""
    handler = LineHandler(process, sys.stdout.fileno())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler
