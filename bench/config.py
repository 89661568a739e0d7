"""Spread of configuration changes over the whole fleet.

Time passes only around published changes. In between, every process holds
the same and sends digests that change nothing, and decisions depend on
differences of time alone, so idle time is left out; its bytes are counted
from an idle window.
"""

import random
import statistics
import types
from collections.abc import Iterator
from typing import Final

from bench import _config_baseline, _config_fleet
from lentilspool import config

_REGIONS: Final = 5
_PATCHES_PER_DAY: Final = 2100
_DAY_S: Final = 86_400
_WINDOW_S: Final = 12.0
_RATE_WINDOW_S: Final = 10
_MISSED_IN_AN_HOUR: Final = round(_PATCHES_PER_DAY / 24)

Figures = dict[str, object]


def run(
    *,
    seed: int = 1,
    processes: int = 2850,
    zones: int = 15,
    loss: float = 0.1,
    patch_bytes: int = 400,
    patches: int = 8,
) -> Iterator[Figures]:
    """Yield the figures of each arm."""
    for arm in (
        'lentilspool',
        'lentilspool-service-down',
        'lentilspool-service-stale',
        'lentilspool-region-cut',
        'one-push-no-pull',
    ):
        trial = _Trial(seed, processes, zones, loss, patch_bytes)
        yield {'arm': arm, 'seed': seed, **_ARMS[arm](trial, patches)}
    yield {
        'arm': 'every-process-watches',
        'seed': seed,
        **_config_baseline.every_process_watches(
            random.Random(seed), processes, loss, patches
        ),
    }


class _Trial:
    """One fleet, started, with the helpers that the arms share."""

    def __init__(
        self, seed: int, processes: int, zones: int, loss: float, size: int
    ) -> None:
        self.fleet = _config_fleet.Fleet(seed, processes, zones, loss)
        self.names = list(self.fleet.zone_of)
        self.slowest_s: list[float | None] = []
        self._rng = random.Random(seed)
        self._size = size
        self.fleet.start(_base())
        self.fleet.run(_WINDOW_S)
        self.fleet.links.bytes_by_second.clear()
        self._idle_from = self.fleet.queue.now
        self.fleet.run(_WINDOW_S)
        self._idle = self.fleet.links.bytes_by_second.total()

    def publish(self, visible: bool = True) -> int:
        """Publish a patch; return its number."""
        number = len(self.fleet.service.log) + 1
        merge = {'teams': {f't{number % 7}': {'share': number}}}
        raw = config.encode_patch(
            config.Patch(number, max(1, number - 1), '', merge)
        )
        author = self._rng.randbytes(max(0, self._size - len(raw))).hex()
        patch = config.Patch(
            number, max(1, number - 1), author[: self._size - len(raw)], merge
        )
        self.fleet.publish(config.encode_patch(patch), visible)
        return number

    def publish_and_wait(self, names: list[str]) -> None:
        """Publish a patch and record when the slowest process held it."""
        began = self.fleet.queue.now
        number = self.publish()
        self.fleet.run(_WINDOW_S)
        self.record(number, began, names)

    def record(self, number: int, began: float, names: list[str]) -> None:
        """Record the seconds until the slowest process held a number."""
        ended = self.fleet.slowest(number, names)
        self.slowest_s.append(None if ended is None else ended - began)

    def figures(self, patches: int) -> Figures:
        """Return the figures that every arm has."""
        links = self.fleet.links
        seconds = self.fleet.queue.now - self._idle_from
        count = len(self.names)
        idle = self._idle / count / _WINDOW_S
        total = links.bytes_by_second.total() / count
        by_patch = (total - idle * seconds) / max(1, patches)
        mean = idle + by_patch * _PATCHES_PER_DAY / _DAY_S
        reached = [held for held in self.slowest_s if held is not None]
        complete = len(reached) == len(self.slowest_s)
        calls = self.fleet.service.calls
        return {
            'seconds_to_all': round(max(reached), 3) if complete else None,
            'reverts': self.fleet.reverts,
            'split_verdicts': self._split_verdicts(),
            'service_reads_per_s': max(calls.values()),
            'bytes_per_s_mean': round(mean, 1),
            'bytes_per_s_idle': round(idle, 1),
            'bytes_per_s_p99': round(self._p99(), 1),
            'not_reached': self._not_reached(),
            'ready': sum(
                held.ready for held in self.fleet.synchronizers.values()
            ),
        }

    def _not_reached(self) -> int:
        head = len(self.fleet.service.log)
        replicas = self.fleet.replicas.values()
        return sum(1 for held in replicas if held.number < head)

    def _split_verdicts(self) -> int:
        digests: dict[int, set[str]] = {}
        for held in self.fleet.replicas.values():
            digests.setdefault(held.number, set()).add(held.digest)
        return sum(len(found) - 1 for found in digests.values())

    def _p99(self) -> float:
        counted = self.fleet.links.bytes_by_second
        first = int(self._idle_from)
        last = int(self.fleet.queue.now) - _RATE_WINDOW_S
        rates: list[float] = []
        for name in self.names:
            series = [
                counted[name, second]
                for second in range(first, last + _RATE_WINDOW_S)
            ]
            rates.extend(
                sum(series[start : start + _RATE_WINDOW_S]) / _RATE_WINDOW_S
                for start in range(last - first + 1)
            )
        return statistics.quantiles(rates, n=100)[-1]


