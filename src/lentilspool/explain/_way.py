"""One request's way through all processes."""

from collections.abc import Iterable, Sequence

from lentilspool.explain import _reading

_MS = 1000
_NO_EVENT = 0


def way(lines: Sequence[_reading.Line], request: str) -> list[str]:
    """Return a row for each decision about a request, in order.

    Decisions about the endpoints and gateways that the request met, made
    while it was open, are put in between; they are marked with a star.
    """
    own = [line for line in lines if line.concerns(request)]
    if not own:
        return []
    begin = own[0].time
    names = _met(own)
    rows = []
    for line in lines:
        if line.concerns(request):
            rows.append(_row(line, begin, ' '))
        elif begin <= line.time <= own[-1].time and _about(line, names):
            rows.append(_row(line, begin, '*'))
    return rows


def _met(lines: Iterable[_reading.Line]) -> set[str]:
    names = set()
    for line in lines:
        for field in ('endpoint', 'planner'):
            name = line.fields.get(field)
            if name:
                names.add(str(name))
    return names


def _about(line: _reading.Line, names: set[str]) -> bool:
    if 'request_id' in line.fields or 'requests' in line.fields:
        return False
    told = (line.fields.get('endpoint'), line.fields.get('planner'))
    return not names.isdisjoint(told)


def _row(line: _reading.Line, begin: float, mark: str) -> str:
    fields = ' '.join(
        f'{name}={held}'
        for name, held in line.fields.items()
        if name not in {'request_id', 'requests', 'plan'}
    )
    after_ms = round((line.time - begin) * _MS)
    return (
        f'{mark}{after_ms:>7} ms {line.process} '
        f'{line.event} {line.message} {fields}'
    )
