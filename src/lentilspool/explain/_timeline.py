"""Counts of state changes and failures over time."""

import collections
from collections.abc import Iterable, Iterator, Sequence

from lentilspool.explain import _log_lines

_HTTP_OK = 200
_OUTCOME_FIELDS = ('ready', 'reason', 'end', 'status', 'planner', 'source')


def timeline(
    lines: Sequence[_log_lines.Line], step_s: float = 1.0
) -> Iterator[str]:
    """Yield a row with a count for each time step, event and outcome.

    Lines about requests that were answered successfully are left out.
    """
    if not lines:
        return
    begin = lines[0].time
    counts: collections.Counter[tuple[int, int, str, str]]
    counts = collections.Counter()
    for line in lines:
        if _is_notable(line):
            step = int((line.time - begin) / step_s)
            outcome = ' '.join(_outcome(line))
            counts[(step, line.event, line.message, outcome)] += 1
    for (step, event, message, outcome), count in sorted(counts.items()):
        yield f'{step * step_s:>7.1f} s {count:>5} x {event} {message} {outcome}'


def _is_notable(line: _log_lines.Line) -> bool:
    fields = line.fields
    if fields.get('status') == _HTTP_OK or fields.get('end') == 'answered':
        return False
    return line.level != 'INFO' or bool(set(_outcome(line)))


def _outcome(line: _log_lines.Line) -> Iterable[str]:
    return [
        f'{name}={line.fields[name]}'
        for name in _OUTCOME_FIELDS
        if name in line.fields
    ]
