"""Works out ``docs/CAPACITY.md`` from recorded slopes.

``python -m bench._capacity`` prints the tables; the page holds them.
"""

import dataclasses
import json
import pathlib
import sys
from collections.abc import Callable, Iterable
from typing import Any, Final

from bench import _heartbeats
from lentilspool import membership

SLOPES: Final = pathlib.Path(__file__).parent.parent / (
    'docs/capacity-slopes.json'
)

_DAY_S: Final = 86400
_MB: Final = 10**6
_US_PER_S: Final = 10**6
_BEATS_PER_S: Final = 4
_SLOW_FOLD_US: Final = 20_000
_SPREAD_FRAME_BYTES: Final = 100
_LIMIT_BYTES: Final = 4096
_LIMIT_CPU: Final = 0.023
_HOST_CHANGES: Final = 2
_LEASES: Final = membership.SubsetLimits().coverage
_BEATS: Final = membership.HeartbeatLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes for which the page is worked out."""

    nodes: int = 550
    """Entries."""

    runners: int = 2300
    """Endpoints, each with a sidecar."""

    pools: int = 39
    """Pools of about equal size."""

    patches_a_day: int = 2100
    """Configuration patches; a new base once a day."""

    document_bytes: int = 100_000
    """Length of the configuration document."""

    hosts_replaced_a_day: int = 815
    """Hosts that fail or are restarted."""

    @property
    def processes(self) -> int:
        """Entries and sidecars."""
        return self.nodes + self.runners

    @property
    def leases(self) -> float:
        """Leases of one entry."""
        return _LEASES * self.runners / self.nodes

    @property
    def interval_s(self) -> float:
        """Seconds between two heartbeats on one connection."""
        return membership.interval_s(round(self.leases), _BEATS)


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What one process of a role needs for control."""

    memory_bytes: float
    """State, besides the interpreter and its libraries."""

    cpu_us_per_s: float
    """Processor time for control."""

    heartbeat_bytes_per_s: float
    """Heartbeats with packet headers."""

    config_bytes_per_s: float
    """Messages of the configuration, frames only."""

    @property
    def bytes_per_s(self) -> float:
        """All messages."""
        return self.heartbeat_bytes_per_s + self.config_bytes_per_s


_Reached = Callable[[Fleet], bool]


def load() -> dict[str, dict[str, Any]]:
    """Return the recorded lines by subject."""
    lines = json.loads(SLOPES.read_text(encoding='utf-8'))
    return {line['arm']: line for line in lines}


class Model:
    """Needs of each role, from slopes."""

    def __init__(self, slopes: dict[str, dict[str, Any]]) -> None:
        self._slopes = slopes

    def entry(self, fleet: Fleet) -> Need:
        """Return what an entry needs."""
        common = self._common(fleet)
        rate = fleet.leases / fleet.interval_s
        cpu = (
            rate * self._slope('lease_renewal')
            + _BEATS_PER_S * self._line('beat', fleet.leases)
            + self.subsets_us(fleet)
        )
        return Need(
            common.memory_bytes + self._line('lease_memory', fleet.leases),
            common.cpu_us_per_s + cpu,
            rate * _packet_bytes(),
            common.config_bytes_per_s,
        )

    def sidecar(self, fleet: Fleet) -> Need:
        """Return what a sidecar needs."""
        common = self._common(fleet)
        rate = _LEASES / fleet.interval_s
        peers = fleet.runners / fleet.pools
        return Need(
            common.memory_bytes + self._line('rollout_memory', peers),
            common.cpu_us_per_s + rate * self._slope('heartbeat_sending'),
            rate * _packet_bytes(),
            common.config_bytes_per_s,
        )

    def subsets_us(self, fleet: Fleet) -> float:
        """Return the processor time for subsets, a second."""
        pairs = fleet.nodes * fleet.runners
        whole = self._slope('subset') * pairs
        whole += fleet.pools * self._intercept('subset')
        entry_share = fleet.nodes / fleet.processes
        parts = entry_share + (1 - entry_share) / fleet.pools
        changes = _HOST_CHANGES * fleet.hosts_replaced_a_day * parts
        return changes * whole / _DAY_S

    def fold_us(self, fleet: Fleet) -> float:
        """Return the processor time of one patch."""
        return self._line('fold', fleet.document_bytes)

    def _common(self, fleet: Fleet) -> Need:
        """Return what every process needs for the configuration."""
        config_bytes = self._line(
            'config_bytes', (fleet.processes).bit_length()
        )
        codec_us = self._slope('lease_renewal') + self._slope(
            'heartbeat_sending'
        )
        return Need(
            self._line('host_memory', fleet.processes)
            + self._line('document_memory', fleet.document_bytes)
            + self._line('log_memory', fleet.patches_a_day),
            config_bytes / _SPREAD_FRAME_BYTES * codec_us
            + self.fold_us(fleet) * fleet.patches_a_day / _DAY_S,
            0,
            config_bytes,
        )

    def _line(self, subject: str, size: float) -> float:
        return self._slope(subject) * size + self._intercept(subject)

    def _slope(self, subject: str) -> float:
        return float(self._slopes[subject]['slope'])

    def _intercept(self, subject: str) -> float:
        return float(self._slopes[subject]['intercept'])


