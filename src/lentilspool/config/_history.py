"""The part of the published log that a process has read, folded."""

import dataclasses

from lentilspool.config import _entries, _fold, _problems, _verdicts


class GapError(ValueError):
    """The number of an entry does not follow that of the last one."""


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Entries since the newest base, with their digests and verdicts.

    Immutable: ``begin`` makes the first one, ``extended`` returns a
    new one.
    """

    base_number: int
    """Number of the base."""

    entries: tuple[bytes, ...]
    """Canonical bytes of the base and of every entry after it."""

    digests: tuple[str, ...]
    """Digest of the state after each entry."""

    verdicts: tuple[_verdicts.Verdict, ...]
    """Verdict on each entry."""

    last_result: _fold.FoldResult
    """Result of the last entry: the state in force and latest changes."""

    known: _problems.KnownNames | None
    """Policy names that a document may use; None to skip this check."""

    @property
    def state(self) -> _fold.State:
        """The state after the last entry."""
        return self.last_result.state

    @property
    def log_bytes(self) -> int:
        """Size of the entries in bytes."""
        return sum(map(len, self.entries))

    def covers(self, number: int) -> bool:
        """Return whether the history contains the entry of this number."""
        return self.base_number <= number <= self.state.number

    def matches(self, number: int, raw: bytes) -> bool:
        """Return whether an entry equals the one held, or is not covered."""
        if not self.covers(number):
            return True
        return self.entries[number - self.base_number] == raw

    def digest_at(self, number: int) -> str:
        """Return the digest after an entry; its number must be covered."""
        return self.digests[number - self.base_number]

    def entries_after(self, number: int) -> tuple[bytes, ...]:
        """Return the entries that a reader up to ``number`` is missing."""
        return self.entries[max(0, number + 1 - self.base_number) :]

    def extended(self, entries: tuple[bytes, ...]) -> 'History':
        """Return the history extended by further entries.

        Raises ``EntryError``, ``GapError`` or ``InvalidBaseError``.
        """
        history = self
        for raw in entries:
            history = _extended_by_entry(history, raw)
        return history


def first_entry_by_number(entries: tuple[bytes, ...]) -> dict[int, bytes]:
    """Return entries by number; the first of a duplicate number counts.

    Raises ``EntryError``.
    """
    found: dict[int, bytes] = {}
    for raw in entries:
        found.setdefault(_entries.decode_entry(raw).number, raw)
    return found


def begin(
    entries: tuple[bytes, ...], known: _problems.KnownNames | None = None
) -> History:
    """Return the history of entries; the first has to be a base.

    Raises ``EntryError``, ``GapError`` or ``InvalidBaseError``.
    """
    raws = tuple(first_entry_by_number(entries).values())
    base = _entries.decode_entry(raws[0])
    if not isinstance(base, _entries.Base):
        raise GapError(f'entry {base.number}, the first one, is not a base')
    return _start_from_base(base, raws[0], known).extended(raws[1:])


def _extended_by_entry(history: History, raw: bytes) -> History:
    entry = _entries.decode_entry(raw)
    if isinstance(entry, _entries.Base) and entry.number > history.state.number:
        return _start_from_base(entry, raw, history.known)
    if entry.number != history.state.number + 1:
        raise GapError(
            f'entry {entry.number} does not follow entry {history.state.number}'
        )
    return _appended(history, entry, raw)


def _start_from_base(
    base: _entries.Base, raw: bytes, known: _problems.KnownNames | None
) -> History:
    last_result = _fold.fold_base(base, raw, known)
    return History(
        base_number=base.number,
        entries=(raw,),
        digests=(last_result.state.digest,),
        verdicts=(last_result.verdict,),
        last_result=last_result,
        known=known,
    )


def _appended(history: History, entry: _entries.Entry, raw: bytes) -> History:
    if isinstance(entry, _entries.Base):
        raise GapError(f'base {entry.number} is not newer than the last entry')
    last_result = _fold.fold_entry(
        history.last_result, entry, raw, history.known
    )
    return dataclasses.replace(
        history,
        entries=(*history.entries, raw),
        digests=(*history.digests, last_result.state.digest),
        verdicts=(*history.verdicts, last_result.verdict),
        last_result=last_result,
    )
