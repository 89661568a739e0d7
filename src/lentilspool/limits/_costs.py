"""Costs by team, stage and provider, as one process has seen them."""

import dataclasses
from collections.abc import Iterable

from lentilspool import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class CostLine:
    """Spend of one team on one stage at one provider."""

    team: str
    """Team that sent the requests."""

    stage: str
    """Name of the stage."""

    provider: str
    """Provider whose credits paid."""

    cost: float
    """Spend in credits."""

    attempts: int
    """Attempts that reached an endpoint."""


class CostLedger:
    """Adds up costs; feed it with each attempt that reached an endpoint.

    ``add`` records an attempt of a request, ``settle`` returns the costs
    of a request by stage in the order in which the stages began, and
    forgets the request; ``lines`` are the totals for metrics.
    """

    def __init__(self) -> None:
        self._open: dict[str, dict[tuple[str, str], kernel.StageCost]] = {}
        self._totals: dict[tuple[str, str, str], CostLine] = {}

    @property
    def lines(self) -> tuple[CostLine, ...]:
        """Totals in the order of team, stage and provider."""
        return tuple(self._totals[key] for key in sorted(self._totals))

    def add(self, request_id: str, team: str, spent: kernel.StageCost) -> None:
        """Record the cost of attempts, also of those that failed or lost."""
        stages = self._open.setdefault(request_id, {})
        place = (spent.stage, spent.provider)
        held = stages.get(place)
        stages[place] = spent if held is None else _sum(held, spent)
        key = (team, spent.stage, spent.provider)
        line = self._totals.get(key, CostLine(*key, cost=0, attempts=0))
        self._totals[key] = dataclasses.replace(
            line,
            cost=line.cost + spent.cost,
            attempts=line.attempts + spent.attempts,
        )

    def settle(self, request_id: str) -> tuple[kernel.StageCost, ...]:
        """Return the costs of a request by stage, and forget it."""
        return tuple(self._open.pop(request_id, {}).values())

    def dump(self) -> dict[str, object]:
        """Return totals by team, stage and provider as plain JSON types."""
        return {
            'open_requests': len(self._open),
            'by_team': _totals((line.team, line) for line in self.lines),
            'by_stage': _totals((line.stage, line) for line in self.lines),
            'by_provider': _totals(
                (line.provider, line) for line in self.lines
            ),
        }


def _sum(left: kernel.StageCost, right: kernel.StageCost) -> kernel.StageCost:
    return dataclasses.replace(
        left,
        cost=left.cost + right.cost,
        attempts=left.attempts + right.attempts,
    )


def _totals(lines: Iterable[tuple[str, CostLine]]) -> dict[str, float]:
    totals: dict[str, float] = {}
    for name, line in lines:
        totals[name] = round(totals.get(name, 0) + line.cost, 6)
    return totals
