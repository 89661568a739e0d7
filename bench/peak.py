"""Worth on time when bursts overload batching stage services.

Replays the load of a day: a heavy kind with large results, a chain of three
stages, and a light kind that uses the same services, with two bursts and a
slow endpoint. Arms: one planner for all gateways; each gateway on its own;
one planner that refuses and holds back nothing.
"""

import dataclasses
import logging
import random
import types
from collections.abc import Iterator
from functools import partial
from typing import Final

from bench import _events, _stage_world
from lentilspool import serving

_DAY_S: Final = 40.0
_GATEWAYS: Final = 5
_ZONES: Final = ('a', 'b', 'c')
_BURSTS: Final = ((6, 12, 0, 2.5), (18, 24, 1, 2.5))
_SLOW: Final = types.MappingProxyType({'first-0': 4.0})
_SLOW_FROM_S: Final = 28.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    name: str
    """Name of the kind."""

    per_s: float
    """Requests a second outside bursts."""

    worth: float
    """Worth of an answer on time."""

    target_s: float
    """Time to the first event that callers want."""

    priority: int
    """Rank of the requests; 0 goes first."""

    tokens: tuple[int, int, int]
    """Shared, own and generated tokens."""

    stages: tuple[tuple[str, tuple[int, ...], float, int], ...]
    """Service, stages before, bytes of a result, mean pieces."""


_CHAIN: Final = (
    ('first', (), 8000.0, 1),
    ('second', (0,), 60000.0, 8),
    ('third', (1,), 6000.0, 16),
)
_SITES: Final = types.MappingProxyType(
    {
        'nevesta': (
            _Kind(
                'plan',
                3.4,
                3.4,
                1,
                1,
                (13300, 3720, 120),
                (('first', (), 3e6, 2),),
            ),
            _Kind('brief', 2.6, 2.7, 1.6, 0, (6300, 2890, 52), _CHAIN),
            _Kind('reply', 6.1, 0.31, 1.5, 2, (350, 1110, 172), _CHAIN),
        ),
        'clachan': (
            _Kind('digest', 4.4, 3.4, 1.7, 1, (13300, 3720, 120), _CHAIN),
            _Kind('check', 3.4, 2.7, 1.6, 0, (6300, 2890, 52), _CHAIN),
            _Kind(
                'reply',
                8,
                0.31,
                0.8,
                2,
                (350, 1110, 172),
                (('first', (), 3e6, 2),),
            ),
        ),
    }
)
_BATCHES: Final = types.MappingProxyType(
    {
        'first': serving.BatchLimits(1, 2, 4, 0.15, 0.032, 18e6, 4),
        'second': serving.BatchLimits(1, 2, 13, 0.15, 0.0098, 2.2e6, 4),
        'third': serving.BatchLimits(1, 2, 25, 0.15, 0.0052, 0.44e6, 4),
    }
)
_NOTHING: Final = dataclasses.replace(
    serving.PlanLimits(), admit_share=99, late_wait_share=99, busy_s=99
)
_ARMS: Final = (
    ('lentilspool', 1, serving.PlanLimits()),
    ('each_alone', _GATEWAYS, serving.PlanLimits()),
    ('refuse_nothing', 1, _NOTHING),
)


def run(seed: int, site_like: str = 'nevesta') -> Iterator[dict[str, object]]:
    """Yield the figures of each arm."""
    kinds = _SITES[site_like]
    # Each call that an endpoint refuses would be a line.
    logging.getLogger('lentilspool').setLevel(logging.ERROR)
    for name, planners, limits in _ARMS:
        tally = _play(kinds, planners, limits, seed)
        yield {
            'arm': name,
            'seed': seed,
            'site_like': site_like,
            'worth_on_time': round(tally.on_time / tally.asked, 4),
            'late': tally.late,
            'refused': tally.refused,
            'requests': tally.requests,
            'wasted_share': round(tally.wasted_s / max(tally.spent_s, 1), 4),
        }


def _play(
    kinds: tuple[_Kind, ...],
    planners: int,
    limits: serving.PlanLimits,
    seed: int,
) -> _stage_world.Tally:
    queue = _events.EventQueue()
    endpoint_index = _endpoint_index()
    services = {
        name: serving.Service(name, 370, batches=batches)
        for name, batches in _BATCHES.items()
    }
    engine = serving.EngineLimits(64, 600_000, can_fetch=True)
    services['model'] = serving.Service('model', 370, engine=engine)
    slow: dict[str, float] = {}
    endpoints = {
        name: _stage_world.Endpoints(queue, batches, slow)
        for name, batches in _BATCHES.items()
    }
    gateways = [
        _stage_world.Gateway(queue, endpoint_index, services, limits)
        for _ in range(planners)
    ]
    for one in gateways:
        one.endpoints = endpoints
        queue.every(0.1, one.step)
    queue.at(_SLOW_FROM_S, lambda: slow.update(_SLOW))
    rng = random.Random(seed)
    for index, kind in enumerate(kinds):
        _schedule(queue, gateways, (index, kind), rng)
    queue.run(_DAY_S + 10)
    return _summed([planning.tally for planning in gateways])


def _schedule(
    queue: _events.EventQueue,
    gateways: list[_stage_world.Gateway],
    numbered: tuple[int, _Kind],
    rng: random.Random,
) -> None:
    index, kind = numbered
    now = 0.0
    count = 0
    while now < _DAY_S:
        rate = kind.per_s
        for begin, end, which, factor in _BURSTS:
            if begin <= now < end and which == index:
                rate *= factor
        now += rng.expovariate(rate)
        count += 1
        plan_request = _plan_request(kind, count, rng)
        gateway = gateways[count % len(gateways)]
        queue.at(now, partial(gateway.submit, plan_request, kind.worth))


def _plan_request(
    kind: _Kind, count: int, rng: random.Random
) -> serving.PlanRequest:
    shared, own, output = kind.tokens
    key = f'{kind.name}-{count}'
    topic = f'{kind.name}-{rng.randrange(100)}'
    parts = (
        serving.PromptPart(topic, shared),
        serving.PromptPart(key, own),
    )
    stages = tuple(
        serving.StageRequest(
            service,
            after,
            size,
            max(round(rng.gauss(pieces, pieces / 3)), 1),
        )
        for service, after, size, pieces in kind.stages
    )
    return serving.PlanRequest(
        key=key,
        request_id=key,
        route=kind.name,
        service='model',
        stages=stages,
        piece_key=topic,
        prompt=serving.Prompt('m', shared + own, output, parts),
        target_s=kind.target_s,
        deadline_s=6,
        priority=kind.priority,
        zone='a',
    )


def _endpoint_index() -> serving.EndpointIndex:
    found = {}
    for service in (*_BATCHES, 'model'):
        for index, zone in enumerate(_ZONES):
            name = f'{service}-{index}'
            found[name] = serving.Endpoint(
                name, service, '10.0.0.1', 1, zone, 1, ready=True, born_ms=1
            )
    endpoint_index = serving.EndpointIndex()
    endpoint_index.replace(found)
    return endpoint_index


def _summed(tallies: list[_stage_world.Tally]) -> _stage_world.Tally:
    total = _stage_world.Tally()
    for tally in tallies:
        for field in dataclasses.fields(tally):
            held = getattr(total, field.name) + getattr(tally, field.name)
            setattr(total, field.name, held)
    return total
