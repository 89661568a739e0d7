"""Circuit breaker of a pool whose endpoints fail together."""

import dataclasses
import math
import random
from typing import Final

_WINDOW_S: Final = 1.0
# Added to both counts, so that a single failure does not trip the breaker.
_PRIOR_SUCCESSES: Final = 2.0
_ADMITTED_PER_SUCCESS: Final = 2.0
_PROBES_PER_S: Final = 5.0
_RETRY_AFTER_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt may be sent to the pool."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt may not be sent, because most of the pool's attempts fail."""

    retry_after_s: float
    """Seconds after which the caller may try again."""


class PoolBreaker:
    """Limits the attempts at a failing pool to little more than it answers.

    Call ``admit`` before the first attempt of a stage, and ``record`` when
    an attempt ends. While at least half of the recent attempts succeed,
    all are admitted. Below that, the admitted share falls in proportion to
    the share of successes, down to a few probes per second. The breaker
    has no open state to reset: successful probes raise the share again.
    """

    def __init__(self) -> None:
        self._arrivals = 0.0
        self._ended = 0.0
        self._succeeded = 0.0
        self._decayed_at = -math.inf

    @property
    def success_share(self) -> float:
        """Share of the recent attempts that succeeded, from 0 to 1."""
        return (self._succeeded + _PRIOR_SUCCESSES) / (
            self._ended + _PRIOR_SUCCESSES
        )

    def admit(self, now: float, rng: random.Random) -> Admitted | Refused:
        """Return whether an attempt may be sent."""
        self._decay(now)
        self._arrivals += 1
        probe_share = _PROBES_PER_S * _WINDOW_S / self._arrivals
        share = max(_ADMITTED_PER_SUCCESS * self.success_share, probe_share)
        if share >= 1 or rng.random() < share:
            return Admitted()
        return Refused(_RETRY_AFTER_S * (1 + rng.random()))

    def record(self, *, succeeded: bool, now: float) -> None:
        """Record an attempt that ended.

        Do not record refusals: they do not count as failures.
        """
        self._decay(now)
        self._ended += 1
        if succeeded:
            self._succeeded += 1

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s <= 0:
            return
        remaining_share = math.exp(-elapsed_s / _WINDOW_S)
        self._arrivals *= remaining_share
        self._ended *= remaining_share
        self._succeeded *= remaining_share
        self._decayed_at = now
