"""One process's copy of the published configuration log."""

from typing import Final

from lentilspool.config import (
    _entries,
    _evaluation,
    _fold,
    _history,
    _offers,
    _problems,
    _reports,
)

_MAX_DUMPED_VERDICTS: Final = 20


class LogReplica:
    """Keeps one history and adopts only entries that continue it.

    Pass replies of the service to ``offer_service_entries`` and entries of
    peers to ``offer``; read ``state``. The number never decreases.
    """

    def __init__(
        self,
        known: _problems.KnownNames | None = None,
        evaluate_offer: _evaluation.OfferEvaluator = _evaluation.evaluate_offer,
    ) -> None:
        self._evaluate_offer = evaluate_offer
        self._known = known
        self._history: _history.History | None = None
        self._reports = _reports.OutcomeReporter()

    @property
    def state(self) -> _fold.State | None:
        """The state in force; None before the first base."""
        return self._history.state if self._history else None

    @property
    def history(self) -> _history.History | None:
        """The entries read so far; None before the first base."""
        return self._history

    @property
    def number(self) -> int:
        """Position of the last entry read from the log; 0 for none."""
        return self._history.state.number if self._history else 0

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self._history.state.version if self._history else 0

    @property
    def digest(self) -> str:
        """Digest of the state in force; empty for none."""
        return self._history.state.digest if self._history else ''

    def is_consistent(self, number: int, digest: str) -> bool:
        """Return whether a peer's number and digest fit this history.

        True also if the number is not covered and cannot be compared.
        """
        if self._history is None or not self._history.covers(number):
            return True
        return self._history.digest_at(number) == digest

    def entries_after(self, number: int) -> tuple[bytes, ...]:
        """Return the entries that a reader up to ``number`` is missing."""
        if self._history is None:
            return ()
        return self._history.entries_after(number)

    def offer(
        self, entries: tuple[bytes, ...], digest: str, source: str
    ) -> _offers.OfferOutcome:
        """Adopt a peer's entries if they continue the history.

        ``digest`` is the peer's digest after the last of the entries.
        """
        evaluation = self._evaluate_offer(
            self._history, entries, digest, self._known
        )
        self._history = evaluation.history
        self._reports.record(evaluation.outcome, source)
        return evaluation.outcome

    def offer_service_entries(
        self, entries: tuple[bytes, ...], source: str = 'service'
    ) -> _offers.OfferOutcome:
        """Adopt the service's entries after ``number - 1``.

        The reply must repeat the last entry held or contain a newer base.
        Otherwise the service is stale or was rewound.
        """
        last = _last_number(entries)
        if last < self.number:
            detail = (
                f'the service ends at {last}, this process is at {self.number}'
            )
            stale = _offers.Ignored(_offers.Fault.stale, detail)
            self._reports.record(stale, source)
            return stale
        return self.offer(entries, '', source)

    def check_peer_digest(self, number: int, digest: str, source: str) -> bool:
        """Return whether a peer's digest fits this history.

        A mismatch is reported as a fork; a match ends a reported fault.
        """
        if not self.is_consistent(number, digest):
            detail = f'different digest at number {number}'
            forked = _offers.Ignored(_offers.Fault.forked, detail)
            self._reports.record(forked, source)
            return False
        self._reports.record(_offers.Unchanged(), source)
        return True

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        history = self._history
        verdicts = history.verdicts[-_MAX_DUMPED_VERDICTS:] if history else ()
        return {
            'version': self.version,
            'number': self.number,
            'digest': self.digest,
            'base': history.base_number if history else 0,
            'log_bytes': history.log_bytes if history else 0,
            'faults': self._reports.faults,
            'verdicts': [_reports.verdict_row(verdict) for verdict in verdicts],
        }


def _last_number(entries: tuple[bytes, ...]) -> int:
    try:
        return _entries.decode_entry(entries[-1]).number if entries else 0
    except _entries.EntryError:
        return 0
