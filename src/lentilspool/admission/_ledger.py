"""At-most-once ledger of one sidecar incarnation."""

import logging
from collections.abc import Callable
from typing import Final

from lentilspool import kernel
from lentilspool.admission import _events, _tokens
from lentilspool.admission import _ledger_table as table
from lentilspool.admission import _ledger_types as types

_logger: Final = logging.getLogger(__name__)

_RequestState = types.RequestState
_CALL_NOT_BEGUN = frozenset((_RequestState.issued, _RequestState.queued))


class Ledger:
    """Runs each unrepeatable request at most once.

    Each request stays on record until its token expires. Its calls are, in
    order: ``issue``, ``start``, ``begin_call`` directly before the first
    byte is sent to the endpoint, and ``finish``. ``withdraw`` refuses a
    request whose call has not begun as not run; the refusal is final.
    ``sign`` encodes the token that an ``Unknown`` outcome carries. All
    times are seconds on the incarnation's monotonic clock.
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
        self._full_logged = False

    @property
    def usage(self) -> types.LedgerUsage:
        """Current memory usage, for the dump and for metrics."""
        return self._table.usage

    def issue(
        self,
        request_id: str,
        content_digest: str,
        now: float,
        *,
        renew: bool = False,
    ) -> types.IssueAnswer:
        """Return the request's token, creating it on the first call.

        With ``renew``, a request that was refused as not run gets a new
        token; the refused token stays unable to run.
        """
        self._table.forget_expired(now)
        if renew:
            self._table.forget_refused(request_id, now)
        record = self._table.get(request_id)
        if record is None:
            return self._issue_new(request_id, content_digest, now)
        if record.token.content_digest != content_digest:
            return _not_run(
                kernel.NotRunReason.invalid,
                detail='the request id was used with other content',
            )
        return types.Issued(record.token)

    def start(
        self, token: _tokens.AdmissionToken, now: float
    ) -> types.StartAnswer:
        """Decide whether the request runs; only ``Admitted`` allows it."""
        self._table.forget_expired(now)
        if self._is_other_incarnation(token):
            return self._unknown(token, kernel.UnknownReason.incarnation_lost)
        record = self._table.find(token)
        if record is None:
            return self._unknown(token, kernel.UnknownReason.token_expired)
        if record.state is not _RequestState.issued:
            return _answer_from_record(record)
        if self._draining:
            return self.withdraw(token, kernel.NotRunReason.draining, now)
        record.state = _RequestState.queued
        return types.Admitted(token)

    def look_up(
        self, token: _tokens.AdmissionToken, now: float
    ) -> types.LookUpAnswer:
        """Return the progress of a token's request without starting it."""
        self._table.forget_expired(now)
        if self._is_other_incarnation(token):
            return self._unknown(token, kernel.UnknownReason.incarnation_lost)
        record = self._table.find(token)
        if record is None:
            return self._unknown(token, kernel.UnknownReason.token_expired)
        if record.state is _RequestState.issued:
            return types.Issued(record.token)
        return _answer_from_record(record)

    def begin_call(self, token: _tokens.AdmissionToken, now: float) -> bool:
        """Record that the call to the endpoint begins now.

        Returns false if the request was withdrawn, has expired, or its call
        has already begun; then nothing may be sent to the endpoint.
        """
        self._table.forget_expired(now)
        record = self._table.find(token)
        if record is None or record.state is not _RequestState.queued:
            return False
        record.state = _RequestState.running
        return True

    def withdraw(
        self,
        token: _tokens.AdmissionToken,
        reason: kernel.NotRunReason,
        now: float,
    ) -> types.StartAnswer:
        """Refuse a request permanently unless its call has begun."""
        self._table.forget_expired(now)
        record = self._table.find(token)
        if record is None:
            return self.start(token, now)
        if record.state in _CALL_NOT_BEGUN:
            self._table.close(record, kernel.NotRun(reason))
        return _answer_from_record(record)

    def finish(
        self, token: _tokens.AdmissionToken, outcome: kernel.Outcome
    ) -> None:
        """Store the outcome of the run, to answer later sends."""
        record = self._table.find(token)
        if record is not None and record.state is _RequestState.running:
            self._table.close(record, outcome)

    def drain(self) -> None:
        """Refuse new requests and issued tokens that are not yet started."""
        self._draining = True

    def on_pause(self) -> int:
        """Refuse all requests whose call has not begun; return their number.

        Call it when the process resumes after a pause longer than its lease,
        before it processes anything else.
        """
        not_begun = [
            record for record in self._table if record.state in _CALL_NOT_BEGUN
        ]
        for record in not_begun:
            self._table.close(
                record, kernel.NotRun(kernel.NotRunReason.expired_token)
            )
        if not_begun:
            _events.UNSTARTED_REFUSED.log(_logger, requests=len(not_begun))
        return len(not_begun)

    def _issue_new(
        self, request_id: str, content_digest: str, now: float
    ) -> types.IssueAnswer:
        if self._draining:
            return _not_run(kernel.NotRunReason.draining)
        if not self._table.has_room():
            self._log_full()
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
        self._full_logged = False
        return types.Issued(token)

    def _log_full(self) -> None:
        """Log a full ledger once, until a request fits again."""
        if not self._full_logged:
            self._full_logged = True
            _events.LEDGER_FULL.log(_logger, entries=self.usage.entries)

    def _is_other_incarnation(self, token: _tokens.AdmissionToken) -> bool:
        return (token.endpoint, token.incarnation) != (
            self._endpoint,
            self._incarnation,
        )

    def _unknown(
        self, token: _tokens.AdmissionToken, reason: kernel.UnknownReason
    ) -> types.Refused:
        return types.Refused(kernel.Unknown(self._sign(token), reason))


def _answer_from_record(record: table.LedgerRecord) -> types.StartAnswer:
    if record.outcome is None:
        return types.AlreadyRunning(record.token)
    if isinstance(record.outcome, kernel.NotRun):
        return types.Refused(record.outcome)
    return types.Finished(record.outcome)


def _not_run(
    reason: kernel.NotRunReason,
    retry_after_s: float | None = None,
    detail: str = '',
) -> types.Refused:
    return types.Refused(kernel.NotRun(reason, retry_after_s, detail))
