"""All judges."""

from typing import Final

from soak import _history
from soak.judges import (
    _budget,
    _config,
    _denied,
    _drain,
    _fatal_parts,
    _finding,
    _gone,
    _limit,
    _lost,
    _mixed,
    _order,
    _recover,
    _refused,
    _route,
    _stated,
    _twice,
    _unasked,
)

JUDGES: Final[tuple[_finding.Judge, ...]] = (
    _lost.judge,
    _order.judge,
    _budget.judge,
    _fatal_parts.judge,
    _limit.judge,
    _stated.judge,
    _gone.judge,
    _twice.judge,
    _refused.judge,
    _drain.judge,
    _config.judge,
    _route.judge,
    _mixed.judge,
    _unasked.judge,
    _denied.judge,
    _recover.judge,
)


def judge(history: _history.History) -> list[_finding.Finding]:
    """Return what all judges find, by time."""
    found = [finding for one in JUDGES for finding in one(history)]
    return sorted(found, key=lambda finding: finding.at)
