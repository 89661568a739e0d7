"""What a judge finds."""

import dataclasses
from collections.abc import Callable

from soak import _history


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A clause of a rule that a history breaks."""

    rule: str
    """Name of the rule."""

    clause: str
    """Short name of the clause."""

    at: float
    """Moment at which it was broken."""

    requests: tuple[str, ...]
    """Attempts that break it."""


Judge = Callable[[_history.History], list[Finding]]