def _base() -> bytes:
    document = {
        'pipelines': {'quote': {'stages': [{'name': 'a', 'pool': 'models'}]}},
        'pools': {'models': {'kind': 'engine'}},
        'teams': {f't{index}': {} for index in range(7)},
    }
    return config.encode_base(config.Base(1, document))


def _steady(trial: _Trial, patches: int) -> Figures:
    for _ in range(patches):
        trial.publish_and_wait(trial.names)
    return trial.figures(patches)


def _service_down(trial: _Trial, patches: int) -> Figures:
    trial.fleet.stop_service()
    return _missed_hour(trial)


def _service_stale(trial: _Trial, patches: int) -> Figures:
    return _missed_hour(trial)


def _missed_hour(trial: _Trial) -> Figures:
    for _ in range(_MISSED_IN_AN_HOUR):
        trial.publish(visible=False)
    trial.fleet.run(_WINDOW_S)
    began = trial.fleet.queue.now
    trial.fleet.service.up = True
    trial.fleet.show()
    trial.fleet.run(2 * _WINDOW_S)
    trial.record(len(trial.fleet.service.log), began, trial.names)
    return trial.figures(_MISSED_IN_AN_HOUR)


def _region_cut(trial: _Trial, patches: int) -> Figures:
    zones = sorted(set(trial.fleet.zone_of.values()))
    inside = frozenset(zones[-max(1, len(zones) // _REGIONS) :])
    trial.fleet.links.cut = inside
    outside = [
        name for name in trial.names if trial.fleet.zone_of[name] not in inside
    ]
    for _ in range(patches):
        trial.publish_and_wait(outside)
    current = trial.slowest_s
    for _ in range(_MISSED_IN_AN_HOUR - patches):
        trial.publish()
        trial.fleet.run(1)
    trial.slowest_s = []
    began = trial.fleet.queue.now
    trial.fleet.links.cut = frozenset()
    trial.fleet.run(2 * _WINDOW_S)
    trial.record(len(trial.fleet.service.log), began, trial.names)
    figures = trial.figures(_MISSED_IN_AN_HOUR)
    slowest = max((held or float('inf') for held in current), default=0.0)
    return {**figures, 'seconds_other_side': round(slowest, 3)}


def _push_only(trial: _Trial, patches: int) -> Figures:
    trial.fleet.links.push_only = True
    return _steady(trial, patches)


_ARMS: Final = types.MappingProxyType(
    {
        'lentilspool': _steady,
        'lentilspool-service-down': _service_down,
        'lentilspool-service-stale': _service_stale,
        'lentilspool-region-cut': _region_cut,
        'one-push-no-pull': _push_only,
    }
)
