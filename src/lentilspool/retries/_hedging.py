"""When to send a second attempt while the first one runs."""

import dataclasses

from lentilspool.retries import _budget


@dataclasses.dataclass(frozen=True, slots=True)
class Hedging:
    """Hedges repeatable stages that take unusually long.

    Ask ``delay_s`` when an attempt starts. When that time has passed
    without an answer, ``may_hedge`` takes the hedge from the budget.
    """

    quantile_factor: float = 1.5
    """Delay as a multiple of the pool's 95th percentile of service."""

    def delay_s(
        self, *, repeatable: bool, p95_s: float, remaining_s: float
    ) -> float | None:
        """Return the seconds until a hedge; none if it would not help."""
        wait_s = self.quantile_factor * p95_s
        if not repeatable or wait_s + p95_s > remaining_s:
            return None
        return wait_s

    def may_hedge(
        self, budget: _budget.RetryBudget, now: float, *, repeatable: bool
    ) -> bool:
        """Return whether the hedge may be sent, and pay for it."""
        return repeatable and budget.try_spend(now)
