"""Refusal of most work for a pool that fails as a whole."""

import dataclasses
import math
import random
from typing import Final

_WINDOW_S: Final = 1.0
_PRIOR: Final = 2.0
_HEADROOM: Final = 2.0
_PROBES_PER_S: Final = 5.0
_RETRY_AFTER_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt may be sent to the pool."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The pool fails as a whole; the attempt is not sent."""

    retry_after_s: float
    """Seconds after which a new try makes sense."""


class PoolBreaker:
    """Sends a failing pool little more than it can answer.

    Call ``admit`` before the first attempt of a stage, and ``record`` when
    an attempt ends. As long as at least half of the recent attempts
    succeed, all are admitted; below that, the admitted share falls with
    the share of successes, down to a few probes a second. There is no
    state to reset: probes that succeed raise the share again.
    """

    def __init__(self) -> None:
        self._arrivals = 0.0
        self._ended = 0.0
        self._succeeded = 0.0
        self._settled_at = -math.inf

    @property
    def success_share(self) -> float:
        """Share of the recent attempts that succeeded."""
        return (self._succeeded + _PRIOR) / (self._ended + _PRIOR)

    def admit(self, now: float, rng: random.Random) -> Admitted | Refused:
        """Decide on an attempt that is about to be sent."""
        self._settle(now)
        self._arrivals += 1
        probes = _PROBES_PER_S * _WINDOW_S / self._arrivals
        share = max(_HEADROOM * self.success_share, probes)
        if share >= 1 or rng.random() < share:
            return Admitted()
        return Refused(_RETRY_AFTER_S * (1 + rng.random()))

    def record(self, *, succeeded: bool, now: float) -> None:
        """Take in the end of an attempt; a refusal is no failure."""
        self._settle(now)
        self._ended += 1
        if succeeded:
            self._succeeded += 1

    def _settle(self, now: float) -> None:
        elapsed_s = now - self._settled_at
        if elapsed_s <= 0:
            return
        kept = math.exp(-elapsed_s / _WINDOW_S)
        self._arrivals *= kept
        self._ended *= kept
        self._succeeded *= kept
        self._settled_at = now
