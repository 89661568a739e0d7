"""Trace of one request across all processes."""

from collections.abc import Iterable, Sequence

from lentilspool.explain import _log_lines

_MS = 1000
_NO_EVENT = 0


def trace_request(lines: Sequence[_log_lines.Line], request: str) -> list[str]:
    """Return a row for each log line about a request, in order of time.

    Lines about the endpoints, planners and content of the request, logged
    while it was open, are included and marked with a star.
    """
    request_lines = [line for line in lines if line.concerns(request)]
    if not request_lines:
        return []
    begin = request_lines[0].time
    names = _related_names(request_lines)
    rows = []
    for line in lines:
        if line.concerns(request):
            rows.append(_row(line, begin, ' '))
        elif begin <= line.time <= request_lines[-1].time and _mentions(
            line, names
        ):
            rows.append(_row(line, begin, '*'))
    return rows


def _related_names(lines: Iterable[_log_lines.Line]) -> set[str]:
    names = set()
    for line in lines:
        for field in ('endpoint', 'planner', 'content'):
            name = line.fields.get(field)
            if name:
                names.add(str(name))
    return names


def _mentions(line: _log_lines.Line, names: set[str]) -> bool:
    if 'request_id' in line.fields or 'requests' in line.fields:
        return False
    mentioned = {
        line.fields.get(field) for field in ('endpoint', 'planner', 'content')
    }
    mentioned.update(line.fields.get('contents', ()))
    return not names.isdisjoint(mentioned)


def _row(line: _log_lines.Line, begin: float, mark: str) -> str:
    fields = ' '.join(
        f'{name}={field}'
        for name, field in line.fields.items()
        if name not in {'request_id', 'requests', 'plan'}
    )
    after_ms = round((line.time - begin) * _MS)
    return (
        f'{mark}{after_ms:>7} ms {line.process} '
        f'{line.event} {line.message} {fields}'
    )
