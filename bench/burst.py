"""Attainment and wasted spend through a burst, against a bound.

Clachan's long hearings come six times as often for a minute over steady
order-status queries; Nevesta's lookups come ten times as often over
steady day plans. Every request passes four pools under one deadline.
"""

import dataclasses
import math
import random
import types
from collections.abc import Iterator
from typing import Final

from bench import _admitting_entry, _requests

_SLOTS: Final = 4
_STAGE_ORDERS: Final = types.MappingProxyType(
    {
        2: (1, 3),
        3: (0, 1, 3),
        4: (0, 1, 2, 3),
        5: (0, 1, 2, 2, 3),
        6: (0, 0, 1, 2, 2, 3),
    }
)
_ARMS: Final = (
    _admitting_entry.Arm('no_admission', 'none', 'fifo'),
    _admitting_entry.Arm('queue_length', 'queue_length', 'fifo'),
    _admitting_entry.Arm('queue_only', 'none', 'default'),
    _admitting_entry.Arm('lentilspool', 'default', 'default'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _User:
    name: str
    """Name of the user."""

    endpoints: tuple[int, ...]
    """Endpoints of the pools for the four stages."""

    steady: _requests.Kind
    """Kind with a constant rate."""

    burst: _requests.Kind
    """Kind that comes in a burst."""


_USERS: Final = (
    _User(
        'clachan',
        (2, 2, 2, 10),
        _requests.Kind('order_status', 33, 1, 3, (0.01, 0.04, 0.03, 0.25)),
        _requests.Kind('hearing', 5, 6, 8, (0.05, 0.04, 0.05, 2)),
    ),
    _User(
        'nevesta',
        (3, 3, 3, 5),
        _requests.Kind('day_plan', 2, 1, 8, (0.05, 0.1, 0.05, 2)),
        _requests.Kind('lookup', 20, 10, 3, (0.02, 0.13, 0.03, 0.05)),
    ),
)


def run(
    *,
    seed: int = 1,
    user: str = '',
    length: float = 120,
    burst: float = 0,
    endpoints: int = 1,
    stages: int = 4,
    teams: int = 5,
    entries: int = 3,
    lag: float = 0.5,
    noise: float = 0.1,
    queue_limit: float = 28,
    **parameters: float,
) -> Iterator[dict[str, object]]:
    """Yield the figures of each arm for each user.

    The baselines are ``no_admission`` and ``queue_length``, both before
    queues in order of arrival; ``queue_only`` is our sidecar queue alone.

    ``burst`` replaces the factors of the burst, ``endpoints`` multiplies
    endpoints and load, ``length`` is in seconds, half of it burst. The teams' parts of the load and their shares are
    1, 1/2, 1/3 and so on. Further flags are policy parameters.
    """
    shares = {f'team{index}': 1 / (index + 1) for index in range(teams)}
    parameters['admission_queue_limit'] = queue_limit * endpoints
    span = _requests.Span(length, length / 4, 3 * length / 4)
    order = _STAGE_ORDERS[stages]
    for shape in _USERS:
        if user not in {'', shape.name}:
            continue
        kinds = tuple(
            _scaled(kind, order, endpoints, burst)
            for kind in (shape.steady, shape.burst)
        )
        rng = random.Random(seed)
        requests = _requests.draw(kinds, shares, span, rng, noise)
        fleet = _admitting_entry.Fleet(
            tuple(shape.endpoints[index] * endpoints for index in order),
            entries,
            _SLOTS,
            lag,
        )
        slots = [_SLOTS * pool for pool in fleet.pools]
        best = bound(requests, slots, span)
        for arm in _ARMS:
            tally, _ = _admitting_entry.simulate(
                arm, requests, fleet, shares, parameters
            )
            yield {
                'arm': arm.name,
                'seed': seed,
                'user': shape.name,
                **_figures(requests, tally, best),
            }


def _scaled(
    kind: _requests.Kind, order: tuple[int, ...], scale: int, burst: float
) -> _requests.Kind:
    factor = burst if burst and kind.factor > 1 else kind.factor
    work_s = tuple(kind.work_s[index] for index in order)
    return dataclasses.replace(
        kind, rate=kind.rate * scale, factor=factor, work_s=work_s
    )


def _figures(
    requests: list[_requests.Request],
    tally: _admitting_entry.Tally,
    best: float,
) -> dict[str, object]:
    attainment = len(tally.met) / len(requests)
    offered: dict[str, list[bool]] = {}
    for request in requests:
        met = request.number in tally.met
        offered.setdefault(request.kind.name, []).append(met)
    return {
        'requests': len(requests),
        'attainment': round(attainment, 4),
        'bound': round(best, 4),
        'attainment_of_bound': round(attainment / best, 4),
        'wasted_spend': round(tally.wasted / tally.spent, 4),
        'refused': tally.refused,
        'by_kind': {
            name: round(sum(met) / len(met), 4)
            for name, met in sorted(offered.items())
        },
    }


def bound(
    requests: list[_requests.Request], slots: list[int], span: _requests.Span
) -> float:
    """Return an upper bound of the attainment, with perfect knowledge.

    A pool must do the work of a request between its earliest arrival at
    the pool and the latest start of the stages after it. Let requests be
    met in parts and served with preemption: then in each interval the
    work whose time lies inside is at most slots times length. Under such
    constraints it is optimal to take the smallest work first, as much of
    each as fits. Times are rounded outwards to whole seconds. The bound
    is the least over the pools that are offered too much.
    """
    met = float(len(requests))
    for pool, width in enumerate(slots):
        windows = [_window(request, pool) for request in requests]
        offered_s = sum(
            work_s
            for released, _, work_s in windows
            if span.burst_start <= released < span.burst_end
        )
        if offered_s > width * (span.burst_end - span.burst_start):
            met = min(met, _most_met(windows, width))
    return met / len(requests)


def _window(
    request: _requests.Request, pool: int
) -> tuple[float, float, float]:
    begin = request.arrival + sum(request.service_s[:pool])
    end = request.deadline - sum(request.service_s[pool + 1 :])
    return begin, end, request.service_s[pool]


def _most_met(windows: list[tuple[float, float, float]], width: int) -> float:
    ends = math.ceil(max(end for _, end, _ in windows)) + 1
    rooms = [
        [width * float(end - begin) for end in range(ends)]
        for begin in range(ends)
    ]
    met = 0.0
    for begin, end, work_s in sorted(windows, key=lambda window: window[2]):
        last = math.ceil(end)
        inside = rooms[: math.floor(begin) + 1]
        room = min(min(row[last:]) for row in inside)
        taken_s = min(work_s, max(0, room))
        met += taken_s / work_s
        for row in inside:
            for place in range(last, ends):
                row[place] -= taken_s
    return met
