"""Writes and reads histories: a file of JSON lines."""

import dataclasses
import pathlib
from typing import Final

import msgspec

from soak import _history, _history_head

_NAMED: Final = msgspec.json.Decoder(_history_head.Named)
_HEADER: Final = msgspec.json.Decoder(_history_head.Header)
_LINE: Final = msgspec.json.Decoder(_history.Line)


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryError:
    """Why a file is not a whole history."""

    line: int
    """Number of the line, from 1."""

    reason: str
    """What is wrong with it."""

    def __str__(self) -> str:
        return f'line {self.line}: {self.reason}'


def write(
    path: pathlib.Path,
    header: _history_head.Header,
    observations: list[_history.Observation],
) -> None:
    """Write a whole history."""
    last = observations[-1].at if observations else 0
    closed = _history.Closed(last, len(observations))
    lines = [msgspec.json.encode(one) for one in (header, *observations)]
    lines += [msgspec.json.encode(closed), b'']
    path.write_bytes(b'\n'.join(lines))


def read(path: pathlib.Path) -> _history.History | HistoryError:
    """Read a whole history."""
    lines = path.read_bytes().split(b'\n')
    if lines.pop():
        return HistoryError(len(lines) + 1, 'the line is cut off')
    if not lines:
        return HistoryError(1, 'the file is empty')
    header = _header(lines[0])
    if isinstance(header, HistoryError):
        return header
    observations: list[_history.Observation] = []
    for number, line in enumerate(lines[1:], start=2):
        try:
            observation = _LINE.decode(line)
        except msgspec.MsgspecError as error:
            return HistoryError(number, f'not an observation: {error}')
        observations.append(observation)
    return _whole(header, observations)


def _header(line: bytes) -> _history_head.Header | HistoryError:
    try:
        named = _NAMED.decode(line)
    except (msgspec.MsgspecError, RecursionError) as error:
        return HistoryError(1, f'not the head of a history: {error}')
    found = (named.format, named.version)
    if found != (_history_head.FORMAT, _history_head.VERSION):
        expected = f'{_history_head.FORMAT} {_history_head.VERSION}'
        return HistoryError(
            1, f'expected {expected}, found {named.format} {named.version}'
        )
    try:
        return _HEADER.decode(line)
    except msgspec.MsgspecError as error:
        return HistoryError(1, f'not the head of a history: {error}')


def _whole(
    header: _history_head.Header, observations: list[_history.Observation]
) -> _history.History | HistoryError:
    """Check that all lines are there, in order of time."""
    last_line = len(observations) + 1
    closed = observations.pop() if observations else None
    if not isinstance(closed, _history.Closed):
        return HistoryError(last_line + 1, 'the end of the history is missing')
    latest = 0.0
    for number, one in enumerate(observations, start=2):
        if isinstance(one, _history.Closed):
            return HistoryError(number, 'an end, with lines behind it')
        if one.at < latest:
            return HistoryError(number, 'earlier than the line before')
        latest = one.at
    if closed.at < latest:
        return HistoryError(last_line, 'earlier than the line before')
    if closed.observations != len(observations):
        reason = f'{closed.observations} observations expected'
        return HistoryError(last_line, reason)
    return _history.History(header.bounds, tuple(observations))
