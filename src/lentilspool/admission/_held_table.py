"""Held requests of one entry, in bounded memory."""

import dataclasses
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


class HeldTable:
    """Requests by id, with a pointer to those that have moved."""

    def __init__(
        self, peer: types.Peer, limits: types.HandOffLimits | None = None
    ) -> None:
        self._peer = peer
        self._limits = limits or types.HandOffLimits()
        self._held: dict[str, Held] = {}
        self._left: dict[str, str] = {}

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
        known = request.request_id in self._held
        if not known and not self._has_room(request):
            return False
        self._left.pop(request.request_id, None)
        self._held[request.request_id] = Held(
            request, role, partner, now + self._limits.lease_s
        )
        return True

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
        if self._held.pop(request_id, None) is None:
            return
        self._left[request_id] = moved_to
        if len(self._left) > self._limits.max_held:
            self._left.pop(next(iter(self._left)))

    def has_left(self, request_id: str) -> bool:
        """Return whether a request was held here and was forgotten."""
        return request_id in self._left

    def collect(self, request_id: str) -> types.Collected | None:
        """Return what is known of a request; none if nothing is."""
        held = self._held.get(request_id)
        if held is None:
            moved = self._left.get(request_id)
            return types.Collected(None, moved) if moved else None
        if held.role is types.Role.standby:
            return types.Collected(None, held.partner)
        return types.Collected(held.outcome)

    def _has_room(self, request: types.HeldRequest) -> bool:
        held_bytes = sum(len(held.request.body) for held in self)
        return (
            len(self._held) < self._limits.max_held
            and held_bytes + len(request.body) <= self._limits.max_bytes
        )
