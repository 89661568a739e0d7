"""Live processes in the order of their hashes, and choices among them."""

import bisect
import dataclasses
from collections.abc import Iterable

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live process."""

    process: str
    """Name of the process, unique in the fleet."""

    zone: str
    """Its availability zone."""


class _Ring:
    """Processes sorted by the hash of their names."""

    def __init__(self, processes: Iterable[str]) -> None:
        points = sorted((_hash(process), process) for process in processes)
        self.hashes = [point for point, _ in points]
        self.processes = tuple(process for _, process in points)

    def pick(self, key: str) -> str:
        """Return the first process at or after the hash of a key."""
        index = bisect.bisect_left(self.hashes, _hash(key))
        return self.processes[index % len(self.processes)]

    def around(
        self, process: str, count: int
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the processes just before and after one."""
        point = _hash(process)
        left = bisect.bisect_left(self.hashes, point)
        right = bisect.bisect_right(self.hashes, point)
        before = self.processes[max(0, left - count) : left]
        return before, self.processes[right : right + count]


class View:
    """The live processes at one time; never changed.

    Processes that hold equal views make equal choices, and the loss of one
    process changes only the choices that it was part of.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        by_zone: dict[str, list[str]] = {}
        for member in members:
            by_zone.setdefault(member.zone, []).append(member.process)
        self._zones = {zone: _Ring(names) for zone, names in by_zone.items()}
        self._all = _Ring(
            process for names in by_zone.values() for process in names
        )

    @property
    def processes(self) -> tuple[str, ...]:
        """Every process of the view."""
        return self._all.processes

    def around(
        self, me: Member, count: int
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return processes of the zone just before and after a process.

        The order is the rendezvous order of the zone; it does not wrap.
        """
        ring = self._zones.get(me.zone)
        return ring.around(me.process, count) if ring else ((), ())

    def neighbours(self, me: Member, near: int, far: int) -> tuple[str, ...]:
        """Return fixed peers: some of the zone, and some of anywhere."""
        if len(self.processes) <= near + far + 1:
            return tuple(peer for peer in self.processes if peer != me.process)
        picked = [
            self._zones[me.zone].pick(f'{me.process}/near/{index}')
            for index in range(near if me.zone in self._zones else 0)
        ]
        picked.extend(
            self._all.pick(f'{me.process}/far/{index}')
            for index in range(far if self.processes else 0)
        )
        return tuple(
            peer for peer in dict.fromkeys(picked) if peer != me.process
        )


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
