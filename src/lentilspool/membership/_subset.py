"""Even subsets: which entry keeps leases with which endpoints of a pool.

Every entry computes the whole assignment of a pool from its own view and
takes its own line. Each pair of entry and endpoint has one score, a hash
of both names. Every endpoint is given the same number of entries; pairs
are taken in the order of their scores while both ends have room. Such a
greedy matching is stable: removal of one host moves only the pairs that
compete for the room that it leaves.
"""

import dataclasses
import math
from collections.abc import Iterator, Sequence
from typing import Final

import xxhash

_HASH_BITS: Final = 64
_HASH_RANGE: Final = float(1 << _HASH_BITS)
_FIRST_BAND: Final = 4

Subsets = dict[str, tuple[str, ...]]
_Pair = tuple[float, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A process and where it is."""

    name: str
    """Name of the process, unique in the fleet."""

    zone: str
    """Availability zone of the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubsetLimits:
    """Size and evenness of subsets."""

    coverage: int = 24
    """Entries that keep a lease with each endpoint, if there are as many."""

    min_size: int = 2
    """Size that every subset has, and mean size in the smallest pools."""

    fewer: int = 1
    """Endpoints by which a subset may be smaller than the mean."""

    more: int = 2
    """Endpoints by which a subset may be larger than the mean."""

    remote_penalty: float = 4.0
    """Factor by which pairs of two zones come later; 1 for no preference."""


def even_subsets(
    entries: Sequence[Place],
    endpoints: Sequence[Place],
    limits: SubsetLimits,
) -> Subsets:
    """Return the names of the endpoints of each entry, best first.

    The answer depends only on the two sets of places and on the limits.
    """
    if not entries or not endpoints:
        return {entry.name: () for entry in entries}
    coverage = mean_coverage(len(entries), len(endpoints), limits)
    if coverage >= len(entries):
        return {
            entry.name: preference(entry, endpoints, limits.remote_penalty)
            for entry in entries
        }
    return _match(entries, endpoints, coverage, limits)


def mean_coverage(entries: int, endpoints: int, limits: SubsetLimits) -> float:
    """Return how many entries keep a lease with one endpoint, on average."""
    needed = limits.min_size * entries / max(endpoints, 1)
    return min(max(limits.coverage, needed), entries)


def preference(
    entry: Place, endpoints: Sequence[Place], remote_penalty: float
) -> tuple[str, ...]:
    """Return all endpoints in the order in which the entry prefers them."""
    scored = sorted(_scores((entry,), endpoints, remote_penalty))
    return tuple(endpoint for _, _, endpoint in scored)


def _match(
    entries: Sequence[Place],
    endpoints: Sequence[Place],
    coverage: float,
    limits: SubsetLimits,
) -> Subsets:
    size = math.ceil(coverage * len(endpoints) / len(entries))
    penalty = limits.remote_penalty
    good = min(_FIRST_BAND * coverage / len(entries), 1.0) * penalty
    first = sorted(_scores(entries, endpoints, penalty, good))
    matching = _Matching(entries, endpoints, coverage)
    matching.take(first, size - limits.fewer)
    matching.take(first, size + limits.more)
    if matching.missing:
        everything = sorted(_scores(entries, endpoints, penalty))
        matching.take(everything, size + limits.more)
        matching.take(everything, len(endpoints))
    matching.top_up(first, limits.min_size)
    short = tuple(
        place for place in entries if matching.short(place, limits.min_size)
    )
    matching.top_up(sorted(_scores(short, endpoints, penalty)), limits.min_size)
    return matching.subsets()


def _scores(
    entries: Sequence[Place],
    endpoints: Sequence[Place],
    penalty: float,
    below: float = math.inf,
) -> Iterator[_Pair]:
    """Yield score, entry and endpoint of the pairs with low scores.

    Scores lie between zero and the penalty; low ones are best.
    """
    digest = xxhash.xxh3_64_intdigest
    encoded = [(place.name.encode(), place) for place in endpoints]
    for entry in entries:
        seed = digest(entry.name.encode())
        zone = entry.zone
        for key, endpoint in encoded:
            score = digest(key, seed) / _HASH_RANGE
            if endpoint.zone != zone:
                score *= penalty
            if score < below:
                yield score, entry.name, endpoint.name


class _Matching:
    """Pairs taken so far, and what both ends still want."""

    def __init__(
        self,
        entries: Sequence[Place],
        endpoints: Sequence[Place],
        coverage: float,
    ) -> None:
        self._wanted = {
            place.name: _rounded(coverage, place.name) for place in endpoints
        }
        self._missing = sum(self._wanted.values())
        self._taken: dict[str, list[str]] = {
            entry.name: [] for entry in entries
        }

    @property
    def missing(self) -> int:
        """Pairs that endpoints still want."""
        return self._missing

    def take(self, pairs: list[_Pair], room: int) -> None:
        """Take each pair in order while its two ends want more."""
        wanted = self._wanted
        for _, entry, endpoint in pairs:
            held = self._taken[entry]
            if wanted[endpoint] and len(held) < room and endpoint not in held:
                held.append(endpoint)
                wanted[endpoint] -= 1
                self._missing -= 1

    def top_up(self, pairs: list[_Pair], size: int) -> None:
        """Give entries with small subsets more than endpoints wanted."""
        for _, entry, endpoint in pairs:
            held = self._taken[entry]
            if len(held) < size and endpoint not in held:
                held.append(endpoint)

    def short(self, entry: Place, size: int) -> bool:
        """Tell whether the entry's subset is smaller than the size."""
        return len(self._taken[entry.name]) < size

    def subsets(self) -> Subsets:
        """Return the subsets as they stand."""
        return {entry: tuple(held) for entry, held in self._taken.items()}


def _rounded(coverage: float, name: str) -> int:
    """Round up for a fixed part of the names.

    When the mean moves slowly, endpoints change one after another.
    """
    part = xxhash.xxh3_64_intdigest(name.encode()) / _HASH_RANGE
    return math.floor(coverage + part)
