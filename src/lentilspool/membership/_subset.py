"""Balanced subsets: which entry keeps leases with which endpoints.

Every entry computes the whole assignment of a pool from its own view and
uses its own part of it. Each pair of entry and endpoint has a score, which
is a hash of both names. Every endpoint gets about the same number of
entries: pairs are assigned in the order of their scores while both sides
have capacity. This greedy matching is stable: when a host is removed, only
the pairs that compete for the freed capacity change.
"""

import dataclasses
import math
from collections.abc import Iterator, Sequence
from typing import Final

import xxhash

_HASH_BITS: Final = 64
_HASH_RANGE: Final = float(1 << _HASH_BITS)
# The first pass considers this many times the pairs that are needed.
_FIRST_PASS_COVERAGE_FACTOR: Final = 4

Subsets = dict[str, tuple[str, ...]]
_Pair = tuple[float, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLocation:
    """Name and zone of a process."""

    name: str
    """Name of the process, unique in the fleet."""

    zone: str
    """Availability zone of the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubsetLimits:
    """Size and balance of subsets."""

    coverage: int = 24
    """Entries that keep a lease with each endpoint, if that many exist."""

    min_size: int = 2
    """Least size of a subset, and the mean size in the smallest pools."""

    max_below_mean: int = 1
    """Endpoints by which a subset may be smaller than the mean."""

    max_above_mean: int = 2
    """Endpoints by which a subset may be larger than the mean."""

    remote_penalty: float = 4.0
    """Factor on the score of pairs across zones; 1 for no zone preference.

    Pairs with lower scores are assigned first.
    """


def even_subsets(
    entries: Sequence[ProcessLocation],
    endpoints: Sequence[ProcessLocation],
    limits: SubsetLimits,
) -> Subsets:
    """Return the endpoint names of each entry, preferred ones first.

    The order of ``entries`` and ``endpoints`` does not affect the subsets.
    """
    if not entries or not endpoints:
        return {entry.name: () for entry in entries}
    coverage = mean_coverage(len(entries), len(endpoints), limits)
    if coverage >= len(entries):
        return {
            entry.name: preference_order(
                entry, endpoints, limits.remote_penalty
            )
            for entry in entries
        }
    return _match_pairs(entries, endpoints, coverage, limits)


def mean_coverage(entries: int, endpoints: int, limits: SubsetLimits) -> float:
    """Return the mean number of entries that keep a lease with an endpoint."""
    needed = limits.min_size * entries / max(endpoints, 1)
    return min(max(limits.coverage, needed), entries)


def preference_order(
    entry: ProcessLocation,
    endpoints: Sequence[ProcessLocation],
    remote_penalty: float,
) -> tuple[str, ...]:
    """Return all endpoint names in the entry's order of preference."""
    scored = sorted(_scores((entry,), endpoints, remote_penalty))
    return tuple(endpoint for _, _, endpoint in scored)


def _match_pairs(
    entries: Sequence[ProcessLocation],
    endpoints: Sequence[ProcessLocation],
    coverage: float,
    limits: SubsetLimits,
) -> Subsets:
    size = math.ceil(coverage * len(endpoints) / len(entries))
    penalty = limits.remote_penalty
    score_limit = (
        min(_FIRST_PASS_COVERAGE_FACTOR * coverage / len(entries), 1.0)
        * penalty
    )
    best_pairs = sorted(_scores(entries, endpoints, penalty, score_limit))
    assignment = _Assignment(entries, endpoints, coverage)
    assignment.assign(best_pairs, size - limits.max_below_mean)
    assignment.assign(best_pairs, size + limits.max_above_mean)
    if assignment.unassigned:
        all_pairs = sorted(_scores(entries, endpoints, penalty))
        assignment.assign(all_pairs, size + limits.max_above_mean)
        assignment.assign(all_pairs, len(endpoints))
    assignment.fill_to(best_pairs, limits.min_size)
    small = tuple(
        place
        for place in entries
        if assignment.is_smaller(place, limits.min_size)
    )
    assignment.fill_to(
        sorted(_scores(small, endpoints, penalty)), limits.min_size
    )
    return assignment.subsets()


def _scores(
    entries: Sequence[ProcessLocation],
    endpoints: Sequence[ProcessLocation],
    penalty: float,
    score_limit: float = math.inf,
) -> Iterator[_Pair]:
    """Yield score, entry and endpoint of the pairs below ``score_limit``.

    Scores are between zero and the penalty; lower ones are preferred.
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
            if score < score_limit:
                yield score, entry.name, endpoint.name


class _Assignment:
    """Pairs assigned so far, and the entries that endpoints still need."""

    def __init__(
        self,
        entries: Sequence[ProcessLocation],
        endpoints: Sequence[ProcessLocation],
        coverage: float,
    ) -> None:
        self._remaining = {
            place.name: _round_by_name(coverage, place.name)
            for place in endpoints
        }
        self._unassigned = sum(self._remaining.values())
        self._assigned: dict[str, list[str]] = {
            entry.name: [] for entry in entries
        }

    @property
    def unassigned(self) -> int:
        """Number of entries that endpoints still need."""
        return self._unassigned

    def assign(self, pairs: list[_Pair], max_size: int) -> None:
        """Assign the pairs in order while both sides have capacity.

        ``max_size`` is the capacity of each entry's subset.
        """
        remaining = self._remaining
        for _, entry, endpoint in pairs:
            names = self._assigned[entry]
            if (
                remaining[endpoint]
                and len(names) < max_size
                and endpoint not in names
            ):
                names.append(endpoint)
                remaining[endpoint] -= 1
                self._unassigned -= 1

    def fill_to(self, pairs: list[_Pair], size: int) -> None:
        """Extend subsets to ``size``, beyond the need of the endpoints."""
        for _, entry, endpoint in pairs:
            names = self._assigned[entry]
            if len(names) < size and endpoint not in names:
                names.append(endpoint)

    def is_smaller(self, entry: ProcessLocation, size: int) -> bool:
        """Tell whether the entry's subset is smaller than the size."""
        return len(self._assigned[entry.name]) < size

    def subsets(self) -> Subsets:
        """Return the assigned endpoint names of each entry."""
        return {entry: tuple(names) for entry, names in self._assigned.items()}


def _round_by_name(coverage: float, name: str) -> int:
    """Round up for some names and down for others, by a hash of the name.

    The mean over all names stays close to ``coverage``. When the coverage
    changes slowly, endpoints therefore change one after another.
    """
    fraction = xxhash.xxh3_64_intdigest(name.encode()) / _HASH_RANGE
    return math.floor(coverage + fraction)
