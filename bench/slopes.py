"""Slopes of state, messages and processor time, by least squares.

Each subject is measured at several sizes; the arm's line has the sizes, the
figures, and the straight line through them: ``slope`` and ``intercept``,
``r2`` (1 is a perfect line) and ``error`` (largest distance from the line
as a share of the largest figure). ``docs/capacity-slopes.json`` holds the
lines of one run, and ``docs/CAPACITY.md`` is worked out from them.
"""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Final

from bench import _heartbeats
from bench import config as config_experiment
from lentilspool import config, membership, orders, wire

_REPEATS: Final = 7
_US: Final = 10**6
_POOL: Final = 'pool-00'
_BEATS: Final = membership.HeartbeatLimits()

_Measure = Callable[[int], float]


def _memory_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that stay allocated for what is built."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def _cpu_us(prepare: Callable[[], Callable[[], object]]) -> float:
    """Return the least processor time of a few runs, in microseconds."""
    times = []
    for _ in range(_REPEATS):
        action = prepare()
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times) * _US


def _named(number: int) -> membership.Heartbeat:
    return _heartbeats.template(f'sidecar-{number:06}', 'zone-01', _POOL)


def _table(count: int) -> membership.LeaseTable:
    table = membership.LeaseTable(membership.LeaseLimits())
    for number in range(count):
        table.renew(_named(number), 0)
    return table


def _lease_memory(count: int) -> float:
    return _memory_bytes(lambda: _table(count))


def _renewals(count: int) -> float:
    """Decode and take ``count`` heartbeats of 100 members."""
    frames = [
        wire.encode(
            _heartbeats.message(
                dataclasses.replace(_named(number % 100), sequence=number + 1)
            )
        )
        for number in range(count)
    ]

    def prepare() -> Callable[[], object]:
        table = membership.LeaseTable(membership.LeaseLimits())

        def receive() -> None:
            for frame in frames:
                message = wire.decode(frame)
                if isinstance(message, wire.Heartbeat):
                    table.renew(_heartbeats.received(message), 0)

        return receive

    return _cpu_us(prepare)


def _sends(count: int) -> float:
    """Make and encode ``count`` heartbeats for one peer."""

    def send() -> None:
        beat = membership.HeartbeatScheduler(_named(0), _BEATS)
        load = membership.ReportedLoad(10, 10, 20)
        held = membership.ActiveConfig(1, 'd')
        for number in range(count):
            heartbeat = beat.next_heartbeat('entry', number, load, held)
            wire.encode(_heartbeats.message(heartbeat))

    return _cpu_us(lambda: send)


def _beats(count: int) -> float:
    """Run a beat and choose contacts, with ``count`` leases in all."""
    view = membership.Membership(
        membership.ProcessLocation('entry', 'zone-01'),
        0,
        membership.MembershipLimits(),
    )
    members = [
        dataclasses.replace(_named(number), pool=f'pool-{number // 3:03}')
        for number in range(count)
    ]
    view.update_hosts(_hint(member) for member in members)
    for member in members:
        view.receive(member, 0)
        view.subset(member.pool)

    def beat() -> None:
        for tick in range(100):
            now = tick / 100
            view.run_checks(now)
            for pool in view.pools:
                view.connection_targets(pool, now)

    return _cpu_us(lambda: beat) / 100


def _hint(member: membership.Heartbeat) -> membership.ListedHost:
    return membership.ListedHost(
        member.process, member.address, member.port, member.zone, member.pool
    )


