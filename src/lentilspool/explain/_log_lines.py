"""Parsing of log lines into records."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

_COMMON_KEYS = frozenset(('time', 'process', 'level', 'message', 'event'))


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log record, parsed from a line."""

    time: float
    """Time of the record in Unix seconds."""

    process: str
    """Name of the process that wrote the record."""

    event: int
    """Number of the event; 0 if the record has none."""

    level: str
    """Level of the standard ``logging`` module."""

    message: str
    """Message of the record; for an event, its meaning."""

    fields: dict[str, Any]
    """Remaining keys of the record: the fields that were logged."""

    def concerns(self, request: str) -> bool:
        """Whether the record is about the request with this id."""
        if self.fields.get('request_id') == request:
            return True
        return request in (self.fields.get('requests') or ())


def read(lines: Iterable[str]) -> list[Line]:
    """Parse log lines and return the records sorted by time.

    Text before the first brace of a line is skipped, because log collectors
    may add a prefix. Lines that are not records are ignored.
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
            name: field
            for name, field in record.items()
            if name not in _COMMON_KEYS
        },
    )
