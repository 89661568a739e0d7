"""All judges."""

from typing import Final

from soak import _history
from soak.judges import (
    _budget,
    _finding,
    _gone,
    _lost,
    _order,
    _refused,
    _twice,
)

JUDGES: Final[tuple[_finding.Judge, ...]] = (
    _lost.judge,
    _order.judge,
    _budget.judge,
    _gone.judge,
    _twice.judge,
    _refused.judge,
)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Return what all judges find, by time."""
    found = [finding for one in JUDGES for finding in one(history)]
    return sorted(found, key=lambda finding: finding.at)
