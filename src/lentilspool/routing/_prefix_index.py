"""Approximate index of the prompt prefixes that endpoints have cached."""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Sequence
from typing import Final

from lentilspool.routing import _cache_events

_MAX_ENTRIES: Final = 20_000
_EXPIRE_BATCH: Final = 1000
_ROUTED_LEASE_S: Final = 30.0
_REPORTED_LEASE_S: Final = 120.0
_GAP_LEASE_S: Final = 10.0
_RESYNC_LEASE_S: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Stream:
    incarnation: str
    sequence: int


class PrefixIndex:
    """Tells which endpoints probably hold the beginning of a prompt.

    Call ``routed`` when a prompt is sent to an endpoint, ``applied`` for
    each cache event, ``resynchronized`` for each snapshot, ``dropped``
    when an endpoint goes, and ``depths`` before a choice. Every entry
    ends with its lease, so that wrong ones do not last; at most
    ``max_entries`` are kept, the least recently used go first.
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
        self._blocks: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._size = 0
        self._streams: dict[str, _Stream] = {}

    @property
    def size(self) -> int:
        """Number of entries: pairs of a block and an endpoint."""
        return self._size

    def depths(self, prefix: Sequence[int], now: float) -> dict[str, int]:
        """Return the number of leading blocks that each endpoint holds.

        ``prefix`` has the hashes of the prompt's blocks in their order.
        An endpoint that holds none is left out. Blocks missing in the
        middle do not matter: a later block implies them.
        """
        found: dict[str, int] = {}
        for depth in range(len(prefix), 0, -1):
            for endpoint, ends_at in self._blocks.get(
                prefix[depth - 1], {}
            ).items():
                if ends_at > now:
                    found.setdefault(endpoint, depth)
        return found

    def routed(self, endpoint: str, prefix: Iterable[int], now: float) -> None:
        """Expect the endpoint to hold the prompt that was sent to it.

        Call it also for prompts that other entries sent there, where the
        sidecar passes them on: they are known long before cache events.
        """
        self._hold(endpoint, prefix, now + self._routed_lease_s)

    def applied(
        self, event: _cache_events.CacheEvent, now: float
    ) -> _cache_events.CacheVerdict:
        """Take in an event; ask for a snapshot after a gap.

        An event that is older than the last is dropped. After a gap the
        endpoint's entries stay, but with a short lease.
        """
        held = self._streams.get(event.endpoint)
        if held is None or held.incarnation != event.incarnation:
            if held is not None:
                self.dropped(event.endpoint)
            held = _Stream(event.incarnation, event.sequence - 1)
        if event.sequence <= held.sequence:
            return _cache_events.Applied()
        missed = event.sequence - held.sequence - 1
        self._streams[event.endpoint] = _Stream(
            event.incarnation, event.sequence
        )
        if missed:
            self._shorten(event.endpoint, now + _GAP_LEASE_S)
        self._release(event.endpoint, event.evicted)
        self._hold(event.endpoint, event.stored, now + self._reported_lease_s)
        if missed:
            return _cache_events.ResyncNeeded(event.endpoint, missed)
        return _cache_events.Applied()

    def resynchronized(
        self, snapshot: _cache_events.CacheSnapshot, now: float
    ) -> None:
        """Replace what is known of the endpoint, unless it is newer.

        Entries that the snapshot lacks stay for a short time, since the
        prompts may have been sent after it was taken.
        """
        held = self._streams.get(snapshot.endpoint)
        if (
            held is not None
            and held.incarnation == snapshot.incarnation
            and held.sequence > snapshot.sequence
        ):
            return
        if held is not None and held.incarnation != snapshot.incarnation:
            self.dropped(snapshot.endpoint)
        self._shorten(snapshot.endpoint, now + _RESYNC_LEASE_S)
        self._streams[snapshot.endpoint] = _Stream(
            snapshot.incarnation, snapshot.sequence
        )
        self._hold(
            snapshot.endpoint, snapshot.blocks, now + self._reported_lease_s
        )

    def dropped(self, endpoint: str) -> None:
        """Forget all about an endpoint."""
        self._streams.pop(endpoint, None)
        held = [
            block
            for block, holders in self._blocks.items()
            if endpoint in holders
        ]
        self._release(endpoint, held)

    def expire(self, now: float) -> None:
        """Free entries whose lease has ended, the oldest first.

        Looks at a bounded number of blocks; call it once a second.
        """
        oldest = list(itertools.islice(self._blocks.items(), _EXPIRE_BATCH))
        for block, holders in oldest:
            for endpoint, ends_at in list(holders.items()):
                if ends_at <= now:
                    self._release(endpoint, (block,))

    def _hold(
        self, endpoint: str, blocks: Iterable[int], ends_at: float
    ) -> None:
        for block in blocks:
            holders = self._blocks.setdefault(block, {})
            self._blocks.move_to_end(block)
            if endpoint not in holders:
                self._size += 1
            holders[endpoint] = max(ends_at, holders.get(endpoint, 0))
        while self._size > self._max_entries:
            _, holders = self._blocks.popitem(last=False)
            self._size -= len(holders)

    def _release(self, endpoint: str, blocks: Iterable[int]) -> None:
        for block in blocks:
            holders = self._blocks.get(block, {})
            if holders.pop(endpoint, None) is None:
                continue
            self._size -= 1
            if not holders:
                self._blocks.pop(block)

    def _shorten(self, endpoint: str, ends_at: float) -> None:
        for holders in self._blocks.values():
            held_until = holders.get(endpoint)
            if held_until is not None:
                holders[endpoint] = min(ends_at, held_until)
