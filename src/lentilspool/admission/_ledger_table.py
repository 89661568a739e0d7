"""Entries of the at-most-once ledger, in bounded memory."""

import dataclasses
from collections.abc import Iterator

from lentilspool import kernel
from lentilspool.admission import _ledger_types as types
from lentilspool.admission import _tokens

_OPEN = frozenset((types.EntryState.queued, types.EntryState.running))


@dataclasses.dataclass(slots=True)
class Entry:
    """What the ledger remembers of one request."""

    token: _tokens.AdmissionToken
    """Token of the request."""

    state: types.EntryState
    """How far the request has come."""

    held_bytes: int
    """Bytes reserved for its answer, then the bytes of the answer."""

    outcome: kernel.Outcome | None = None
    """How the request ended; none until then."""


class LedgerTable:
    """Entries by request id, none forgotten before its token expires."""

    def __init__(self, limits: types.LedgerLimits) -> None:
        self._limits = limits
        self._entries: dict[str, Entry] = {}
        self._held_bytes = 0

    @property
    def usage(self) -> types.LedgerUsage:
        """Memory in use."""
        open_requests = sum(
            entry.state in _OPEN for entry in self._entries.values()
        )
        return types.LedgerUsage(
            len(self._entries), open_requests, self._held_bytes
        )

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries.values())

    def get(self, request_id: str) -> Entry | None:
        """Return the entry of a request."""
        return self._entries.get(request_id)

    def find(self, token: _tokens.AdmissionToken) -> Entry | None:
        """Return the entry that was made for this very token."""
        entry = self._entries.get(token.request_id)
        return entry if entry and entry.token == token else None

    def has_room(self) -> bool:
        """Return whether one more request fits with its answer."""
        needed_bytes = self._held_bytes + self._limits.answer_bytes
        return (
            len(self._entries) < self._limits.max_entries
            and needed_bytes <= self._limits.max_answer_bytes
        )

    def add(self, token: _tokens.AdmissionToken) -> None:
        """Add an entry and reserve room for its answer."""
        reserved = self._limits.answer_bytes
        self._held_bytes += reserved
        self._entries[token.request_id] = Entry(
            token, types.EntryState.issued, reserved
        )

    def close(self, entry: Entry, outcome: kernel.Outcome) -> None:
        """Keep the outcome of an entry, without an answer that is too big."""
        size = 0
        if isinstance(outcome, kernel.Complete):
            size = len(outcome.answer)
        if size > self._limits.answer_bytes:
            size = 0
            outcome = kernel.Failed(
                entry.token.endpoint, 'it ran; the answer was too big to keep'
            )
        self._held_bytes += size - entry.held_bytes
        entry.held_bytes = size
        entry.outcome = outcome
        entry.state = types.EntryState.finished

    def forget_refused(self, request_id: str, now: float) -> None:
        """Drop an entry that never ran, if a new token would differ."""
        entry = self._entries.get(request_id)
        if entry is None or not isinstance(entry.outcome, kernel.NotRun):
            return
        if entry.token.issued_at < now:
            self._entries.pop(request_id)

    def forget_expired(self, now: float) -> None:
        """Drop expired entries; a request that runs is kept until it ends.

        All entries live equally long, so the oldest come first.
        """
        expired = []
        for request_id, entry in self._entries.items():
            if entry.token.expires_at > now:
                break
            if entry.state is not types.EntryState.running:
                expired.append(request_id)
        for forgotten in expired:
            self._held_bytes -= self._entries.pop(forgotten).held_bytes