def _subsets(pairs: int) -> float:
    """Compute one pool's subsets for 550 entries; size is pairs."""
    entries = _places('entry', 550)
    endpoints = _places('sidecar', pairs // 550)
    limits = membership.SubsetLimits()
    return _cpu_us(
        lambda: lambda: membership.even_subsets(entries, endpoints, limits)
    )


def _places(prefix: str, count: int) -> tuple[membership.ProcessLocation, ...]:
    return tuple(
        membership.ProcessLocation(
            f'{prefix}-{number:06}', f'zone-{number % 15:02}'
        )
        for number in range(count)
    )


def _hosts_memory(count: int) -> float:
    def build() -> object:
        view = membership.Membership(
            membership.ProcessLocation('entry', 'z'),
            0,
            membership.MembershipLimits(),
        )
        view.update_hosts(
            membership.ListedHost(
                f'sidecar-{number:06}',
                f'10.0.{number // 250}.{number % 250}',
                50_000,
                f'zone-{number % 15:02}',
                f'pool-{number % 39:02}',
            )
            for number in range(count)
        )
        return view

    return _memory_bytes(build)


def _document(size: int) -> dict[str, object]:
    """Return a document of about ``size`` bytes."""
    teams = {
        f'team-{number:05}': {'share': 1.5, 'max_waiting': 1000}
        for number in range(size // 48)
    }
    return {'pipelines': {}, 'pools': {}, 'teams': teams}


def _replica(size: int, patches: int = 0) -> config.LogReplica:
    replica = config.LogReplica()
    base = config.encode_base(config.Base(1, _document(size)))
    replica.offer_service_entries((base,))
    for number in range(patches):
        replica.offer_service_entries(_next(replica, number))
    return replica


def _next(replica: config.LogReplica, number: int) -> tuple[bytes, ...]:
    """Return the service's answer with one patch more."""
    merge = {'teams': {'team-00000': {'share': 1 + number / 100}}}
    patch = config.Patch(replica.number + 1, replica.version, 'ops', merge)
    last = replica.entries_after(replica.number - 1)
    return (*last, config.encode_patch(patch))


def _document_memory(size: int) -> float:
    return _memory_bytes(lambda: _replica(size))


def _log_memory(patches: int) -> float:
    return _memory_bytes(lambda: _replica(2000, patches))


def _fold(size: int) -> float:
    """Adopt one patch on a document of ``size`` bytes."""

    def prepare() -> Callable[[], object]:
        replica = _replica(size)
        entries = _next(replica, 1)
        return lambda: replica.offer_service_entries(entries)

    return _cpu_us(prepare)


def _config_bytes(doublings: int) -> float:
    """Return bytes per second and process; size is log2 of processes."""
    arms = config_experiment.run(seed=1, processes=1 << doublings)
    figures = next(iter(arms))
    return float(str(figures['bytes_per_s_mean']))


def _rollout_memory(members: int) -> float:
    def build() -> object:
        rollout = orders.Rollout('s', orders.RolloutLimits())
        names = [f'sidecar-{number:06}' for number in range(members)]
        rollout.set_pool(names)
        for name in names:
            rollout.record_progress(
                orders.RolloutProgress(name, 1, 1, False, False), 0
            )
        return rollout

    return _memory_bytes(build)


_SUBJECTS: Final[tuple[tuple[str, str, tuple[int, ...], _Measure], ...]] = (
    ('lease_memory', 'bytes a lease', (50, 100, 200, 400, 800), _lease_memory),
    ('lease_renewal', 'us a heartbeat', (1000, 2000, 4000, 8000), _renewals),
    ('heartbeat_sending', 'us a heartbeat', (1000, 2000, 4000, 8000), _sends),
    ('beat', 'us a lease', (50, 100, 200, 400, 800), _beats),
    (
        'subset',
        'us a pair',
        (11_000, 22_000, 33_000, 44_000, 66_000),
        _subsets,
    ),
    ('host_memory', 'bytes a host', (500, 1000, 2000, 4000), _hosts_memory),
    (
        'document_memory',
        'bytes a byte',
        (10_000, 50_000, 100_000, 200_000),
        _document_memory,
    ),
    ('log_memory', 'bytes a patch', (25, 50, 100, 200), _log_memory),
    ('fold', 'us a byte', (10_000, 50_000, 100_000, 200_000), _fold),
    (
        'config_bytes',
        'bytes/s a doubling',
        (7, 8, 9, 10),
        _config_bytes,
    ),
    ('rollout_memory', 'bytes a member', (15, 30, 60, 120), _rollout_memory),
)


def run(*, seed: int = 1) -> Iterator[dict[str, object]]:
    """Yield the line of each subject."""
    for arm, unit, sizes, measure in _SUBJECTS:
        figures = [measure(size) for size in sizes]
        yield {
            'arm': arm,
            'seed': seed,
            'unit': unit,
            'sizes': sizes,
            'figures': [round(figure, 1) for figure in figures],
            **fit(sizes, figures),
        }


def fit(sizes: tuple[int, ...], figures: list[float]) -> dict[str, float]:
    """Return the straight line through the figures, and how well it fits."""
    slope, intercept = statistics.linear_regression(sizes, figures)
    off = max(
        abs(figure - slope * size - intercept)
        for size, figure in zip(sizes, figures, strict=True)
    )
    return {
        'slope': round(slope, 4),
        'intercept': round(intercept, 1),
        'r2': round(statistics.correlation(sizes, figures) ** 2, 4),
        'error': round(off / max(figures), 3),
    }
