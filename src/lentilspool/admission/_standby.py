"""Standby's side of requests that may wait: copies and takeover."""

import dataclasses
import logging
from collections.abc import Iterable
from typing import Final

from lentilspool import kernel
from lentilspool.admission import _events, _held_table
from lentilspool.admission import _hand_off_types as types

_logger: Final = logging.getLogger(__name__)
_Role = types.Role


class Standby:
    """Holds copies for other entries, and takes over when a lease ends.

    Call ``store`` for each copy, ``renewed`` for each renewal, ``receive``
    for each transfer, and ``due`` once a second.
    """

    def __init__(self, table: _held_table.HeldTable) -> None:
        self._table = table
        self._lease_s = table.limits.lease_s

    def store(
        self,
        request: types.HeldRequest,
        owner: str,
        now: float,
        outcome: kernel.Outcome | None = None,
    ) -> bool:
        """Hold a copy for its owner; return whether it is stored.

        If it is, any work on the request here has to stop.
        """
        held = self._table.get(request.request_id)
        if held and not self._yields(held, request.epoch, owner):
            return False
        if not self._table.add(request, _Role.standby, owner, now):
            return False
        stored = self._table.get(request.request_id)
        if stored and outcome is not None:
            self._table.set_outcome(stored, outcome, now)
        return True

    def renewed(
        self, claims: Iterable[tuple[str, int]], owner: str, now: float
    ) -> types.Renewed:
        """Extend an owner's leases; tell which requests are not its own.

        Claims are all that the owner holds here: other copies are dropped.
        """
        claims = tuple(claims)
        self._drop_unclaimed({request_id for request_id, _ in claims}, owner)
        taken: list[str] = []
        missing: list[str] = []
        for request_id, epoch in claims:
            if self._is_taken(request_id, epoch, owner):
                taken.append(request_id)
            elif not self._extend(request_id, epoch, owner, now):
                missing.append(request_id)
        return types.Renewed(tuple(taken), tuple(missing))

    def due(
        self, peers: Iterable[types.Peer], now: float
    ) -> tuple[types.Run | types.Copy, ...]:
        """Take over copies whose lease has ended, and copy them again."""
        known = tuple(peers)
        actions: list[types.Run | types.Copy] = []
        for held in self._table:
            if held.role is _Role.standby and held.lease_ends <= now:
                epoch = held.request.epoch + 1
                _events.TAKEN_OVER.log(
                    _logger,
                    request=held.request.request_id,
                    owner=held.partner,
                )
                request = dataclasses.replace(held.request, epoch=epoch)
                actions += self._own(request, known, now, held.outcome)
        return tuple(actions)

    def receive(
        self,
        transfer: types.Transfer,
        peers: Iterable[types.Peer],
        now: float,
    ) -> tuple[types.Run | types.Copy, ...]:
        """Own a request that a stopping entry has transferred.

        Returns nothing if a later epoch is held or there is no room; then
        the transfer must not be acknowledged.
        """
        held = self._table.get(transfer.request.request_id)
        if held and held.request.epoch >= transfer.request.epoch:
            return ()
        return self._own(transfer.request, tuple(peers), now, transfer.outcome)

    def on_pause(self, now: float) -> None:
        """Let leases begin anew: renewals may be waiting to be read."""
        for held in self._table:
            if held.role is _Role.standby:
                held.lease_ends = now + self._lease_s

    def _own(
        self,
        request: types.HeldRequest,
        peers: tuple[types.Peer, ...],
        now: float,
        outcome: kernel.Outcome | None = None,
    ) -> tuple[types.Run | types.Copy, ...]:
        standby = self._table.choose(request.request_id, peers) or ''
        if not self._table.add(request, _Role.owner, standby, now):
            return ()
        held = self._table.get(request.request_id)
        actions: list[types.Run | types.Copy] = [types.Run(request)]
        if held and outcome is not None:
            held.role = _Role.finished
            self._table.set_outcome(held, outcome, now)
            actions = []
        if standby:
            actions.append(types.Copy(request, standby, outcome))
        return tuple(actions)

    def _is_taken(self, request_id: str, epoch: int, owner: str) -> bool:
        held = self._table.get(request_id)
        if held is None:
            return self._table.has_left(request_id, epoch)
        return not self._yields(held, epoch, owner)

    def _extend(
        self, request_id: str, epoch: int, owner: str, now: float
    ) -> bool:
        """Extend the lease of a copy; return whether this one is held."""
        held = self._table.get(request_id)
        if held is None or held.role is not _Role.standby:
            return False
        if held.request.epoch != epoch:
            return False
        held.partner = owner
        held.lease_ends = now + self._lease_s
        return True

    def _yields(self, held: _held_table.Held, epoch: int, owner: str) -> bool:
        """Return whether another owner's claim goes before what is held.

        The later epoch wins, and of two owners with the same epoch the one
        with the greater name, so that exactly one of them stops.
        """
        if held.role is _Role.finished:
            return False
        if held.role is _Role.standby:
            return epoch >= held.request.epoch
        return (epoch, owner) > (held.request.epoch, self._table.name)

    def _drop_unclaimed(self, claimed: set[str], owner: str) -> None:
        for held in self._table:
            request_id = held.request.request_id
            is_copy = held.role is _Role.standby and held.partner == owner
            if is_copy and request_id not in claimed:
                self._table.drop(request_id)
