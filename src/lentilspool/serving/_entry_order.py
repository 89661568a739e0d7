"""Order of what is known about published state, across eras of the store.

A store that comes back from an older copy begins a new era: it gives out
revisions again, so they are compared only within one era. Between eras, the
writer's own numbers decide whether a copy is older than what is known.
"""

import dataclasses
import enum

Position = tuple[int, int]
"""Era and revision; a later position is greater."""


class EraOrder(enum.Enum):
    """Relation of an answer's era to the highest one that is known."""

    current = 'current'
    newer = 'newer'
    older = 'older'


def order_of_era(known: int, answered: int | None) -> EraOrder:
    """Compare the era of an answer; None if the answer does not state it."""
    if answered is None or answered == known:
        return EraOrder.current
    return EraOrder.newer if answered > known else EraOrder.older


@dataclasses.dataclass(frozen=True, slots=True)
class EntryState:
    """What an endpoint last published about itself."""

    born_ms: int
    """Start of the process, Unix milliseconds; 0 if unknown."""

    sequence: int
    """Number of the endpoint's writes so far; starts anew with the process."""

    ready: bool
    """Whether it accepted new requests."""

    listed: bool = True
    """Whether the entry is still there."""


def is_outdated(known: EntryState, copied: EntryState) -> bool:
    """Whether an entry of a new era is older than what is known.

    An endpoint that was leaving, or gone, stays so until it writes again.
    """
    known_write = (known.born_ms, known.sequence)
    copied_write = (copied.born_ms, copied.sequence)
    if known_write != copied_write:
        return copied_write < known_write
    return not known.listed or (copied.ready and not known.ready)
