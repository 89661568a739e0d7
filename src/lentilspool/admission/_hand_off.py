"""Owner's side of requests that may wait: copies, leases and transfer."""

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
    """Decides whether this entry may work on the requests that it owns.

    Call ``accept`` and give the caller its token when the standby has
    stored the copy and ``confirm`` has been called. Send ``renewals`` once
    a second, pass each answer to ``acknowledged``, and ask ``finish``
    before an outcome is shown. Before a planned stop, send ``transfers``.
    Shares its ``HeldTable`` with the entry's ``Standby``.
    """

    def __init__(self, table: _held_table.HeldTable) -> None:
        self._table = table
        self._lease_s = table.limits.lease_s
        self._standbys: set[str] = set()

    def accept(
        self,
        request: types.HeldRequest,
        peers: Iterable[types.Peer],
        now: float,
    ) -> types.Copy | kernel.NotRun:
        """Own a request; return the copy that is to be made."""
        standby = self._table.choose(request.request_id, peers)
        if standby is None:
            return kernel.NotRun(
                kernel.NotRunReason.not_ready,
                self._lease_s,
                'no entry in another zone can hold a copy',
            )
        if not self._table.add(request, _Role.owner, standby, now):
            return kernel.NotRun(kernel.NotRunReason.overloaded, self._lease_s)
        return types.Copy(request, standby)

    def confirm(self, request_id: str, standby: str, sent_at: float) -> bool:
        """Note that a standby has stored the copy sent at ``sent_at``."""
        held = self._table.get(request_id)
        if held is None or held.partner != standby:
            return False
        held.lease_ends = sent_at + self._lease_s
        return True

    def renewals(self) -> tuple[types.Renew, ...]:
        """Return the renewals to send now, one for each standby.

        A standby of which nothing is wanted any more gets an empty one
        until it has answered, so that it drops its copies.
        """
        by_standby: dict[str, list[tuple[str, int]]] = {
            standby: [] for standby in sorted(self._standbys)
        }
        for held in self._table:
            if held.role is not _Role.standby and held.partner:
                claim = (held.request.request_id, held.request.epoch)
                by_standby.setdefault(held.partner, []).append(claim)
        self._standbys = set(by_standby)
        return tuple(
            types.Renew(standby, tuple(claims))
            for standby, claims in by_standby.items()
        )

    def acknowledged(
        self, sent: types.Renew, answer: types.Renewed, sent_at: float
    ) -> tuple[types.Run | types.Stop | types.Copy, ...]:
        """Take the standby's answer to a renewal sent at ``sent_at``.

        Requests that a pause had suspended go on; those that the standby
        has taken over are stopped here; missing copies are made again.
        """
        actions: list[types.Run | types.Stop | types.Copy] = []
        if not sent.held:
            self._standbys.discard(sent.to)
        for request_id, epoch in sent.held:
            held = self._table.get(request_id)
            if held is None or held.request.epoch != epoch:
                continue
            if request_id in answer.taken:
                actions += self._lose(held, sent.to)
            else:
                missing = request_id in answer.missing
                actions += self._keep(held, sent.to, missing, sent_at)
        return tuple(actions)

    def replace_standby(
        self, gone: str, peers: Iterable[types.Peer]
    ) -> tuple[types.Copy, ...]:
        """Return the copies to make when a standby is gone."""
        known = tuple(peer for peer in peers if peer.name != gone)
        copies = []
        for held in self._table:
            if held.partner != gone or held.role is _Role.standby:
                continue
            standby = self._table.choose(held.request.request_id, known)
            if standby is not None:
                held.partner = standby
                copies.append(types.Copy(held.request, standby, held.outcome))
        return tuple(copies)

    def transfers(
        self, peers: Iterable[types.Peer]
    ) -> tuple[types.Transfer, ...]:
        """Return where each owned request goes before a planned stop.

        It goes to its standby if that one stays, as it has the copy.
        """
        known = tuple(peers)
        staying = {peer.name for peer in known}
        moves = []
        for held in self._table:
            name = held.request.request_id
            target: str | None = held.partner
            if held.partner not in staying:
                target = self._table.choose(name, known)
            if target is not None and held.role is not _Role.standby:
                epoch = held.request.epoch + 1
                moved = dataclasses.replace(held.request, epoch=epoch)
                moves.append(types.Transfer(moved, target, held.outcome))
        return tuple(moves)

    def transferred(self, request_id: str, to: str) -> types.Stop:
        """Forget a request that a peer has acknowledged to own."""
        self._table.forget(request_id, to)
        return types.Stop(request_id)

    def finish(
        self, request_id: str, outcome: kernel.Outcome, now: float
    ) -> bool:
        """Keep the outcome; false if this entry may not show it now.

        Then another entry may have taken over: keep the outcome, renew,
        and ask again when the renewal has been acknowledged.
        """
        held = self._table.get(request_id)
        if held is None or held.role is not _Role.owner:
            return False
        if held.lease_ends <= now:
            return False
        held.role = _Role.finished
        self._table.set_outcome(held, outcome, now)
        return True

    def share(self, request_id: str) -> types.Copy | None:
        """Return the copy with the outcome, to be sent after ``finish``.

        A standby that has it never runs the request again.
        """
        held = self._table.get(request_id)
        if held is None or held.outcome is None or not held.partner:
            return None
        return types.Copy(held.request, held.partner, held.outcome)

    def on_pause(self) -> tuple[types.Stop, ...]:
        """Suspend owned requests until their standby confirms them."""
        stops = []
        for held in self._table:
            if held.role is _Role.owner:
                held.role = _Role.suspended
                stops.append(types.Stop(held.request.request_id))
        return tuple(stops)

    def _lose(
        self, held: _held_table.Held, owner: str
    ) -> tuple[types.Stop, ...]:
        """Stop a request that the standby owns; keep a finished outcome."""
        if held.role is _Role.finished:
            held.partner = ''
            return ()
        request_id = held.request.request_id
        self._table.forget(request_id, owner)
        _events.SUPERSEDED.log(_logger, request=request_id)
        return (types.Stop(request_id),)

    def _keep(
        self,
        held: _held_table.Held,
        standby: str,
        missing: bool,
        sent_at: float,
    ) -> list[types.Run | types.Stop | types.Copy]:
        """Go on with a request that the standby leaves to this entry."""
        actions: list[types.Run | types.Stop | types.Copy] = []
        if missing:
            actions.append(types.Copy(held.request, standby, held.outcome))
        else:
            held.lease_ends = sent_at + self._lease_s
        if held.role is _Role.suspended:
            held.role = _Role.owner
            actions.append(types.Run(held.request))
        return actions
