"""Answers to calls of other entries about requests that may wait."""

import trio

from lentilspool import admission, wire
from lentilspool.daemons import _outcome_codec


class HeldResponder:
    """Answers lease renewals and outcome queries of other entries."""

    def __init__(
        self, table: admission.HeldTable, standby: admission.Standby
    ) -> None:
        self._table = table
        self._standby = standby

    def renew(self, call: wire.RenewCall, peer: str) -> wire.RenewAnswer:
        """Extend the leases that another entry holds here."""
        claims = zip(call.request_ids, call.epochs, strict=False)
        renewed = self._standby.on_renewal(claims, peer, trio.current_time())
        return wire.RenewAnswer(call.call_id, renewed.taken, renewed.missing)

    def answer_collect(self, call: wire.CollectCall) -> wire.CollectAnswer:
        """Answer with the state of a request and its outcome, if finished."""
        found = self._table.collect(call.request_id)
        if found is None:
            return wire.CollectAnswer(call.call_id, 'unknown', b'', '')
        if found.ask:
            return wire.CollectAnswer(call.call_id, 'moved', b'', found.ask)
        if found.outcome is None:
            return wire.CollectAnswer(call.call_id, 'running', b'', '')
        raw = _outcome_codec.encode(found.outcome)
        return wire.CollectAnswer(call.call_id, 'finished', raw, '')
