"""Requests that may wait: held by two entries, run by one of them."""

from collections.abc import Iterable
from typing import Final

import trio

from lentilspool import admission, kernel, wire
from lentilspool.daemons import (
    _held_calls,
    _held_desk,
    _hosts,
    _outcome_codec,
    _waiting_runs,
)

_POLL_S: Final = 0.1
_DUE_S: Final = 0.5
_HOPS: Final = 4

Action = (
    admission.RunRequest
    | admission.StopRequest
    | admission.SendCopy
    | admission.Transfer
)


class Waiting(kernel.BaseComponent):
    """Carries out what ``admission.HandOff`` and ``Standby`` decide.

    ``accept`` returns once a standby in another zone holds a copy. The
    owner renews its leases there; a standby whose owner falls silent takes
    over. During a drain, every request moves to another entry.
    """

    def __init__(
        self,
        me: admission.Peer,
        calls: _held_calls.HeldCalls,
        runs: _waiting_runs.WaitingRuns,
        nursery: trio.Nursery,
    ) -> None:
        self._me = me
        self._calls = calls
        self._runs = runs
        self._nursery = nursery
        self._table = admission.HeldTable(me)
        self._owner = admission.HandOff(self._table)
        self._standby = admission.Standby(self._table)
        self.desk = _held_desk.HeldDesk(self._table, self._standby)
        self._peers: tuple[admission.Peer, ...] = ()
        self._draining = False

    def follow(self, hosts: tuple[_hosts.Host, ...]) -> None:
        """Take a new host list."""
        gone = {peer.name for peer in self._peers}
        self._peers = tuple(
            admission.Peer(host.name, host.zone)
            for host in hosts
            if host.role == 'entry'
            and host.name != self._me.name
            and host.state == 'live'
        )
        for name in gone.difference(peer.name for peer in self._peers):
            self._carry_out(self._owner.replace_standby(name, self._peers))

    async def accept(
        self, request: admission.HeldRequest, limit: int
    ) -> kernel.Accepted | kernel.NotRun | kernel.Unknown:
        """Hold a request; ``limit`` bounds those of its team.

        A standby that does not answer may hold the copy and take over, so
        the request is worked on then too, and the outcome is ``Unknown``.
        """
        owned = sum(1 for held in self._table if _owned(held, request.team))
        if owned >= limit:
            return kernel.NotRun(kernel.NotRunReason.team_limit, 1)
        now = trio.current_time()
        copy = self._owner.accept(request, self._peers, now)
        if isinstance(copy, kernel.NotRun):
            return copy
        stored = await self._copy(copy)
        if stored is False:
            self._table.forget(request.request_id)
            reason = kernel.NotRunReason.overloaded
            return kernel.NotRun(reason, 1, 'the standby has no room')
        self._start(request)
        names = (request.request_id, self._me.name, copy.to)
        token = '~'.join(('wait', *names))
        if stored:
            return kernel.Accepted(token)
        return kernel.Unknown(token, kernel.UnknownReason.connection_lost)

    async def collect(self, token: str) -> kernel.Outcome | str:
        """Return the outcome for a token, or ``running`` or ``unknown``."""
        _, request_id, *names = token.split('~')
        asked: set[str] = set()
        queue = [self._me.name, *names]
        while queue and len(asked) <= _HOPS:
            name = queue.pop(0)
            if name in asked:
                continue
            asked.add(name)
            found = await self._look(request_id, name)
            if isinstance(found, admission.CollectResult):
                if not found.ask:
                    return found.outcome or 'running'
                queue.insert(0, found.ask)
        return 'unknown'

    async def serve(self, call: wire.HeldCall, peer: str) -> wire.HeldAnswer:
        """Store a copy or a transfer of another entry."""
        now = trio.current_time()
        request = _held_calls.request_of(call)
        outcome = _outcome_codec.decode(call.outcome) if call.outcome else None
        if call.action == 'copy':
            stored = self._standby.store(request, peer, now, outcome)
            if stored:
                self._runs.stop(request.request_id)
            return wire.HeldAnswer(call.call_id, stored)
        move = admission.Transfer(request, self._me.name, outcome)
        if not self._draining:
            self._carry_out(
                self._standby.accept_transfer(move, self._peers, now)
            )
        held = self._table.get(request.request_id)
        owned = held is not None and held.role is not admission.Role.standby
        return wire.HeldAnswer(call.call_id, owned)

    async def start(self) -> None:
        """Begin to renew leases and to watch those of others."""
        self._nursery.start_soon(self._renew)
        self._nursery.start_soon(self._watch)

    async def drain(self) -> None:
        """Move every owned request to another entry, or wait for its end."""
        self._draining = True
        while True:
            moves = self._owner.transfers(self._peers)
            if not moves and not any(map(_in_hand, self._table)):
                return
            for move in moves:
                if await self._calls.transfer(move):
                    request_id = move.request.request_id
                    stop = self._owner.on_transfer_acknowledged(
                        request_id, move.to
                    )
                    self._carry_out((stop,))
            await trio.sleep(_POLL_S)

    def on_pause(self) -> None:
        """Suspend what is owned until its standby confirms it."""
        self._carry_out(self._owner.on_pause())
        self._standby.on_pause(trio.current_time())

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        roles = self._table.roles()
        return {name: role.value for name, role in roles.items()}

    async def _renew(self) -> None:
        while True:
            await trio.sleep(self._table.limits.renewal_interval_s)
            for renewal in self._owner.renewals():
                self._nursery.start_soon(self._renew_one, renewal)

    async def _renew_one(self, renewal: admission.LeaseRenewal) -> None:
        sent_at = trio.current_time()
        answer = await self._calls.renew(renewal)
        if answer is not None:
            actions = self._owner.on_renewal_answer(renewal, answer, sent_at)
            self._carry_out(actions)

    async def _watch(self) -> None:
        while True:
            await trio.sleep(_DUE_S)
            now = trio.current_time()
            self._carry_out(self._standby.take_over_expired(self._peers, now))

    async def _look(
        self, request_id: str, name: str
    ) -> admission.CollectResult | None:
        if name == self._me.name:
            return self._table.collect(request_id)
        answer = await self._calls.collect(request_id, name)
        if answer is None or answer.state == 'unknown':
            return None
        outcome = _outcome_codec.decode(answer.outcome)
        return admission.CollectResult(outcome, answer.ask)

    async def _copy(self, copy: admission.SendCopy) -> bool | None:
        sent_at = trio.current_time()
        stored = await self._calls.copy(copy)
        if stored:
            request_id = copy.request.request_id
            self._owner.on_copy_stored(request_id, copy.to, sent_at)
        return stored

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case admission.RunRequest(request=request):
                    self._start(request)
                case admission.StopRequest(request_id=request_id):
                    self._runs.stop(request_id)
                case admission.SendCopy():
                    self._nursery.start_soon(self._copy, action)

    def _start(self, request: admission.HeldRequest) -> None:
        self._nursery.start_soon(self._runs.run, request, self._finish)

    async def _finish(
        self, request: admission.HeldRequest, outcome: kernel.Outcome
    ) -> None:
        """Show an outcome once it is certain that no other entry owns it."""
        request_id = request.request_id
        while self._table.get(request_id) is not None:
            if self._owner.finish(request_id, outcome, trio.current_time()):
                copy = self._owner.outcome_copy(request_id)
                self._carry_out((copy,) if copy else ())
                return
            await trio.sleep(_POLL_S)


def _in_hand(held: admission.HeldRecord) -> bool:
    return held.role in {admission.Role.owner, admission.Role.suspended}


def _owned(held: admission.HeldRecord, team: str) -> bool:
    return _in_hand(held) and held.request.team == team
