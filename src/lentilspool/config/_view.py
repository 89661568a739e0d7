"""Live processes ordered by hash, and the selection of peers among them."""

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
        """Return the nearest processes before and after one, without wrap."""
        point = _hash(process)
        left = bisect.bisect_left(self.hashes, point)
        right = bisect.bisect_right(self.hashes, point)
        before = self.processes[max(0, left - count) : left]
        return before, self.processes[right : right + count]


class View:
    """Immutable set of the processes that are live at one time.

    Selections depend on the members only, so equal views give equal results.
    The loss of a process changes only the selections that contained it.
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
        self, member: Member, count: int
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the nearest processes before and after one in its zone.

        The processes are ordered by hash; the order does not wrap around.
        """
        ring = self._zones.get(member.zone)
        return ring.around(member.process, count) if ring else ((), ())

    def neighbours(
        self, member: Member, near: int, far: int
    ) -> tuple[str, ...]:
        """Return the fixed peers of a process, without duplicates.

        Up to ``near`` are of its zone and up to ``far`` of any zone. In a small
        fleet, the peers are all other processes.
        """
        if len(self.processes) <= near + far + 1:
            return tuple(
                peer for peer in self.processes if peer != member.process
            )
        picked = [
            self._zones[member.zone].pick(f'{member.process}/near/{index}')
            for index in range(near if member.zone in self._zones else 0)
        ]
        picked.extend(
            self._all.pick(f'{member.process}/far/{index}')
            for index in range(far if self.processes else 0)
        )
        return tuple(
            peer for peer in dict.fromkeys(picked) if peer != member.process
        )


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
