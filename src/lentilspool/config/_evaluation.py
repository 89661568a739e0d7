"""Evaluation of offered entries against the current history."""

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

_INVALID_ENTRY_ERRORS: Final = (_entries.EntryError, _fold.InvalidBaseError)


@dataclasses.dataclass(frozen=True, slots=True)
class OfferEvaluation:
    """Outcome of an offer, and the history after it."""

    outcome: _offers.OfferOutcome
    """Whether the entries were adopted, and if not, why."""

    history: _history.History | None
    """The extended history if entries were adopted, else the current one."""


OfferEvaluator = Callable[
    [
        _history.History | None,
        tuple[bytes, ...],
        str,
        _problems.KnownNames | None,
    ],
    OfferEvaluation,
]


def evaluate_offer(
    current: _history.History | None,
    entries: tuple[bytes, ...],
    digest: str,
    known: _problems.KnownNames | None,
) -> OfferEvaluation:
    """Return the outcome of an offer; a faulty one leaves the history as is.

    ``digest`` is the source's digest after the last entry; empty if the
    source does not send one.
    """
    try:
        history = _extend_history(current, entries, known)
    except _INVALID_ENTRY_ERRORS as error:
        return _ignored(current, _offers.Fault.invalid, str(error))
    except _history.GapError as gap:
        return _ignored(current, _offers.Fault.gap, str(gap))
    except _offers.ForkError as fork:
        return _ignored(current, _offers.Fault.forked, str(fork))
    number = current.state.number if current else 0
    if history is None or history.state.number <= number:
        return OfferEvaluation(_offers.Unchanged(), current)
    if digest and history.state.digest != digest:
        detail = f'different digest at number {history.state.number}'
        return _ignored(current, _offers.Fault.forked, detail)
    verdicts = tuple(
        verdict for verdict in history.verdicts if verdict.number > number
    )
    return OfferEvaluation(_offers.Adopted(history.state, verdicts), history)


def _extend_history(
    current: _history.History | None,
    entries: tuple[bytes, ...],
    known: _problems.KnownNames | None,
) -> _history.History | None:
    """Return the current history extended by the entries that are new."""
    if current is None:
        return _history.begin(entries, known) if entries else None
    new_entries: list[bytes] = []
    for number, raw in _history.first_entry_by_number(entries).items():
        if number > current.state.number:
            new_entries.append(raw)
        elif not current.matches(number, raw):
            raise _offers.ForkError(f'different entry at number {number}')
    return current.extended(tuple(new_entries))


def _ignored(
    current: _history.History | None, fault: _offers.Fault, detail: str
) -> OfferEvaluation:
    return OfferEvaluation(_offers.Ignored(fault, detail), current)
