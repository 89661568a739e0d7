"""Judgement of offered entries against the history that is held."""

import dataclasses
from collections.abc import Callable
from typing import Final

from lentilspool.config import (
    _entries,
    _fold,
    _history,
    _offers,
    _problems,
)

_INVALID: Final = (_entries.EntryError, _fold.InvalidBaseError)


@dataclasses.dataclass(frozen=True, slots=True)
class Judged:
    """An outcome, and the history to hold after it."""

    outcome: _offers.OfferOutcome
    """What became of the offer."""

    history: _history.History | None
    """The held history, or the one that continues it."""


Judge = Callable[
    [
        _history.History | None,
        tuple[bytes, ...],
        str,
        _problems.KnownNames | None,
    ],
    Judged,
]


def judge(
    held: _history.History | None,
    entries: tuple[bytes, ...],
    digest: str,
    known: _problems.KnownNames | None,
) -> Judged:
    """Return what becomes of entries; what is at fault changes nothing.

    ``digest`` is the source's digest after the last entry; empty if the
    source has none to give.
    """
    try:
        history = _continued(held, entries, known)
    except _INVALID as error:
        return _ignored(held, _offers.Fault.invalid, str(error))
    except _history.GapError as gap:
        return _ignored(held, _offers.Fault.gap, str(gap))
    except _offers.ForkError as fork:
        return _ignored(held, _offers.Fault.forked, str(fork))
    number = held.state.number if held else 0
    if history is None or history.state.number <= number:
        return Judged(_offers.Unchanged(), held)
    if digest and history.state.digest != digest:
        detail = f'another digest at number {history.state.number}'
        return _ignored(held, _offers.Fault.forked, detail)
    verdicts = tuple(
        verdict for verdict in history.verdicts if verdict.number > number
    )
    return Judged(_offers.Adopted(history.state, verdicts), history)


def _continued(
    held: _history.History | None,
    entries: tuple[bytes, ...],
    known: _problems.KnownNames | None,
) -> _history.History | None:
    """Return the held history with the entries that are new."""
    if held is None:
        return _history.begin(entries, known) if entries else None
    fresh: list[bytes] = []
    for number, raw in _history.firsts(entries).items():
        if number > held.state.number:
            fresh.append(raw)
        elif not held.repeats(number, raw):
            raise _offers.ForkError(f'another entry at number {number}')
    return held.extended(tuple(fresh))


def _ignored(
    held: _history.History | None, fault: _offers.Fault, detail: str
) -> Judged:
    return Judged(_offers.Ignored(fault, detail), held)
