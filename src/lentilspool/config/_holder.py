"""What a process holds of the configuration."""

from typing import Final

from lentilspool.config import (
    _entries,
    _fold,
    _history,
    _judge,
    _offers,
    _problems,
    _reports,
)

_SHOWN_VERDICTS: Final = 20


class Holder:
    """Holds one history and adopts only what continues it.

    Give it what the service answers (``offer_service``) and what peers send
    (``offer``); read ``state``. The number held never falls.
    """

    def __init__(
        self,
        known: _problems.KnownNames | None = None,
        judge: _judge.Judge = _judge.judge,
    ) -> None:
        self._judge = judge
        self._known = known
        self._history: _history.History | None = None
        self._reports = _reports.Reports()

    @property
    def state(self) -> _fold.State | None:
        """The state in force; none before the first base."""
        return self._history.state if self._history else None

    @property
    def history(self) -> _history.History | None:
        """The history in force; none before the first base."""
        return self._history

    @property
    def number(self) -> int:
        """Position in the published log that is held; 0 for nothing."""
        return self._history.state.number if self._history else 0

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self._history.state.version if self._history else 0

    @property
    def digest(self) -> str:
        """Digest of the state in force; empty for none."""
        return self._history.state.digest if self._history else ''

    def agrees(self, number: int, digest: str) -> bool:
        """Tell whether a peer's number and digest can be of this history.

        True also where the number is not covered and nothing can be told.
        """
        if self._history is None or not self._history.covers(number):
            return True
        return self._history.digest_at(number) == digest

    def entries_after(self, number: int) -> tuple[bytes, ...]:
        """Return the entries which one lacks who holds ``number``."""
        if self._history is None:
            return ()
        return self._history.entries_after(number)

    def offer(
        self, entries: tuple[bytes, ...], digest: str, source: str
    ) -> _offers.OfferOutcome:
        """Adopt a peer's entries if they continue what is held.

        ``digest`` is the peer's digest after the last of the entries.
        """
        judged = self._judge(self._history, entries, digest, self._known)
        self._history = judged.history
        self._reports.settle(judged.outcome, source)
        return judged.outcome

    def offer_service(
        self, entries: tuple[bytes, ...], source: str = 'service'
    ) -> _offers.OfferOutcome:
        """Adopt what the service has after ``number - 1``.

        Its answer must repeat the entry that is held, or bring a newer base;
        one that does not is stale or rewound.
        """
        last = _last_number(entries)
        if last < self.number:
            detail = f'the service ends at {last}, held is {self.number}'
            stale = _offers.Ignored(_offers.Fault.stale, detail)
            self._reports.settle(stale, source)
            return stale
        return self.offer(entries, '', source)

    def compare(self, number: int, digest: str, source: str) -> bool:
        """Tell whether a peer agrees; a fork is reported, or its end."""
        if not self.agrees(number, digest):
            detail = f'another digest at number {number}'
            forked = _offers.Ignored(_offers.Fault.forked, detail)
            self._reports.settle(forked, source)
            return False
        self._reports.settle(_offers.Unchanged(), source)
        return True

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        history = self._history
        verdicts = history.verdicts[-_SHOWN_VERDICTS:] if history else ()
        return {
            'version': self.version,
            'number': self.number,
            'digest': self.digest,
            'base': history.first if history else 0,
            'log_bytes': history.log_bytes if history else 0,
            'faults': self._reports.faults,
            'verdicts': [_reports.verdict_row(held) for held in verdicts],
        }


def _last_number(entries: tuple[bytes, ...]) -> int:
    try:
        return _entries.decode_entry(entries[-1]).number if entries else 0
    except _entries.EntryError:
        return 0
