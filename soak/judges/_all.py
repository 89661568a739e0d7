"""All judges."""

from typing import Final

from soak import _history
from soak.judges import _finding, _lost, _order

JUDGES: Final[tuple[_finding.Judge, ...]] = (_lost.judge, _order.judge)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Return what all judges find, by time."""
    found = [finding for one in JUDGES for finding in one(history)]
    return sorted(found, key=lambda finding: finding.at)
