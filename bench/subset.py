"""Even subsets: coverage, and change when one host goes.

The runners are spread over pools. Each way of choosing subsets is run on
the whole fleet, then again with one host removed, several times.
``coverage_deviation`` is the worst over all endpoints; ``change_ratio`` is
the worst over the hosts removed: pairs that differ, divided by those that
must differ (the lost ones and as many that take their place).
"""

import collections
import dataclasses
import math
import random
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Final

import xxhash

from bench import _heartbeats
from lentilspool import membership

_LIMITS: Final = membership.SubsetLimits()
_BEATS: Final = membership.HeartbeatLimits()
_DAY_S: Final = 86400
_HOSTS_CHANGED_A_DAY: Final = 815
_CHANGES_OF_A_HOST: Final = 2
_RENEWALS_TIMED: Final = 20000

_Places = Sequence[membership.ProcessLocation]
_Way = Callable[[_Places, _Places], membership.Subsets]


def _ours(entries: _Places, endpoints: _Places) -> membership.Subsets:
    return membership.even_subsets(entries, endpoints, _LIMITS)


def _size(entries: _Places, endpoints: _Places) -> int:
    size = math.ceil(_LIMITS.coverage * len(endpoints) / len(entries))
    return min(max(size, _LIMITS.min_size), len(endpoints))


def _random(entries: _Places, endpoints: _Places) -> membership.Subsets:
    """Each entry draws its subset with its own seed."""
    size = _size(entries, endpoints)
    names = sorted(place.name for place in endpoints)
    return {
        entry.name: tuple(random.Random(entry.name).sample(names, size))
        for entry in entries
    }


def _rendezvous(entries: _Places, endpoints: _Places) -> membership.Subsets:
    """Rendezvous hashing, endpoints that are full are passed over."""
    size = _size(entries, endpoints)
    room = dict.fromkeys(
        (place.name for place in endpoints),
        math.ceil(1.25 * len(entries) * size / len(endpoints)),
    )
    subsets: membership.Subsets = {}
    for entry in sorted(entries, key=lambda place: place.name):
        seed = xxhash.xxh3_64_intdigest(entry.name.encode())
        ranked = sorted(
            (xxhash.xxh3_64_intdigest(name.encode(), seed), name)
            for name in room
        )
        chosen = [name for _, name in ranked if room[name]][:size]
        for name in chosen:
            room[name] -= 1
        subsets[entry.name] = tuple(chosen)
    return subsets


