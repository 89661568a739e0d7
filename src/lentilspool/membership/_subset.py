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
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import xxhash

_HASH_BITS: Final = 64
_HASH_RANGE: Final = float(1 << _HASH_BITS)
_FIRST_BAND: Final = 6

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
    """Mean size of a subset below which small pools are covered by more."""

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
    needed = limits.min_size * len(entries) / len(endpoints)
    coverage = max(limits.coverage, needed)
    if coverage >= len(entries):
        return {
            entry.name: preference(entry, endpoints, limits.remote_penalty)
            for entry in entries
        }
    return _match(entries, endpoints, coverage, limits)


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
    pairs = _scores(entries, endpoints, limits.remote_penalty)
    bands = _bands(pairs, limits.remote_penalty * coverage / len(entries))
    matching = _Matching(entries, endpoints, coverage)
    for room in (size - limits.fewer, size + limits.more, len(endpoints)):
        for band in bands:
            matching.take(band, room)
    return matching.subsets()


def _scores(
    entries: Sequence[Place], endpoints: Sequence[Place], penalty: float
) -> Iterator[_Pair]:
    """Yield score, entry and endpoint of every pair; low scores are best."""
    encoded = [(place.name.encode(), place) for place in endpoints]
    for entry in entries:
        seed = xxhash.xxh3_64_intdigest(entry.name.encode())
        for key, endpoint in encoded:
            score = float(xxhash.xxh3_64_intdigest(key, seed))
            if endpoint.zone != entry.zone:
                score *= penalty
            yield score, entry.name, endpoint.name


def _bands(
    pairs: Iterable[_Pair], share: float
) -> tuple[list[_Pair], list[_Pair]]:
    """Return the pairs in order, in two lists: few good ones, and the rest.

    The second list is rarely needed, so it is sorted only when it is.
    """
    limit = min(_FIRST_BAND * share, 1.0) * _HASH_RANGE
    first = []
    rest = []
    for pair in pairs:
        if pair[0] < limit:
            first.append(pair)
        else:
            rest.append(pair)
    first.sort()
    return first, rest


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

    def take(self, pairs: list[_Pair], room: int) -> None:
        """Take each pair in order while its two ends want more."""
        if not self._missing:
            return
        pairs.sort()
        wanted = self._wanted
        for _, entry, endpoint in pairs:
            held = self._taken[entry]
            if wanted[endpoint] and len(held) < room and endpoint not in held:
                held.append(endpoint)
                wanted[endpoint] -= 1
                self._missing -= 1

    def subsets(self) -> Subsets:
        """Return the subsets as they stand."""
        return {entry: tuple(held) for entry, held in self._taken.items()}


def _rounded(coverage: float, name: str) -> int:
    """Round up for a fixed part of the names.

    When the mean moves slowly, endpoints change one after another.
    """
    part = xxhash.xxh3_64_intdigest(name.encode()) / _HASH_RANGE
    return math.floor(coverage + part)
