"""Records of the at-most-once ledger, in bounded memory."""

import dataclasses
from collections.abc import Iterator

from lentilspool import kernel
from lentilspool.admission import _ledger_types as types
from lentilspool.admission import _tokens

_OPEN_STATES = frozenset(
    (types.RequestState.queued, types.RequestState.running)
)


@dataclasses.dataclass(slots=True)
class LedgerRecord:
    """Record of one request in the ledger."""

    token: _tokens.AdmissionToken
    """Token of the request."""

    state: types.RequestState
    """Progress of the request."""

    held_bytes: int
    """Bytes reserved for its answer; once it has ended, the answer's size."""

    outcome: kernel.Outcome | None = None
    """Outcome; ``None`` until the request has ended."""


class LedgerTable:
    """Records by request id, retained at least until their token expires."""

    def __init__(self, limits: types.LedgerLimits) -> None:
        self._limits = limits
        self._records: dict[str, LedgerRecord] = {}
        self._held_bytes = 0

    @property
    def usage(self) -> types.LedgerUsage:
        """Current memory usage."""
        open_requests = sum(
            record.state in _OPEN_STATES for record in self._records.values()
        )
        return types.LedgerUsage(
            len(self._records), open_requests, self._held_bytes
        )

    def __iter__(self) -> Iterator[LedgerRecord]:
        return iter(self._records.values())

    def get(self, request_id: str) -> LedgerRecord | None:
        """Return the record of a request, whichever token it has."""
        return self._records.get(request_id)

    def find(self, token: _tokens.AdmissionToken) -> LedgerRecord | None:
        """Return the request's record if it has exactly this token."""
        record = self._records.get(token.request_id)
        return record if record and record.token == token else None

    def has_room(self) -> bool:
        """Return whether one more request and its answer would fit."""
        needed_bytes = self._held_bytes + self._limits.answer_bytes
        return (
            len(self._records) < self._limits.max_entries
            and needed_bytes <= self._limits.max_answer_bytes
        )

    def add(self, token: _tokens.AdmissionToken) -> None:
        """Add a record and reserve memory for its answer."""
        reserved = self._limits.answer_bytes
        self._held_bytes += reserved
        self._records[token.request_id] = LedgerRecord(
            token, types.RequestState.issued, reserved
        )

    def close(self, record: LedgerRecord, outcome: kernel.Outcome) -> None:
        """Store the final outcome of a request.

        An answer above ``answer_bytes`` is not stored; ``Failed`` replaces it.
        """
        size = 0
        if isinstance(outcome, kernel.Complete):
            size = len(outcome.answer)
        if size > self._limits.answer_bytes:
            size = 0
            outcome = kernel.Failed(
                record.token.endpoint,
                'it ran, but its answer was too large to store',
            )
        self._held_bytes += size - record.held_bytes
        record.held_bytes = size
        record.outcome = outcome
        record.state = types.RequestState.finished

    def forget_refused(self, request_id: str, now: float) -> None:
        """Drop the record of a request refused as not run.

        A record issued at ``now`` stays: the token that replaces it would
        be identical, so the refused token could run after all.
        """
        record = self._records.get(request_id)
        if record is None or not isinstance(record.outcome, kernel.NotRun):
            return
        if record.token.issued_at < now:
            self._records.pop(request_id)

    def forget_expired(self, now: float) -> None:
        """Drop expired records, except those of running requests.

        All tokens have the same lifetime, so records are in order of expiry
        and the search stops at the first that has not expired.
        """
        expired = []
        for request_id, record in self._records.items():
            if record.token.expires_at > now:
                break
            if record.state is not types.RequestState.running:
                expired.append(request_id)
        for forgotten in expired:
            self._held_bytes -= self._records.pop(forgotten).held_bytes
