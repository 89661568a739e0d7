"""Retry budget: retries as a share of the recent successes."""

import math
from typing import Final

_SHARE: Final = 0.1
_WINDOW_S: Final = 10.0
_RESERVE: Final = 1.0


class RetryBudget:
    """Bounds the retries and hedges of one pool at one entry.

    Call ``succeeded`` for each attempt that succeeds, and ``try_spend``
    before each retry or hedge. Unused retries above a reserve expire within
    the window. Below the reserve the balance regains one retry a window
    besides what successes earn, so that a pool that has failed altogether
    gets few retries. A reserve of the calls that one endpoint runs together
    lets all of them be tried again if it dies.
    """

    def __init__(
        self,
        share: float = _SHARE,
        window_s: float = _WINDOW_S,
        reserve: float = _RESERVE,
    ) -> None:
        self._share = share
        self._window_s = window_s
        self._reserve = reserve
        self._balance = reserve
        self._settled_at = -math.inf

    @property
    def balance(self) -> float:
        """Retries that may be spent, as of the last call."""
        return self._balance

    def resize(self, reserve: float) -> None:
        """Change the reserve; what is above it expires within the window."""
        self._reserve = reserve

    def succeeded(self, now: float) -> None:
        """Add the share of a retry that a success earns."""
        self._settle(now)
        self._balance += self._share

    def try_spend(self, now: float) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        self._settle(now)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def _settle(self, now: float) -> None:
        elapsed_s = now - self._settled_at
        if elapsed_s <= 0:
            return
        self._settled_at = now
        surplus = self._balance - self._reserve
        if surplus < 0:
            refill = elapsed_s / self._window_s
            self._balance += min(refill, -surplus)
        else:
            kept = math.exp(-elapsed_s / self._window_s)
            self._balance = self._reserve + surplus * kept
