"""Requests that one entry holds, in bounded memory."""

import dataclasses
import math
from collections.abc import Iterable, Iterator

import xxhash

from lentilspool import kernel
from lentilspool.admission import _hand_off_types as types


@dataclasses.dataclass(slots=True)
class HeldRecord:
    """Record of a request that this entry holds."""

    request: types.HeldRequest
    """The request, with the epoch of its current owner."""

    role: types.Role
    """Role of this entry for the request."""

    partner: str
    """Name of its standby, or of its owner if this entry is the standby."""

    lease_ends_at: float
    """End of the lease between owner and standby, on this entry's clock."""

    outcome: kernel.Outcome | None = None
    """Final outcome; ``None`` until the request has finished."""

    expires_at: float = math.inf
    """Time at which the outcome expires; infinite until there is one."""

    @property
    def size(self) -> int:
        """Bytes of the content and of a complete answer."""
        answer = b''
        if isinstance(self.outcome, kernel.Complete):
            answer = self.outcome.answer
        return len(self.request.body) + len(answer)


class HeldTable:
    """Held requests by id, with tombstones of requests no longer held.

    A tombstone holds the last epoch held here, and the entry that the
    request moved to, if any. There are at most ``max_held`` tombstones.
    """

    def __init__(
        self, peer: types.Peer, limits: types.HandOffLimits | None = None
    ) -> None:
        self._peer = peer
        self._limits = limits or types.HandOffLimits()
        self._records: dict[str, HeldRecord] = {}
        self._tombstones: dict[str, tuple[str, int]] = {}
        self._held_bytes = 0

    @property
    def name(self) -> str:
        """Name of this entry."""
        return self._peer.name

    @property
    def limits(self) -> types.HandOffLimits:
        """Memory bounds and times."""
        return self._limits

    @property
    def size(self) -> int:
        """Number of requests held."""
        return len(self._records)

    def roles(self) -> dict[str, types.Role]:
        """Return the role of this entry for each request id, for the dump."""
        return {record.request.request_id: record.role for record in self}

    def __iter__(self) -> Iterator[HeldRecord]:
        return iter(tuple(self._records.values()))

    def get(self, request_id: str) -> HeldRecord | None:
        """Return the record of a request, if it is held here."""
        return self._records.get(request_id)

    def add(
        self,
        request: types.HeldRequest,
        role: types.Role,
        partner: str,
        now: float,
    ) -> bool:
        """Add or replace a request; return false if the table is full."""
        self._forget_expired(now)
        known = request.request_id in self._records
        if not known and not self._has_room(request):
            return False
        self.drop(request.request_id)
        self._tombstones.pop(request.request_id, None)
        record = HeldRecord(request, role, partner, now + self._limits.lease_s)
        self._records[request.request_id] = record
        self._held_bytes += record.size
        return True

    def set_outcome(
        self, record: HeldRecord, outcome: kernel.Outcome, now: float
    ) -> None:
        """Store the outcome of a request until its retention ends."""
        self._held_bytes -= record.size
        record.outcome = outcome
        record.expires_at = now + self._limits.outcome_retention_s
        self._held_bytes += record.size

    def choose_standby(
        self, request_id: str, peers: Iterable[types.Peer]
    ) -> str | None:
        """Return a peer in another zone, or ``None`` if there is none.

        Rendezvous hashing by request id distributes copies over the peers.
        """
        elsewhere = [
            peer.name for peer in peers if peer.zone != self._peer.zone
        ]
        return max(
            elsewhere,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f'{request_id} {name}'.encode()
            ),
            default=None,
        )

    def forget(self, request_id: str, moved_to: str = '') -> None:
        """Remove a request that was collected, has expired or has moved.

        Its tombstone stays.
        """
        record = self._records.get(request_id)
        if record is None:
            return
        self.drop(request_id)
        self._tombstones[request_id] = (moved_to, record.request.epoch)
        if len(self._tombstones) > self._limits.max_held:
            self._tombstones.pop(next(iter(self._tombstones)))

    def drop(self, request_id: str) -> None:
        """Remove a request without leaving a tombstone."""
        record = self._records.pop(request_id, None)
        if record is not None:
            self._held_bytes -= record.size

    def has_tombstone(self, request_id: str, epoch: int) -> bool:
        """Return whether this or a later epoch was held here and removed."""
        tombstone = self._tombstones.get(request_id)
        return tombstone is not None and tombstone[1] >= epoch

    def collect(self, request_id: str) -> types.CollectResult | None:
        """Return what is known about a request; ``None`` if it is unknown."""
        record = self._records.get(request_id)
        if record is None:
            moved_to, _ = self._tombstones.get(request_id, ('', 0))
            return types.CollectResult(None, moved_to) if moved_to else None
        if record.role is types.Role.standby:
            return types.CollectResult(None, record.partner)
        return types.CollectResult(record.outcome)

    def _has_room(self, request: types.HeldRequest) -> bool:
        needed_bytes = self._held_bytes + len(request.body)
        return (
            len(self._records) < self._limits.max_held
            and needed_bytes <= self._limits.max_bytes
        )

    def _forget_expired(self, now: float) -> None:
        for record in self:
            if record.expires_at <= now:
                self.forget(record.request.request_id)
