"""The part of the published log that a process has read, and its states."""

import dataclasses

from lentilspool.config import _entries, _fold, _problems, _verdicts


class GapError(ValueError):
    """An entry does not follow the last one."""


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Entries since the newest base, with their digests and verdicts.

    Begin with ``begin`` and a base; ``extended`` returns a new history.
    """

    first: int
    """Number of the base."""

    entries: tuple[bytes, ...]
    """The base and every entry after it."""

    digests: tuple[str, ...]
    """Digest of the state after each entry."""

    verdicts: tuple[_verdicts.Verdict, ...]
    """Verdict on each entry."""

    step: _fold.Step
    """The state in force and the latest changes."""

    known: _problems.KnownNames | None
    """Names that a document may use; none if they are not checked."""

    @property
    def state(self) -> _fold.State:
        """The state after the last entry."""
        return self.step.state

    @property
    def log_bytes(self) -> int:
        """Size of the entries in bytes."""
        return sum(map(len, self.entries))

    def covers(self, number: int) -> bool:
        """Tell whether the entry of this number is held."""
        return self.first <= number <= self.state.number

    def repeats(self, number: int, raw: bytes) -> bool:
        """Tell whether an entry is the held one, if that is covered."""
        if not self.covers(number):
            return True
        return self.entries[number - self.first] == raw

    def digest_at(self, number: int) -> str:
        """Return the digest after a number that is covered."""
        return self.digests[number - self.first]

    def entries_after(self, number: int) -> tuple[bytes, ...]:
        """Return what one lacks who has read up to ``number``."""
        return self.entries[max(0, number + 1 - self.first) :]

    def extended(self, entries: tuple[bytes, ...]) -> 'History':
        """Return the history with further entries folded.

        Raises ``EntryError``, ``GapError`` or ``InvalidBaseError``.
        """
        history = self
        for raw in entries:
            history = _extended_by_one(history, raw)
        return history


def firsts(entries: tuple[bytes, ...]) -> dict[int, bytes]:
    """Return entries by number; of two under one number the first counts.

    Raises ``EntryError``.
    """
    found: dict[int, bytes] = {}
    for raw in entries:
        found.setdefault(_entries.decode_entry(raw).number, raw)
    return found


def begin(
    entries: tuple[bytes, ...], known: _problems.KnownNames | None = None
) -> History:
    """Return the history of entries of which the first is a base.

    Raises ``EntryError``, ``GapError`` or ``InvalidBaseError``.
    """
    raws = tuple(firsts(entries).values())
    base = _entries.decode_entry(raws[0])
    if not isinstance(base, _entries.Base):
        raise GapError(f'entry {base.number} needs a base before it')
    return _rebased(base, raws[0], known).extended(raws[1:])


def _extended_by_one(history: History, raw: bytes) -> History:
    entry = _entries.decode_entry(raw)
    if isinstance(entry, _entries.Base) and entry.number > history.state.number:
        return _rebased(entry, raw, history.known)
    if entry.number != history.state.number + 1:
        raise GapError(
            f'entry {entry.number} does not follow {history.state.number}'
        )
    return _appended(history, entry, raw)


def _rebased(
    base: _entries.Base, raw: bytes, known: _problems.KnownNames | None
) -> History:
    step = _fold.start(base, raw, known)
    return History(
        first=base.number,
        entries=(raw,),
        digests=(step.state.digest,),
        verdicts=(step.verdict,),
        step=step,
        known=known,
    )


def _appended(history: History, entry: _entries.Entry, raw: bytes) -> History:
    if isinstance(entry, _entries.Base):
        raise GapError(f'base {entry.number} is not newer')
    step = _fold.advance(history.step, entry, raw, history.known)
    return dataclasses.replace(
        history,
        entries=(*history.entries, raw),
        digests=(*history.digests, step.state.digest),
        verdicts=(*history.verdicts, step.verdict),
        step=step,
    )
