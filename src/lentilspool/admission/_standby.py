"""Standby's side of held requests: copies and takeover."""

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

    Call ``store`` for each copy received, ``on_renewal`` for each
    renewal, ``accept_transfer`` for each transfer, and ``take_over_expired``
    once a second.
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
        """Store a copy for its owner; return whether it was stored.

        If it was, this entry must stop running the request.
        """
        record = self._table.get(request.request_id)
        if record and not self._is_superseded_by(record, request.epoch, owner):
            return False
        if not self._table.add(request, _Role.standby, owner, now):
            return False
        stored = self._table.get(request.request_id)
        if stored and outcome is not None:
            self._table.set_outcome(stored, outcome, now)
        return True

    def on_renewal(
        self, claims: Iterable[tuple[str, int]], owner: str, now: float
    ) -> types.LeaseRenewalAnswer:
        """Extend an owner's leases; report requests to stop or copy again.

        ``claims`` holds the id and epoch of every request that the owner
        has at this standby. Its other copies are dropped. The answer lists
        requests that have another owner or have ended, and requests that
        have no copy here.
        """
        claims = tuple(claims)
        self._drop_unclaimed({request_id for request_id, _ in claims}, owner)
        taken: list[str] = []
        missing: list[str] = []
        for request_id, epoch in claims:
            if self._has_other_owner(request_id, epoch, owner):
                taken.append(request_id)
            elif not self._extend_lease(request_id, epoch, owner, now):
                missing.append(request_id)
        return types.LeaseRenewalAnswer(tuple(taken), tuple(missing))

    def take_over_expired(
        self, peers: Iterable[types.Peer], now: float
    ) -> tuple[types.RunRequest | types.SendCopy, ...]:
        """Take over copies whose lease has ended.

        Returns the requests to run, and new copies to send to a standby.
        """
        known = tuple(peers)
        actions: list[types.RunRequest | types.SendCopy] = []
        for record in self._table:
            if record.role is _Role.standby and record.lease_ends_at <= now:
                epoch = record.request.epoch + 1
                _events.TAKEN_OVER.log(
                    _logger,
                    request=record.request.request_id,
                    owner=record.partner,
                )
                request = dataclasses.replace(record.request, epoch=epoch)
                actions += self._become_owner(
                    request, known, now, record.outcome
                )
        return tuple(actions)

    def accept_transfer(
        self,
        transfer: types.Transfer,
        peers: Iterable[types.Peer],
        now: float,
    ) -> tuple[types.RunRequest | types.SendCopy, ...]:
        """Become the owner of a request that a stopping entry transfers.

        Returns no actions if the same or a later epoch is held, or if the
        table is full; then the transfer must not be acknowledged.
        """
        record = self._table.get(transfer.request.request_id)
        if record and record.request.epoch >= transfer.request.epoch:
            return ()
        return self._become_owner(
            transfer.request, tuple(peers), now, transfer.outcome
        )

    def on_pause(self, now: float) -> None:
        """Restart all leases, because unread renewals may have arrived."""
        for record in self._table:
            if record.role is _Role.standby:
                record.lease_ends_at = now + self._lease_s

    def _become_owner(
        self,
        request: types.HeldRequest,
        peers: tuple[types.Peer, ...],
        now: float,
        outcome: kernel.Outcome | None = None,
    ) -> tuple[types.RunRequest | types.SendCopy, ...]:
        standby = self._table.choose_standby(request.request_id, peers) or ''
        if not self._table.add(request, _Role.owner, standby, now):
            return ()
        record = self._table.get(request.request_id)
        actions: list[types.RunRequest | types.SendCopy] = [
            types.RunRequest(request)
        ]
        if record and outcome is not None:
            record.role = _Role.finished
            self._table.set_outcome(record, outcome, now)
            actions = []
        if standby:
            actions.append(types.SendCopy(request, standby, outcome))
        return tuple(actions)

    def _has_other_owner(self, request_id: str, epoch: int, owner: str) -> bool:
        record = self._table.get(request_id)
        if record is None:
            return self._table.has_tombstone(request_id, epoch)
        return not self._is_superseded_by(record, epoch, owner)

    def _extend_lease(
        self, request_id: str, epoch: int, owner: str, now: float
    ) -> bool:
        """Extend a copy's lease; return false if this epoch is not held."""
        record = self._table.get(request_id)
        if record is None or record.role is not _Role.standby:
            return False
        if record.request.epoch != epoch:
            return False
        record.partner = owner
        record.lease_ends_at = now + self._lease_s
        return True

    def _is_superseded_by(
        self, record: _held_table.HeldRecord, epoch: int, owner: str
    ) -> bool:
        """Return whether another owner's claim supersedes this record.

        The later epoch wins. Of two owners with the same epoch, the one
        with the greater name wins, so that exactly one of them stops.
        """
        if record.role is _Role.finished:
            return False
        if record.role is _Role.standby:
            return epoch >= record.request.epoch
        return (epoch, owner) > (record.request.epoch, self._table.name)

    def _drop_unclaimed(self, claimed: set[str], owner: str) -> None:
        for record in self._table:
            request_id = record.request.request_id
            is_copy = record.role is _Role.standby and record.partner == owner
            if is_copy and request_id not in claimed:
                self._table.drop(request_id)
