"""Held requests of one entry, in bounded memory."""

import dataclasses
import math
from collections.abc import Iterable, Iterator

import xxhash

from lentilspool import kernel
from lentilspool.admission import _hand_off_types as types


@dataclasses.dataclass(slots=True)
class Held:
    """A request as one entry holds it."""

    request: types.HeldRequest
    """The request, with the epoch of its present owner."""

    role: types.Role
    """What this entry is to it."""

    partner: str
    """Its standby, or its owner if this entry is the standby."""

    lease_ends: float
    """End of the lease between owner and standby, on this clock."""

    outcome: kernel.Outcome | None = None
    """Final outcome; none until then."""

    ends_at: float = math.inf
    """Time at which an outcome is forgotten; later than any run ends."""

    @property
    def size(self) -> int:
        """Bytes of the content and the answer."""
        answer = b''
        if isinstance(self.outcome, kernel.Complete):
            answer = self.outcome.answer
        return len(self.request.body) + len(answer)


class HeldTable:
    """Requests by id, with a pointer to those that have moved."""

    def __init__(
        self, peer: types.Peer, limits: types.HandOffLimits | None = None
    ) -> None:
        self._peer = peer
        self._limits = limits or types.HandOffLimits()
        self._held: dict[str, Held] = {}
        self._left: dict[str, tuple[str, int]] = {}
        self._held_bytes = 0

    @property
    def name(self) -> str:
        """Name of this entry."""
        return self._peer.name

    @property
    def limits(self) -> types.HandOffLimits:
        """Bounds and times."""
        return self._limits

    @property
    def size(self) -> int:
        """Number of requests held."""
        return len(self._held)

    def roles(self) -> dict[str, types.Role]:
        """Return the role for each request, for the dump."""
        return {held.request.request_id: held.role for held in self}

    def __iter__(self) -> Iterator[Held]:
        return iter(tuple(self._held.values()))

    def get(self, request_id: str) -> Held | None:
        """Return a request that is held here."""
        return self._held.get(request_id)

    def add(
        self,
        request: types.HeldRequest,
        role: types.Role,
        partner: str,
        now: float,
    ) -> bool:
        """Hold a request; return false if there is no room for it."""
        self._forget_expired(now)
        known = request.request_id in self._held
        if not known and not self._has_room(request):
            return False
        self.drop(request.request_id)
        self._left.pop(request.request_id, None)
        held = Held(request, role, partner, now + self._limits.lease_s)
        self._held[request.request_id] = held
        self._held_bytes += held.size
        return True

    def set_outcome(
        self, held: Held, outcome: kernel.Outcome, now: float
    ) -> None:
        """Keep the outcome of a request until it is too old."""
        self._held_bytes -= held.size
        held.outcome = outcome
        held.ends_at = now + self._limits.keep_s
        self._held_bytes += held.size

    def choose(
        self, request_id: str, peers: Iterable[types.Peer]
    ) -> str | None:
        """Return a peer in another zone, spread by the request's id."""
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
        """Drop a request that was collected, has ended, or has moved."""
        held = self._held.get(request_id)
        if held is None:
            return
        self.drop(request_id)
        self._left[request_id] = (moved_to, held.request.epoch)
        if len(self._left) > self._limits.max_held:
            self._left.pop(next(iter(self._left)))

    def drop(self, request_id: str) -> None:
        """Drop a copy that its owner holds no more; leave no pointer."""
        held = self._held.pop(request_id, None)
        if held is not None:
            self._held_bytes -= held.size

    def has_left(self, request_id: str, epoch: int) -> bool:
        """Return whether this or a later epoch was held and forgotten."""
        left = self._left.get(request_id)
        return left is not None and left[1] >= epoch

    def collect(self, request_id: str) -> types.Collected | None:
        """Return what is known of a request; none if nothing is."""
        held = self._held.get(request_id)
        if held is None:
            moved_to, _ = self._left.get(request_id, ('', 0))
            return types.Collected(None, moved_to) if moved_to else None
        if held.role is types.Role.standby:
            return types.Collected(None, held.partner)
        return types.Collected(held.outcome)

    def _has_room(self, request: types.HeldRequest) -> bool:
        needed_bytes = self._held_bytes + len(request.body)
        return (
            len(self._held) < self._limits.max_held
            and needed_bytes <= self._limits.max_bytes
        )

    def _forget_expired(self, now: float) -> None:
        for held in self:
            if held.ends_at <= now:
                self.forget(held.request.request_id)
