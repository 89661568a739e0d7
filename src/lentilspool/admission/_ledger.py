"""At-most-once ledger of one sidecar incarnation."""

import logging
from collections.abc import Callable
from typing import Final

from lentilspool import kernel
from lentilspool.admission import _events, _tokens
from lentilspool.admission import _ledger_table as table
from lentilspool.admission import _ledger_types as types

_logger: Final = logging.getLogger(__name__)

_State = types.EntryState
_UNSTARTED = frozenset((_State.issued, _State.queued))


class Ledger:
    """Remembers each unrepeatable request until its token expires.

    For one request the calls are, in order: ``issue``, ``start``,
    ``begin_call`` directly before the first byte goes to the endpoint, and
    ``finish``. A request whose call has not begun can be refused as not run
    by ``withdraw``; the refusal is final. ``sign`` makes the text of a
    token that ``Unknown`` outcomes carry. All times are seconds on the
    incarnation's monotonic clock.
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: int,
        sign: Callable[[_tokens.AdmissionToken], str],
        limits: types.LedgerLimits | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._sign = sign
        self._limits = limits or types.LedgerLimits()
        self._table = table.LedgerTable(self._limits)
        self._draining = False
        self._full = False

    @property
    def usage(self) -> types.LedgerUsage:
        """Memory in use, for the dump and for metrics."""
        return self._table.usage

    def issue(
        self,
        request_id: str,
        content_digest: str,
        now: float,
        *,
        renew: bool = False,
    ) -> types.IssueAnswer:
        """Return the request's token; it is made at the first call.

        With ``renew``, a request that was refused as not run gets a new
        token, while the old one never runs.
        """
        self._table.forget_expired(now)
        if renew:
            self._table.forget_refused(request_id, now)
        entry = self._table.get(request_id)
        if entry is None:
            return self._issue_new(request_id, content_digest, now)
        if entry.token.content_digest != content_digest:
            return _not_run(
                kernel.NotRunReason.invalid,
                detail='the request id was used with other content',
            )
        return types.Issued(entry.token)

    def start(
        self, token: _tokens.AdmissionToken, now: float
    ) -> types.StartAnswer:
        """Decide on a send of the token; only ``Admitted`` may run."""
        self._table.forget_expired(now)
        if self._is_foreign(token):
            return self._unknown(token, kernel.UnknownReason.incarnation_lost)
        entry = self._table.find(token)
        if entry is None:
            return self._unknown(token, kernel.UnknownReason.token_expired)
        if entry.state is not _State.issued:
            return _answer_of(entry)
        if self._draining:
            return self.withdraw(token, kernel.NotRunReason.draining, now)
        entry.state = _State.queued
        return types.Admitted(token)

    def look(
        self, token: _tokens.AdmissionToken, now: float
    ) -> types.LookAnswer:
        """Tell how far a token's request has come; starts nothing."""
        self._table.forget_expired(now)
        if self._is_foreign(token):
            return self._unknown(token, kernel.UnknownReason.incarnation_lost)
        entry = self._table.find(token)
        if entry is None:
            return self._unknown(token, kernel.UnknownReason.token_expired)
        if entry.state is _State.issued:
            return types.Issued(entry.token)
        return _answer_of(entry)

    def begin_call(self, token: _tokens.AdmissionToken, now: float) -> bool:
        """Mark that the call of the endpoint begins now.

        Returns false, and nothing may be sent, if the request has been
        withdrawn, has expired, or its call has already begun.
        """
        self._table.forget_expired(now)
        entry = self._table.find(token)
        if entry is None or entry.state is not _State.queued:
            return False
        entry.state = _State.running
        return True

    def withdraw(
        self,
        token: _tokens.AdmissionToken,
        reason: kernel.NotRunReason,
        now: float,
    ) -> types.StartAnswer:
        """Refuse a request for good unless its call has begun."""
        self._table.forget_expired(now)
        entry = self._table.find(token)
        if entry is None:
            return self.start(token, now)
        if entry.state in _UNSTARTED:
            self._table.close(entry, kernel.NotRun(reason))
        return _answer_of(entry)

    def finish(
        self, token: _tokens.AdmissionToken, outcome: kernel.Outcome
    ) -> None:
        """Keep the outcome of the only run for later sends."""
        entry = self._table.find(token)
        if entry is not None and entry.state is _State.running:
            self._table.close(entry, outcome)

    def drain(self) -> None:
        """Refuse every request whose token has not been started."""
        self._draining = True

    def on_pause(self) -> int:
        """Refuse all requests whose call has not begun; return how many.

        To be called when the process wakes from a pause longer than its
        lease, before it acts on anything else.
        """
        unstarted = [
            entry for entry in self._table if entry.state in _UNSTARTED
        ]
        for entry in unstarted:
            self._table.close(
                entry, kernel.NotRun(kernel.NotRunReason.expired_token)
            )
        if unstarted:
            _events.UNSTARTED_REFUSED.log(_logger, requests=len(unstarted))
        return len(unstarted)

    def _issue_new(
        self, request_id: str, content_digest: str, now: float
    ) -> types.IssueAnswer:
        if self._draining:
            return _not_run(kernel.NotRunReason.draining)
        if not self._table.has_room():
            self._note_full()
            return _not_run(
                kernel.NotRunReason.ledger_full, self._limits.retry_after_s
            )
        token = _tokens.AdmissionToken(
            self._endpoint,
            self._incarnation,
            request_id,
            content_digest,
            now,
            now + self._limits.lifetime_s,
        )
        self._table.add(token)
        self._full = False
        return types.Issued(token)

    def _note_full(self) -> None:
        """Log once until there is room again."""
        if not self._full:
            self._full = True
            _events.LEDGER_FULL.log(_logger, entries=self.usage.entries)

    def _is_foreign(self, token: _tokens.AdmissionToken) -> bool:
        return (token.endpoint, token.incarnation) != (
            self._endpoint,
            self._incarnation,
        )

    def _unknown(
        self, token: _tokens.AdmissionToken, reason: kernel.UnknownReason
    ) -> types.Refused:
        return types.Refused(kernel.Unknown(self._sign(token), reason))


def _answer_of(entry: table.Entry) -> types.StartAnswer:
    if entry.outcome is None:
        return types.AlreadyRunning(entry.token)
    if isinstance(entry.outcome, kernel.NotRun):
        return types.Refused(entry.outcome)
    return types.Finished(entry.outcome)


def _not_run(
    reason: kernel.NotRunReason,
    retry_after_s: float | None = None,
    detail: str = '',
) -> types.Refused:
    return types.Refused(kernel.NotRun(reason, retry_after_s, detail))
