"""Approximate index of the prompt prefixes that endpoints have cached."""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Sequence
from typing import Final

from lentilspool.routing import _cache_events

_MAX_ENTRIES: Final = 20_000
_EXPIRE_BATCH_BLOCKS: Final = 1000
_ROUTED_LEASE_S: Final = 30.0
_REPORTED_LEASE_S: Final = 120.0
_AFTER_GAP_LEASE_S: Final = 10.0
_AFTER_RESYNC_LEASE_S: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _StreamPosition:
    incarnation: str
    sequence: int


class PrefixIndex:
    """Predicts which endpoints have cached the beginning of a prompt.

    Call ``expect_cached`` when a prompt is sent to an endpoint,
    ``apply_event`` for each cache event, ``apply_snapshot`` for each
    snapshot, ``remove_endpoint`` when an endpoint is removed, and
    ``cached_block_counts`` before a routing decision. Every index entry has a
    lease, so that wrong entries expire. At most ``max_entries`` are stored;
    the least recently used blocks are evicted first.
    """

    def __init__(
        self,
        max_entries: int = _MAX_ENTRIES,
        routed_lease_s: float = _ROUTED_LEASE_S,
        reported_lease_s: float = _REPORTED_LEASE_S,
    ) -> None:
        self._max_entries = max_entries
        self._routed_lease_s = routed_lease_s
        self._reported_lease_s = reported_lease_s
        self._lease_ends_by_block: collections.OrderedDict[
            int, dict[str, float]
        ] = collections.OrderedDict()
        self._size = 0
        self._positions: dict[str, _StreamPosition] = {}

    @property
    def size(self) -> int:
        """Number of index entries, each a pair of a block and an endpoint."""
        return self._size

    def cached_block_counts(
        self, prefix: Sequence[int], now: float
    ) -> dict[str, int]:
        """Return the number of leading blocks cached, by endpoint name.

        ``prefix`` has the hashes of the prompt's blocks in order. Endpoints
        without a cached block are omitted. Blocks missing in between are
        counted, because a cached block implies all blocks before it.
        """
        found: dict[str, int] = {}
        for depth in range(len(prefix), 0, -1):
            for endpoint, ends_at in self._lease_ends_by_block.get(
                prefix[depth - 1], {}
            ).items():
                if ends_at > now:
                    found.setdefault(endpoint, depth)
        return found

    def expect_cached(
        self, endpoint: str, prefix: Iterable[int], now: float
    ) -> None:
        """Expect the endpoint to cache the prompt that was sent to it.

        Call this also for prompts of other entries if the sidecar forwards
        their prefixes, because these arrive long before the cache events.
        """
        self._add(endpoint, prefix, now + self._routed_lease_s)

    def apply_event(
        self, event: _cache_events.CacheEvent, now: float
    ) -> _cache_events.CacheEventOutcome:
        """Apply a cache event; request a snapshot if events are missing.

        An event that is not newer than the last one is ignored. After a gap
        the endpoint's index entries stay, but with a short lease.
        """
        position = self._positions.get(event.endpoint)
        if position is None or position.incarnation != event.incarnation:
            if position is not None:
                self.remove_endpoint(event.endpoint)
            position = _StreamPosition(event.incarnation, event.sequence - 1)
        if event.sequence <= position.sequence:
            return _cache_events.Applied()
        missed = event.sequence - position.sequence - 1
        self._positions[event.endpoint] = _StreamPosition(
            event.incarnation, event.sequence
        )
        if missed:
            self._shorten_leases(event.endpoint, now + _AFTER_GAP_LEASE_S)
        self._remove(event.endpoint, event.evicted)
        self._add(event.endpoint, event.stored, now + self._reported_lease_s)
        if missed:
            return _cache_events.ResyncNeeded(event.endpoint, missed)
        return _cache_events.Applied()

    def apply_snapshot(
        self, snapshot: _cache_events.CacheSnapshot, now: float
    ) -> None:
        """Replace the index entries of an endpoint with a snapshot.

        A snapshot older than the last event is ignored. Index entries that
        are not in the snapshot stay for a short time, because their prompts
        may have been sent after it was made.
        """
        position = self._positions.get(snapshot.endpoint)
        if (
            position is not None
            and position.incarnation == snapshot.incarnation
            and position.sequence > snapshot.sequence
        ):
            return
        if (
            position is not None
            and position.incarnation != snapshot.incarnation
        ):
            self.remove_endpoint(snapshot.endpoint)
        self._shorten_leases(snapshot.endpoint, now + _AFTER_RESYNC_LEASE_S)
        self._positions[snapshot.endpoint] = _StreamPosition(
            snapshot.incarnation, snapshot.sequence
        )
        self._add(
            snapshot.endpoint, snapshot.blocks, now + self._reported_lease_s
        )

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint with all its index entries."""
        self._positions.pop(endpoint, None)
        blocks = [
            block
            for block, lease_ends in self._lease_ends_by_block.items()
            if endpoint in lease_ends
        ]
        self._remove(endpoint, blocks)

    def expire(self, now: float) -> None:
        """Remove index entries whose lease has ended, the oldest first.

        Checks a bounded number of blocks; call it once a second.
        """
        oldest = list(
            itertools.islice(
                self._lease_ends_by_block.items(), _EXPIRE_BATCH_BLOCKS
            )
        )
        for block, lease_ends in oldest:
            for endpoint, ends_at in list(lease_ends.items()):
                if ends_at <= now:
                    self._remove(endpoint, (block,))

    def _add(
        self, endpoint: str, blocks: Iterable[int], ends_at: float
    ) -> None:
        for block in blocks:
            lease_ends = self._lease_ends_by_block.setdefault(block, {})
            self._lease_ends_by_block.move_to_end(block)
            if endpoint not in lease_ends:
                self._size += 1
            lease_ends[endpoint] = max(ends_at, lease_ends.get(endpoint, 0))
        while self._size > self._max_entries:
            _, lease_ends = self._lease_ends_by_block.popitem(last=False)
            self._size -= len(lease_ends)

    def _remove(self, endpoint: str, blocks: Iterable[int]) -> None:
        for block in blocks:
            lease_ends = self._lease_ends_by_block.get(block, {})
            if lease_ends.pop(endpoint, None) is None:
                continue
            self._size -= 1
            if not lease_ends:
                self._lease_ends_by_block.pop(block)

    def _shorten_leases(self, endpoint: str, ends_at: float) -> None:
        for lease_ends in self._lease_ends_by_block.values():
            current = lease_ends.get(endpoint)
            if current is not None:
                lease_ends[endpoint] = min(ends_at, current)
