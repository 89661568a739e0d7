"""Processor time of one routing and one admission decision.

Every figure is the median of several batches, in microseconds, and as a
ratio to a bare ``random.choice`` over the same endpoints in the same run.
The growth arms tell how a figure grows from 8 to 512 endpoints: 64 would
be linear. For admission, the entry has two admitted requests in hand for
each endpoint.
"""

import functools
import random
import statistics
import time
from collections.abc import Callable, Iterator

from lentilspool import kernel, limits, routing

_SIZES = (8, 64, 512)
_BATCHES = 15
_POLICIES = ('default', 'random', 'least_outstanding', 'two_choices')
_STAGES = ('encode', 'retrieve', 'rerank', 'generate')
_BLOCKS = 24
_BLOCK_TOKENS = 64


def _microseconds(call: Callable[[], object], calls: int) -> float:
    batches = []
    for _ in range(_BATCHES):
        start = time.process_time()
        for _ in range(calls):
            call()
        batches.append((time.process_time() - start) / calls)
    return statistics.median(batches) * 1000000


def _candidates(size: int, rng: random.Random) -> list[routing.Candidate]:
    return [
        routing.Candidate(
            name=f'endpoint-{number}',
            zone=str(number % 3),
            in_flight=rng.randint(0, 8),
            reported_other_work=rng.randint(0, 8),
        )
        for number in range(size)
    ]


def _route(
    name: str, candidates: list[routing.Candidate], rng: random.Random
) -> Callable[[], object]:
    find = kernel.registry.find(kernel.PluginKind.routing_policy, name)
    policy: routing.RoutingPolicy = find()
    index = routing.PrefixIndex()
    prefix = tuple(range(_BLOCKS))
    for holder in candidates[:4]:
        index.expect_cached(holder.name, prefix, 0)

    def decide() -> object:
        cached = {}
        if name == 'default':
            depths = index.cached_block_counts(prefix, 1)
            cached = {
                holder: depth * _BLOCK_TOKENS
                for holder, depth in depths.items()
            }
        request = routing.RoutingRequest(
            zone='1',
            prompt_tokens=_BLOCKS * _BLOCK_TOKENS,
            cached_tokens=cached,
            prefix_key=1,
        )
        return policy.choose(request, candidates, 1, rng)

    return decide


def _admit(size: int) -> Callable[[], object]:
    policy = limits.AdmissionControl()
    loads = {stage: limits.PoolLoad(slots=8 * size) for stage in _STAGES}
    estimates = tuple(
        limits.StageEstimate(stage, stage, expected_s=0.2, high_s=0.4)
        for stage in _STAGES
    )
    serial = 0

    def decide() -> object:
        nonlocal serial
        serial += 1
        policy.forget(str(serial - 2 * size))
        request = limits.AdmissionRequest(
            str(serial),
            'team',
            deadline=5 + serial / 1000000,
            stage_estimates=estimates,
        )
        return policy.decide(request, loads, serial / 1000000)

    for _ in range(2 * size):
        decide()
    return decide


def run(*, seed: int = 1, calls: int = 400) -> Iterator[dict[str, object]]:
    """Yield a line for each decision and size, then their growth."""
    rng = random.Random(seed)
    taken: dict[tuple[str, int], float] = {}
    for size in _SIZES:
        candidates = _candidates(size, rng)
        choice = functools.partial(rng.choice, candidates)
        bare = _microseconds(choice, calls * 10)
        decisions = {name: _route(name, candidates, rng) for name in _POLICIES}
        decisions['admission'] = _admit(size)
        for name, decide in decisions.items():
            taken[name, size] = _microseconds(decide, calls)
            yield {
                'arm': 'lentilspool' if name == 'default' else name,
                'seed': seed,
                'endpoints': size,
                'microseconds': round(taken[name, size], 2),
                'ratio_to_random_choice': round(taken[name, size] / bare, 1),
            }
    for name in (*_POLICIES, 'admission'):
        growth = taken[name, _SIZES[-1]] / taken[name, _SIZES[0]]
        yield {
            'arm': 'lentilspool' if name == 'default' else name,
            'seed': seed,
            'growth_8_to_512': round(growth, 2),
            'linear_growth': _SIZES[-1] // _SIZES[0],
        }
