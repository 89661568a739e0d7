"""Retry budget: retries as a share of the recent successes."""

import math
from typing import Final

_RETRIES_PER_SUCCESS: Final = 0.1
_WINDOW_S: Final = 10.0
_RESERVE_RETRIES: Final = 1.0


class RetryBudget:
    """Bounds the retries and hedges of one pool at one entry.

    Call ``record_success`` for each attempt that succeeds, and ``try_spend``
    before each retry or hedge. The balance above the reserve decays
    exponentially with the window as its time constant. Below the reserve,
    the balance regains one retry per window besides what successes earn, so
    that a pool in which all attempts fail gets few retries. With a reserve
    as large as the concurrency limit of an endpoint, all of its in-flight
    calls can be retried if it dies.
    """

    def __init__(
        self,
        retries_per_success: float = _RETRIES_PER_SUCCESS,
        window_s: float = _WINDOW_S,
        reserve: float = _RESERVE_RETRIES,
    ) -> None:
        self._retries_per_success = retries_per_success
        self._window_s = window_s
        self._reserve = reserve
        self._balance = reserve
        self._updated_at = -math.inf

    @property
    def balance(self) -> float:
        """Retries that may be spent, as of the last update."""
        return self._balance

    def update_reserve(self, reserve: float) -> None:
        """Set the reserve; a smaller one withdraws what is above it.

        What successes have earned stays, and decays with the window.
        """
        earned = max(self._balance - self._reserve, 0)
        self._balance = min(self._balance, reserve + earned)
        self._reserve = reserve

    def record_success(self, now: float) -> None:
        """Add the fraction of a retry that a success earns."""
        self._update_balance(now)
        self._balance += self._retries_per_success

    def allows(self, retries: float, now: float) -> bool:
        """Whether that many retries may be spent."""
        self._update_balance(now)
        return self._balance >= retries

    def try_spend(self, now: float, retries: int = 1) -> bool:
        """Spend retries; spend none and return False if they are too many."""
        if not self.allows(retries, now):
            return False
        self._balance -= retries
        return True

    def _update_balance(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        surplus = self._balance - self._reserve
        if surplus < 0:
            refill = elapsed_s / self._window_s
            self._balance += min(refill, -surplus)
        else:
            remaining_share = math.exp(-elapsed_s / self._window_s)
            self._balance = self._reserve + surplus * remaining_share