def slopes_table(slopes: dict[str, dict[str, Any]]) -> str:
    """Return the table of slopes."""
    rows = [
        (
            line['arm'],
            line['unit'],
            f'{line["sizes"][0]} to {line["sizes"][-1]}',
            f'{line["slope"]:g}',
            f'{line["intercept"]:g}',
            f'{line["r2"]:g}',
            f'{line["error"]:.1%}',
        )
        for line in slopes.values()
    ]
    return _table(
        ('subject', 'unit', 'sizes', 'slope', 'intercept', 'r2', 'error'),
        rows,
    )


def roles_table(model: Model, fleet: Fleet) -> str:
    """Return the table of needs by role."""
    rows = [
        (
            role,
            f'{need.memory_bytes / _MB:.1f} MB',
            f'{need.cpu_us_per_s / _US_PER_S:.2%}',
            f'{need.heartbeat_bytes_per_s:.0f}',
            f'{need.config_bytes_per_s:.0f}',
            f'{need.bytes_per_s:.0f}',
        )
        for role, need in (
            ('entry', model.entry(fleet)),
            ('sidecar', model.sidecar(fleet)),
        )
    ]
    return _table(
        (
            'role',
            'state',
            'share of a core',
            'heartbeat bytes/s',
            'config bytes/s',
            'bytes/s',
        ),
        rows,
    )


def limits_table(model: Model) -> str:
    """Return the sizes at which each limit is reached, the rest kept."""
    rows = [
        (
            'heartbeat interval reaches its bound of 10 s',
            _first(_runners(), 'runners', _at_interval_bound),
        ),
        (
            'entry above 4,096 bytes/s',
            _first(_runners(), 'runners', _over_bytes(model)),
        ),
        (
            'entry above 2.3% of a core, by runners',
            _first(_runners(), 'runners', _over_cpu(model)),
        ),
        (
            'entry above 2.3% of a core, by document',
            _first(_documents(), 'bytes', _over_cpu(model)),
        ),
        (
            'one patch holds the loop for 20 ms',
            _first(_documents(), 'bytes', _slow_fold(model)),
        ),
    ]
    return _table(('limit', 'reached at'), rows)


def _runners() -> list[tuple[int, Fleet]]:
    sizes = range(2300, 30_001, 100)
    return [(size, Fleet(runners=size)) for size in sizes]


def _documents() -> list[tuple[int, Fleet]]:
    sizes = range(50_000, 5_000_001, 10_000)
    return [(size, Fleet(document_bytes=size)) for size in sizes]


def _at_interval_bound(fleet: Fleet) -> bool:
    return fleet.interval_s >= _BEATS.max_interval_s


def _over_bytes(model: Model) -> _Reached:
    return lambda fleet: model.entry(fleet).bytes_per_s > _LIMIT_BYTES


def _over_cpu(model: Model) -> _Reached:
    limit = _LIMIT_CPU * _US_PER_S
    return lambda fleet: model.entry(fleet).cpu_us_per_s > limit


def _slow_fold(model: Model) -> _Reached:
    return lambda fleet: model.fold_us(fleet) > _SLOW_FOLD_US


def _first(
    fleets: list[tuple[int, Fleet]], unit: str, reached: _Reached
) -> str:
    """Return the first size at which a limit is reached, as text."""
    last, _ = fleets[-1]
    size = next((size for size, fleet in fleets if reached(fleet)), 0)
    return f'{size:,} {unit}' if size else f'no size tried ({last:,} {unit})'


def _packet_bytes() -> float:
    frame = _heartbeats.mean_frame_bytes(_BEATS)
    return frame + _heartbeats.HEADER_BYTES


def _table(head: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [head, tuple('---' for _ in head), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def tables() -> tuple[str, ...]:
    """Return the tables that the page holds."""
    slopes = load()
    model = Model(slopes)
    return (
        slopes_table(slopes),
        roles_table(model, Fleet()),
        limits_table(model),
    )


if __name__ == '__main__':
    sys.stdout.write('\n\n'.join((*tables(), '')))
