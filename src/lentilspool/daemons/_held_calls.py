"""Client calls to other entries about requests that may wait."""

from typing import Final

import trio

from lentilspool import admission, kernel, wire
from lentilspool.daemons import _link, _outcome_codec, _peers

_CALL_TIMEOUT_S: Final = 1.0
_POLL_INTERVAL_S: Final = 0.02
_NO_LINK: Final = _link.LinkLost(sent=False)


class HeldCalls:
    """Sends copies, lease renewals, transfers and queries to other entries.

    A call that is not answered within the timeout returns None, or False for
    a transfer. It may have been carried out all the same.
    """

    def __init__(self, peers: _peers.Peers) -> None:
        self._peers = peers

    async def send_copy(self, copy: admission.SendCopy) -> bool | None:
        """Send a copy to a standby; return whether the standby stored it.

        None means that no answer came, so the copy may be stored or not.
        """
        call = _held_call(copy.request, 'copy', copy.outcome)
        answer = await self._call(copy.to, call)
        return answer.stored if isinstance(answer, wire.HeldAnswer) else None

    async def transfer(self, move: admission.Transfer) -> bool:
        """Transfer a request; return whether the other entry owns it now."""
        call = _held_call(move.request, 'transfer', move.outcome)
        answer = await self._call(move.to, call)
        return isinstance(answer, wire.HeldAnswer) and answer.stored

    async def renew(
        self, renewal: admission.LeaseRenewal
    ) -> admission.LeaseRenewalAnswer | None:
        """Renew leases at a standby; return None if no answer came."""

        def make_call(call_id: int) -> wire.RenewCall:
            return wire.RenewCall(
                call_id,
                tuple(request_id for request_id, _ in renewal.held),
                tuple(epoch for _, epoch in renewal.held),
            )

        answer = await self._call(renewal.to, make_call)
        if isinstance(answer, wire.RenewAnswer):
            return admission.LeaseRenewalAnswer(answer.taken, answer.missing)
        return None

    async def collect(
        self, request_id: str, entry: str
    ) -> wire.CollectAnswer | None:
        """Query an entry for the outcome of a request."""
        answer = await self._call(
            entry, lambda call_id: wire.CollectCall(call_id, request_id)
        )
        return answer if isinstance(answer, wire.CollectAnswer) else None

    async def _call(
        self, name: str, make_call: _link.MakeCall
    ) -> _link.Answer | None:
        with trio.move_on_after(_CALL_TIMEOUT_S):
            while True:
                link = self._peers.connect(name)
                answer = await link.call(make_call) if link else _NO_LINK
                if not isinstance(answer, _link.LinkLost):
                    return answer
                await trio.sleep(_POLL_INTERVAL_S)
        return None


def _held_call(
    request: admission.HeldRequest,
    action: str,
    outcome: kernel.Outcome | None,
) -> _link.MakeCall:
    return lambda call_id: wire.HeldCall(
        call_id=call_id,
        action=action,
        request_id=request.request_id,
        pipeline=request.pipeline,
        team=request.team,
        body=request.body,
        stages=tuple(stage for stage, _ in request.tokens),
        tokens=tuple(token for _, token in request.tokens),
        epoch=request.epoch,
        outcome=_outcome_codec.encode(outcome) if outcome else None,
    )


def request_from(call: wire.HeldCall) -> admission.HeldRequest:
    """Return the request that a ``HeldCall`` carries."""
    return admission.HeldRequest(
        request_id=call.request_id,
        pipeline=call.pipeline,
        team=call.team,
        body=call.body,
        tokens=tuple(zip(call.stages, call.tokens, strict=False)),
        epoch=call.epoch,
    )
