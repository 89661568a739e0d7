"""Requests that may wait, stored on two entries and run by one of them."""

from collections.abc import Iterable
from typing import Final

import trio

from lentilspool import admission, kernel, wire
from lentilspool.daemons import (
    _held_calls,
    _held_request_runner,
    _held_responder,
    _hosts,
    _outcome_codec,
)

_POLL_INTERVAL_S: Final = 0.1
_LEASE_CHECK_INTERVAL_S: Final = 0.5
_MAX_COLLECT_HOPS: Final = 4

Action = (
    admission.RunRequest
    | admission.StopRequest
    | admission.SendCopy
    | admission.Transfer
)


class HeldRequests(kernel.BaseComponent):
    """Executes the actions of ``admission.HandOff`` and ``Standby``.

    ``accept`` returns once a standby in another availability zone has stored
    a copy. The owner renews a lease at the standby, and the standby takes the
    request over when the lease expires. During a drain, every request is
    transferred to another entry.
    """

    def __init__(
        self,
        own_peer: admission.Peer,
        calls: _held_calls.HeldCalls,
        runner: _held_request_runner.HeldRequestRunner,
        nursery: trio.Nursery,
    ) -> None:
        self._own_peer = own_peer
        self._calls = calls
        self._runner = runner
        self._nursery = nursery
        self._table = admission.HeldTable(own_peer)
        self._owner = admission.HandOff(self._table)
        self._standby = admission.Standby(self._table)
        self.responder = _held_responder.HeldResponder(
            self._table, self._standby
        )
        self._peers: tuple[admission.Peer, ...] = ()
        self._draining = False

    def update_hosts(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Apply a new host list; replace standbys that are no longer live."""
        previous_names = {peer.name for peer in self._peers}
        self._peers = tuple(
            admission.Peer(host.name, host.zone)
            for host in hosts
            if host.role == 'entry'
            and host.name != self._own_peer.name
            and host.state == 'live'
        )
        for name in previous_names.difference(
            peer.name for peer in self._peers
        ):
            self._execute(self._owner.replace_standby(name, self._peers))

    async def accept(
        self, request: admission.HeldRequest, limit: int
    ) -> kernel.Accepted | kernel.NotRun | kernel.Unknown:
        """Store a request and start it; ``limit`` is the maximum of its team.

        A standby that does not answer may have stored the copy and may take
        over, so the request is started then too, with outcome ``Unknown``.
        """
        owned = sum(
            1 for held in self._table if _is_owned_for(held, request.team)
        )
        if owned >= limit:
            return kernel.NotRun(kernel.NotRunReason.team_limit, 1)
        now = trio.current_time()
        copy = self._owner.accept(request, self._peers, now)
        if isinstance(copy, kernel.NotRun):
            return copy
        stored = await self._send_copy(copy)
        if stored is False:
            self._table.forget(request.request_id)
            reason = kernel.NotRunReason.overloaded
            return kernel.NotRun(reason, 1, 'the standby has no room')
        self._start_run(request)
        token_parts = (request.request_id, self._own_peer.name, copy.to)
        token = '~'.join(('wait', *token_parts))
        if stored:
            return kernel.Accepted(token)
        return kernel.Unknown(token, kernel.UnknownReason.connection_lost)

    async def collect(self, token: str) -> kernel.Outcome | str:
        """Return the outcome for a token, or ``running`` or ``unknown``.

        The token names the entries that stored the request. An entry that has
        transferred it names the next one to query.
        """
        _, request_id, *entries = token.split('~')
        visited: set[str] = set()
        queue = [self._own_peer.name, *entries]
        while queue and len(visited) <= _MAX_COLLECT_HOPS:
            name = queue.pop(0)
            if name in visited:
                continue
            visited.add(name)
            found = await self._collect_from(request_id, name)
            if isinstance(found, admission.CollectResult):
                if not found.ask:
                    return found.outcome or 'running'
                queue.insert(0, found.ask)
        return 'unknown'

    async def serve(self, call: wire.HeldCall, peer: str) -> wire.HeldAnswer:
        """Store a copy, or accept a transfer, that another entry sent."""
        now = trio.current_time()
        request = _held_calls.request_from(call)
        outcome = _outcome_codec.decode(call.outcome) if call.outcome else None
        if call.action == 'copy':
            stored = self._standby.store(request, peer, now, outcome)
            if stored:
                self._runner.stop(request.request_id)
            return wire.HeldAnswer(call.call_id, stored)
        transfer = admission.Transfer(request, self._own_peer.name, outcome)
        if not self._draining:
            self._execute(
                self._standby.accept_transfer(transfer, self._peers, now)
            )
        held = self._table.get(request.request_id)
        owned = held is not None and held.role is not admission.Role.standby
        return wire.HeldAnswer(call.call_id, owned)

    async def start(self) -> None:
        """Start to renew own leases and to check those of other owners."""
        self._nursery.start_soon(self._renew_leases)
        self._nursery.start_soon(self._take_over_expired_leases)

    async def drain(self) -> None:
        """Transfer every owned request, or wait for its end."""
        self._draining = True
        while True:
            pending_transfers = self._owner.transfers(self._peers)
            if not pending_transfers and not any(map(_is_owned, self._table)):
                return
            for pending_transfer in pending_transfers:
                if await self._calls.transfer(pending_transfer):
                    request_id = pending_transfer.request.request_id
                    stop = self._owner.on_transfer_acknowledged(
                        request_id, pending_transfer.to
                    )
                    self._execute((stop,))
            await trio.sleep(_POLL_INTERVAL_S)

    def on_pause(self) -> None:
        """Suspend owned requests until their standbys renew the leases.

        A standby may have taken over while this process was paused.
        """
        self._execute(self._owner.on_pause())
        self._standby.on_pause(trio.current_time())

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        roles = self._table.roles()
        return {name: role.value for name, role in roles.items()}

    async def _renew_leases(self) -> None:
        while True:
            await trio.sleep(self._table.limits.renewal_interval_s)
            for renewal in self._owner.renewals():
                self._nursery.start_soon(self._renew_one, renewal)

    async def _renew_one(self, renewal: admission.LeaseRenewal) -> None:
        sent_at = trio.current_time()
        answer = await self._calls.renew(renewal)
        if answer is not None:
            actions = self._owner.on_renewal_answer(renewal, answer, sent_at)
            self._execute(actions)

    async def _take_over_expired_leases(self) -> None:
        while True:
            await trio.sleep(_LEASE_CHECK_INTERVAL_S)
            now = trio.current_time()
            self._execute(self._standby.take_over_expired(self._peers, now))

    async def _collect_from(
        self, request_id: str, name: str
    ) -> admission.CollectResult | None:
        if name == self._own_peer.name:
            return self._table.collect(request_id)
        answer = await self._calls.collect(request_id, name)
        if answer is None or answer.state == 'unknown':
            return None
        outcome = _outcome_codec.decode(answer.outcome)
        return admission.CollectResult(outcome, answer.ask)

    async def _send_copy(self, copy: admission.SendCopy) -> bool | None:
        sent_at = trio.current_time()
        stored = await self._calls.send_copy(copy)
        if stored:
            request_id = copy.request.request_id
            self._owner.on_copy_stored(request_id, copy.to, sent_at)
        return stored

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case admission.RunRequest(request=request):
                    self._start_run(request)
                case admission.StopRequest(request_id=request_id):
                    self._runner.stop(request_id)
                case admission.SendCopy():
                    self._nursery.start_soon(self._send_copy, action)

    def _start_run(self, request: admission.HeldRequest) -> None:
        self._nursery.start_soon(
            self._runner.run, request, self._publish_outcome
        )

    async def _publish_outcome(
        self, request: admission.HeldRequest, outcome: kernel.Outcome
    ) -> None:
        """Store an outcome once it is certain that no other entry is the owner.

        Until then this is checked again every ``_POLL_INTERVAL_S`` seconds.
        """
        request_id = request.request_id
        while self._table.get(request_id) is not None:
            if self._owner.finish(request_id, outcome, trio.current_time()):
                copy = self._owner.outcome_copy(request_id)
                self._execute((copy,) if copy else ())
                return
            await trio.sleep(_POLL_INTERVAL_S)


def _is_owned(held: admission.HeldRecord) -> bool:
    return held.role in {admission.Role.owner, admission.Role.suspended}


def _is_owned_for(held: admission.HeldRecord, team: str) -> bool:
    return _is_owned(held) and held.request.team == team
