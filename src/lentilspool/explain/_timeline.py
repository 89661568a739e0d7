"""What processes came to believe, second by second."""

import collections
from collections.abc import Iterable, Iterator, Sequence

from lentilspool.explain import _reading

_OK = 200
_BELIEFS = ('ready', 'reason', 'end', 'status', 'planner', 'source')


def timeline(
    lines: Sequence[_reading.Line], step_s: float = 1.0
) -> Iterator[str]:
    """Yield a row for each step, event and outcome, with its count.

    Lines of requests that were served as they should be are left out.
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


def _is_notable(line: _reading.Line) -> bool:
    fields = line.fields
    if fields.get('status') == _OK or fields.get('end') == 'answered':
        return False
    return line.level != 'INFO' or bool(set(_outcome(line)))


def _outcome(line: _reading.Line) -> Iterable[str]:
    return [
        f'{name}={line.fields[name]}'
        for name in _BELIEFS
        if name in line.fields
    ]
