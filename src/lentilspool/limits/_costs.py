"""Costs that one process has recorded, by team, stage and provider."""

import dataclasses
from collections.abc import Iterable

from lentilspool import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class CostTotal:
    """Spend of one team on one stage at one provider."""

    team: str
    """Team that sent the requests."""

    stage: str
    """Name of the stage."""

    provider: str
    """Provider to whose credits the cost was charged."""

    cost: float
    """Spend in credits."""

    attempts: int
    """Number of attempts that reached an endpoint."""


class CostLedger:
    """Adds up the costs of attempts by request and in total.

    Call ``add`` for each attempt that reached an endpoint, and ``pop_request``
    when the request has ended. ``totals`` feeds the metrics and outlives
    the requests.
    """

    def __init__(self) -> None:
        self._open_requests: dict[
            str, dict[tuple[str, str], kernel.StageCost]
        ] = {}
        self._totals: dict[tuple[str, str, str], CostTotal] = {}

    @property
    def totals(self) -> tuple[CostTotal, ...]:
        """Totals, sorted by team, stage and provider."""
        return tuple(self._totals[key] for key in sorted(self._totals))

    def add(self, request_id: str, team: str, spent: kernel.StageCost) -> None:
        """Record the cost of attempts, also if they failed or went unused."""
        stages = self._open_requests.setdefault(request_id, {})
        stage_key = (spent.stage, spent.provider)
        previous = stages.get(stage_key)
        stages[stage_key] = (
            spent if previous is None else _combined(previous, spent)
        )
        total_key = (team, spent.stage, spent.provider)
        total = self._totals.get(
            total_key, CostTotal(*total_key, cost=0, attempts=0)
        )
        self._totals[total_key] = dataclasses.replace(
            total,
            cost=total.cost + spent.cost,
            attempts=total.attempts + spent.attempts,
        )

    def pop_request(self, request_id: str) -> tuple[kernel.StageCost, ...]:
        """Remove a request; return its costs by stage and provider.

        They are in the order in which the stages were first recorded. An
        unknown request has none.
        """
        return tuple(self._open_requests.pop(request_id, {}).values())

    def dump(self) -> dict[str, object]:
        """Return totals by team, stage and provider as plain JSON types."""
        return {
            'open_requests': len(self._open_requests),
            'by_team': _sum_by_name(
                (total.team, total) for total in self.totals
            ),
            'by_stage': _sum_by_name(
                (total.stage, total) for total in self.totals
            ),
            'by_provider': _sum_by_name(
                (total.provider, total) for total in self.totals
            ),
        }


def _combined(
    left: kernel.StageCost, right: kernel.StageCost
) -> kernel.StageCost:
    return dataclasses.replace(
        left,
        cost=left.cost + right.cost,
        attempts=left.attempts + right.attempts,
    )


def _sum_by_name(
    named_totals: Iterable[tuple[str, CostTotal]],
) -> dict[str, float]:
    sums: dict[str, float] = {}
    for name, total in named_totals:
        sums[name] = round(sums.get(name, 0) + total.cost, 6)
    return sums