def _rounds(entries: _Places, endpoints: _Places) -> membership.Subsets:
    """Deterministic subsetting: each round of entries shares one shuffle."""
    size = _size(entries, endpoints)
    names = sorted(place.name for place in endpoints)
    count = len(names) // size
    subsets: membership.Subsets = {}
    for rank, name in enumerate(sorted(place.name for place in entries)):
        shuffled = list(names)
        random.Random(rank // count).shuffle(shuffled)
        start = rank % count * size
        subsets[name] = tuple(shuffled[start : start + size])
    return subsets


_WAYS: Final[tuple[tuple[str, _Way], ...]] = (
    ('lentilspool', _ours),
    ('random_subset', _random),
    ('rendezvous_bounded', _rendezvous),
    ('deterministic_rounds', _rounds),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Fleet:
    entries: _Places
    pools: tuple[_Places, ...]

    def subsets(self, way: _Way) -> list[membership.Subsets]:
        return [way(self.entries, pool) for pool in self.pools]

    def without(self, name: str) -> '_Fleet':
        return _Fleet(
            _without(self.entries, name),
            tuple(_without(pool, name) for pool in self.pools),
        )


def _without(places: _Places, name: str) -> _Places:
    return tuple(place for place in places if place.name != name)


def _places(rng: random.Random, prefix: str, count: int, zones: int) -> _Places:
    numbers = rng.sample(range(10**6), count)
    return tuple(
        membership.ProcessLocation(
            f'{prefix}-{number:06}', f'zone-{rng.randrange(zones):02}'
        )
        for number in numbers
    )


def _deviation(fleet: _Fleet, subsets: list[membership.Subsets]) -> float:
    """Return how far an endpoint's coverage is from its pool's mean."""
    worst = 0.0
    for pool, assigned in zip(fleet.pools, subsets, strict=True):
        counts = collections.Counter(
            name for names in assigned.values() for name in names
        )
        mean = counts.total() / len(pool)
        off = max(abs(counts[place.name] - mean) for place in pool)
        worst = max(worst, off / mean)
    return worst


def _change_ratio(
    fleet: _Fleet, way: _Way, before: list[membership.Subsets], name: str
) -> float:
    after = fleet.without(name).subsets(way)
    lost = 0
    changed = 0
    for old, new in zip(before, after, strict=True):
        old_pairs = _pairs(old)
        lost += sum(name in pair for pair in old_pairs)
        changed += len(old_pairs ^ _pairs(new))
    return changed / (2 * lost)


def _own_views(fleet: _Fleet, rng: random.Random, lacking: float) -> float:
    """Return the deviation in one pool if each entry has its own view.

    Every entry lacks each other host with the given probability.
    """
    pool = fleet.pools[0]
    assigned: membership.Subsets = {}
    for entry in fleet.entries:
        others = _seen(rng, fleet.entries, lacking)
        view = (entry, *_without(others, entry.name))
        subsets = _ours(view, _seen(rng, pool, lacking))
        assigned[entry.name] = subsets[entry.name]
    return _deviation(_Fleet(fleet.entries, (pool,)), [assigned])


def _seen(rng: random.Random, places: _Places, lacking: float) -> _Places:
    return tuple(place for place in places if rng.random() >= lacking)


def _pairs(subsets: membership.Subsets) -> set[tuple[str, str]]:
    return {(one, two) for one, names in subsets.items() for two in names}


def _renewal_us() -> float:
    """Return the processor time of one renewal, in microseconds."""
    table = membership.LeaseTable(membership.LeaseLimits())
    beat = membership.HeartbeatScheduler(
        _heartbeats.template('s', 'z', 'p'), _BEATS
    )
    beats = [
        beat.next_heartbeat(
            'e', 0, membership.ReportedLoad(), membership.ActiveConfig()
        )
        for _ in range(_RENEWALS_TIMED)
    ]
    started = time.process_time()
    for heartbeat in beats:
        table.renew(heartbeat, 0)
    return (time.process_time() - started) / _RENEWALS_TIMED * 10**6


def _costs(
    fleet: _Fleet, subsets: list[membership.Subsets], cpu_s: float
) -> dict[str, object]:
    """Return bytes and processor time of one node, when nothing is asked."""
    leases: collections.Counter[str] = collections.Counter()
    for assigned in subsets:
        for entry, names in assigned.items():
            leases[entry] += len(names)
    most = max(leases.values())
    interval_s = membership.interval_s(most, _BEATS)
    frame = _heartbeats.mean_frame_bytes(_BEATS)
    rate = most / interval_s
    entry_share = len(fleet.entries) / (
        len(fleet.entries) + sum(len(pool) for pool in fleet.pools)
    )
    recomputed = (
        entry_share + (1 - entry_share) / len(fleet.pools)
    ) * _HOSTS_CHANGED_A_DAY
    recompute_us = _CHANGES_OF_A_HOST * recomputed * cpu_s / _DAY_S * 10**6
    return {
        'leases_mean': round(leases.total() / len(fleet.entries), 1),
        'leases_max': most,
        'interval_s': round(interval_s, 2),
        'bytes_per_s': round(rate * frame),
        'bytes_per_s_with_headers': round(
            rate * (frame + _heartbeats.HEADER_BYTES)
        ),
        'cpu_us_per_s': round(recompute_us + rate * _renewal_us()),
        'cpu_ms_all_pools': round(cpu_s * 1000),
    }


def run(
    *,
    seed: int = 1,
    nodes: int = 550,
    runners: int = 2300,
    pools: int = 39,
    zones: int = 15,
    removals: int = 4,
    lacking: float = 0.01,
) -> Iterator[dict[str, object]]:
    """Yield the figures of each way."""
    rng = random.Random(seed)
    endpoints = _places(rng, 'sidecar', runners, zones)
    fleet = _Fleet(
        _places(rng, 'entry', nodes, zones),
        tuple(endpoints[start::pools] for start in range(pools)),
    )
    gone_entries = [place.name for place in fleet.entries[:removals]]
    gone_endpoints = [place.name for place in endpoints[:removals]]
    for arm, way in _WAYS:
        started = time.process_time()
        subsets = fleet.subsets(way)
        cpu_s = time.process_time() - started
        by_entry, by_endpoint = (
            [_change_ratio(fleet, way, subsets, name) for name in names]
            for names in (gone_entries, gone_endpoints)
        )
        yield {
            'arm': arm,
            'seed': seed,
            'coverage_deviation': round(_deviation(fleet, subsets), 3),
            'change_ratio': round(max(*by_entry, *by_endpoint), 2),
            'change_ratio_entry': round(sum(by_entry) / removals, 2),
            'change_ratio_endpoint': round(sum(by_endpoint) / removals, 2),
            'subset_min': min(
                len(names) for held in subsets for names in held.values()
            ),
            **_costs(fleet, subsets, cpu_s),
        }
    yield {
        'arm': 'lentilspool_own_views',
        'seed': seed,
        'coverage_deviation': round(_own_views(fleet, rng, lacking), 3),
    }
