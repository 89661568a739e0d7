"""Outcomes of entries that a source offers to a process."""

import dataclasses
import enum

from lentilspool.config import _fold, _verdicts


class Fault(enum.Enum):
    """Why an offer was ignored."""

    stale = 'stale'
    """The source is behind what is held."""

    forked = 'forked'
    """The source holds another entry at the same number."""

    gap = 'gap'
    """Entries between are missing."""

    invalid = 'invalid'
    """An entry cannot be read, or a base breaks a rule."""


class ForkError(ValueError):
    """A source holds another entry at a number that is held."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The offer was folded; a higher number is held."""

    state: _fold.State
    """The state now held."""

    verdicts: tuple[_verdicts.Verdict, ...]
    """Verdicts on the entries that were new."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The offer agrees with what is held and has nothing new."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The offer is at fault; what is held stays."""

    fault: Fault
    """Kind of fault."""

    detail: str
    """Explanation for operators."""


OfferOutcome = Adopted | Unchanged | Ignored
