"""Outcomes of an offer: entries that a source sends to a process."""

import dataclasses
import enum

from lentilspool.config import _fold, _verdicts


class Fault(enum.Enum):
    """Why an offer was ignored."""

    stale = 'stale'
    """The source is behind this process."""

    forked = 'forked'
    """The source has a different entry or digest at the same number."""

    gap = 'gap'
    """Entries between the last one held and the offered ones are missing."""

    invalid = 'invalid'
    """An entry cannot be decoded, or the document of a base is invalid."""


class ForkError(ValueError):
    """A source has a different entry at a number that is covered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The offer had new entries, which are now part of the history."""

    state: _fold.State
    """The state now in force."""

    verdicts: tuple[_verdicts.Verdict, ...]
    """Verdicts on the entries that were new."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The offer is consistent with the history and has nothing new."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The offer is faulty; the history is unchanged."""

    fault: Fault
    """Kind of fault."""

    detail: str
    """Explanation for operators."""


OfferOutcome = Adopted | Unchanged | Ignored
