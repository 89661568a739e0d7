"""Owner's side of held requests: copies, leases and transfers."""

import dataclasses
import logging
from collections.abc import Iterable
from typing import Final

from lentilspool import kernel
from lentilspool.admission import _events, _held_table
from lentilspool.admission import _hand_off_types as types

_logger: Final = logging.getLogger(__name__)
_Role = types.Role


class HandOff:
    """Decides whether this entry may run the requests that it owns.

    Call ``accept`` and send the copy; return the token to the caller only
    when the standby has stored the copy and ``on_copy_stored`` has been
    called. Send ``renewals`` once a second and pass each answer to
    ``on_renewal_answer``. Return an outcome to the caller only if ``finish``
    allows it. Before a planned stop, send ``transfers``. The entry's
    ``Standby`` uses the same ``HeldTable``.
    """

    def __init__(self, table: _held_table.HeldTable) -> None:
        self._table = table
        self._lease_s = table.limits.lease_s
        self._renewed_standbys: set[str] = set()

    def accept(
        self,
        request: types.HeldRequest,
        peers: Iterable[types.Peer],
        now: float,
    ) -> types.SendCopy | kernel.NotRun:
        """Become the owner of a request; return the copy to send."""
        standby = self._table.choose_standby(request.request_id, peers)
        if standby is None:
            return kernel.NotRun(
                kernel.NotRunReason.not_ready,
                self._lease_s,
                'no entry in another availability zone can hold a copy',
            )
        if not self._table.add(request, _Role.owner, standby, now):
            return kernel.NotRun(kernel.NotRunReason.overloaded, self._lease_s)
        return types.SendCopy(request, standby)

    def on_copy_stored(
        self, request_id: str, standby: str, sent_at: float
    ) -> bool:
        """Count the lease of a stored copy from the time it was sent.

        Returns false if the request is not held or has another standby now.
        """
        record = self._table.get(request_id)
        if record is None or record.partner != standby:
            return False
        record.lease_ends_at = sent_at + self._lease_s
        return True

    def renewals(self) -> tuple[types.LeaseRenewal, ...]:
        """Return the renewals to send now, one for each standby.

        A standby with no requests left gets an empty renewal until it has
        answered, so that it drops its copies.
        """
        by_standby: dict[str, list[tuple[str, int]]] = {
            standby: [] for standby in sorted(self._renewed_standbys)
        }
        for record in self._table:
            if record.role is not _Role.standby and record.partner:
                claim = (record.request.request_id, record.request.epoch)
                by_standby.setdefault(record.partner, []).append(claim)
        self._renewed_standbys = set(by_standby)
        return tuple(
            types.LeaseRenewal(standby, tuple(claims))
            for standby, claims in by_standby.items()
        )

    def on_renewal_answer(
        self,
        sent: types.LeaseRenewal,
        answer: types.LeaseRenewalAnswer,
        sent_at: float,
    ) -> tuple[types.RunRequest | types.StopRequest | types.SendCopy, ...]:
        """Apply the standby's answer to a renewal sent at ``sent_at``.

        Suspended requests resume; requests that the standby has taken over
        are stopped here; missing copies are sent again.
        """
        actions: list[
            types.RunRequest | types.StopRequest | types.SendCopy
        ] = []
        if not sent.held:
            self._renewed_standbys.discard(sent.to)
        for request_id, epoch in sent.held:
            held = self._table.get(request_id)
            if held is None or held.request.epoch != epoch:
                continue
            if request_id in answer.taken:
                actions += self._stop_superseded(held, sent.to)
            else:
                missing = request_id in answer.missing
                actions += self._continue_owned(held, sent.to, missing, sent_at)
        return tuple(actions)

    def replace_standby(
        self, gone: str, peers: Iterable[types.Peer]
    ) -> tuple[types.SendCopy, ...]:
        """Return the copies to send to new standbys when one is gone."""
        known = tuple(peer for peer in peers if peer.name != gone)
        copies = []
        for record in self._table:
            if record.partner != gone or record.role is _Role.standby:
                continue
            standby = self._table.choose_standby(
                record.request.request_id, known
            )
            if standby is not None:
                record.partner = standby
                copies.append(
                    types.SendCopy(record.request, standby, record.outcome)
                )
        return tuple(copies)

    def transfers(
        self, peers: Iterable[types.Peer]
    ) -> tuple[types.Transfer, ...]:
        """Return the transfer of each owned request before a planned stop.

        The target is the standby if it is among the peers, because it has
        the copy already.
        """
        known = tuple(peers)
        staying = {peer.name for peer in known}
        planned = []
        for record in self._table:
            name = record.request.request_id
            target: str | None = record.partner
            if record.partner not in staying:
                target = self._table.choose_standby(name, known)
            if target is not None and record.role is not _Role.standby:
                epoch = record.request.epoch + 1
                next_request = dataclasses.replace(record.request, epoch=epoch)
                planned.append(
                    types.Transfer(next_request, target, record.outcome)
                )
        return tuple(planned)

    def on_transfer_acknowledged(
        self, request_id: str, to: str
    ) -> types.StopRequest:
        """Remove a request whose transfer a peer has acknowledged."""
        self._table.forget(request_id, to)
        return types.StopRequest(request_id)

    def finish(
        self, request_id: str, outcome: kernel.Outcome, now: float
    ) -> bool:
        """Store the outcome; return false if the caller may not get it yet.

        False means that the lease has ended or this entry is not the active
        owner, so another entry may have taken over. Then retain the outcome,
        send a renewal, and call again when it has been acknowledged.
        """
        record = self._table.get(request_id)
        if record is None or record.role is not _Role.owner:
            return False
        if record.lease_ends_at <= now:
            return False
        record.role = _Role.finished
        self._table.set_outcome(record, outcome, now)
        return True

    def outcome_copy(self, request_id: str) -> types.SendCopy | None:
        """Return the copy with the outcome, to be sent after ``finish``.

        A standby that has stored the outcome never runs the request again.
        """
        record = self._table.get(request_id)
        if record is None or record.outcome is None or not record.partner:
            return None
        return types.SendCopy(record.request, record.partner, record.outcome)

    def on_pause(self) -> tuple[types.StopRequest, ...]:
        """Suspend owned requests until their standby answers a renewal."""
        stops = []
        for record in self._table:
            if record.role is _Role.owner:
                record.role = _Role.suspended
                stops.append(types.StopRequest(record.request.request_id))
        return tuple(stops)

    def _stop_superseded(
        self, record: _held_table.HeldRecord, owner: str
    ) -> tuple[types.StopRequest, ...]:
        """Stop a request that the standby owns now.

        A finished request keeps its outcome, but has no standby any more.
        """
        if record.role is _Role.finished:
            record.partner = ''
            return ()
        request_id = record.request.request_id
        self._table.forget(request_id, owner)
        _events.SUPERSEDED.log(_logger, request=request_id)
        return (types.StopRequest(request_id),)

    def _continue_owned(
        self,
        record: _held_table.HeldRecord,
        standby: str,
        missing: bool,
        sent_at: float,
    ) -> list[types.RunRequest | types.StopRequest | types.SendCopy]:
        """Continue a request that the standby has not taken over."""
        actions: list[
            types.RunRequest | types.StopRequest | types.SendCopy
        ] = []
        if missing:
            actions.append(
                types.SendCopy(record.request, standby, record.outcome)
            )
        else:
            record.lease_ends_at = sent_at + self._lease_s
        if record.role is _Role.suspended:
            record.role = _Role.owner
            actions.append(types.RunRequest(record.request))
        return actions
