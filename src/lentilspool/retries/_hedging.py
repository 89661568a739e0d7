"""Hedging: a second attempt that is sent while the first one runs."""

import dataclasses

from lentilspool.retries import _budget


@dataclasses.dataclass(frozen=True, slots=True)
class Hedging:
    """Decides when a slow attempt of a repeatable stage is hedged.

    Call ``delay_s`` when an attempt starts. When that delay has passed
    without an answer, call ``try_hedge``, which spends the retry budget.
    """

    p95_factor: float = 1.5
    """Delay as a multiple of the pool's 95th percentile of service time."""

    def delay_s(
        self, *, repeatable: bool, p95_s: float, remaining_s: float
    ) -> float | None:
        """Return the seconds until a hedge, or None if it is not worthwhile.

        ``p95_s`` is the 95th percentile of the pool's service time. A hedge
        that would probably end after the deadline is not worthwhile.
        """
        hedge_after_s = self.p95_factor * p95_s
        if not repeatable or hedge_after_s + p95_s > remaining_s:
            return None
        return hedge_after_s

    def try_hedge(
        self, budget: _budget.RetryBudget, now: float, *, repeatable: bool
    ) -> bool:
        """Spend one retry; return whether the hedge may be sent."""
        return repeatable and budget.try_spend(now)
