"""Log lines as they were written, in the order of their times."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

_PLAIN = frozenset(('time', 'process', 'level', 'message', 'event'))


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log record."""

    time: float
    """Unix seconds at which it was written."""

    process: str
    """Process that wrote it."""

    event: int
    """Number of its event; 0 if it has none."""

    level: str
    """Level of the standard ``logging`` module."""

    message: str
    """Meaning of the event."""

    fields: dict[str, Any]
    """Inputs and outcome."""

    def concerns(self, request: str) -> bool:
        """Whether the line is about a request."""
        if self.fields.get('request_id') == request:
            return True
        return request in (self.fields.get('requests') or ())


def read(lines: Iterable[str]) -> list[Line]:
    """Return all records in the order of their times.

    What stands before the first brace of a line, such as a prefix that a
    log collector has added, is skipped. Lines that are no records are left
    out.
    """
    return sorted(_records(lines), key=lambda line: line.time)


def _records(lines: Iterable[str]) -> Iterator[Line]:
    for text in lines:
        _, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            record = msgspec.json.decode(f'{{{rest}', type=dict[str, Any])
        except msgspec.DecodeError:
            continue
        if 'time' in record and 'process' in record:
            yield _line(record)


def _line(record: dict[str, Any]) -> Line:
    return Line(
        time=float(record['time']),
        process=str(record['process']),
        event=int(record.get('event', 0)),
        level=str(record.get('level', '')),
        message=str(record.get('message', '')),
        fields={
            name: held for name, held in record.items() if name not in _PLAIN
        },
    )
