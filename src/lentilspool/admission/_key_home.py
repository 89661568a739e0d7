"""Tokens for idempotency keys, issued by the sidecar that is their home."""

import collections
import logging
from typing import Final

from lentilspool import kernel
from lentilspool.admission import (
    _events,
    _key_slots,
    _keys,
    _ledger,
    _ledger_types,
    _tokens,
)

_logger: Final = logging.getLogger(__name__)
_Expiry = tuple[float, _keys.IdempotencyKey]


class KeyHome:
    """Issues tokens for idempotency keys at the sidecar that is their home.

    Every send of a key gets the same token, until a request that was
    refused as not run gets a new one. The tokens are those of the ledger,
    which also handles the request from then on.
    """

    def __init__(
        self,
        address: str,
        pool: str,
        ledger: _ledger.Ledger,
        new_key_check: _keys.NewKeyCheck,
    ) -> None:
        self._address = address
        self._pool = pool
        self._ledger = ledger
        self._new_key_check = new_key_check
        self._tokens: dict[_keys.IdempotencyKey, _tokens.AdmissionToken] = {}
        self._expiries: collections.deque[_Expiry] = collections.deque()

    @property
    def ledger(self) -> _ledger.Ledger:
        """Ledger that records the keys' requests."""
        return self._ledger

    @property
    def size(self) -> int:
        """Number of keys with a token; the ledger has a record of each."""
        return len(self._tokens)

    def issue(
        self,
        key: _keys.IdempotencyKey,
        content_digest: str,
        slots: _key_slots.KeySlots,
        now: float,
    ) -> _ledger_types.IssueAnswer:
        """Return the key's token, or the reason for refusing one."""
        if slots.home(self._pool, key) != self._address:
            return _unknown(
                key, 'this sidecar is not its home by the current slot tables'
            )
        self._forget_expired(now)
        if key not in self._tokens and not self._new_key_check.is_new(key, now):
            _events.KEY_REFUSED.log(_logger, key=key.text)
            return _unknown(
                key, 'it may have run before this sidecar started or paused'
            )
        answer = self._ledger.issue(
            key.request_id, content_digest, now, renew=True
        )
        if isinstance(answer, _ledger_types.Issued):
            self._store_token(key, answer.token)
        return answer

    def on_pause(self, wall_s: float, now: float) -> None:
        """Refuse unknown keys for a quiet period, as after a start."""
        self._new_key_check.on_pause(wall_s, now)

    def _store_token(
        self, key: _keys.IdempotencyKey, token: _tokens.AdmissionToken
    ) -> None:
        if self._tokens.get(key) != token:
            self._tokens[key] = token
            self._expiries.append((token.expires_at, key))

    def _forget_expired(self, now: float) -> None:
        """Drop each key when the last token issued for it has expired."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, key = self._expiries.popleft()
            if self._tokens[key].expires_at == expires_at:
                self._tokens.pop(key)
                self._new_key_check.on_key_forgotten(key)


def _unknown(key: _keys.IdempotencyKey, detail: str) -> _ledger_types.Refused:
    return _ledger_types.Refused(
        kernel.Unknown(key.text, kernel.UnknownReason.incarnation_lost, detail)
    )
