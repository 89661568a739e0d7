"""Delay before a retry."""

import dataclasses
import math
import random
from typing import Final

_MAX_DOUBLINGS: Final = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    The delay is drawn uniformly between zero and a bound that doubles with
    each attempt. It is added to the delay that the endpoint asked for.
    """

    base_bound_s: float = 0.02
    """Upper bound of the delay after the first attempt, in seconds."""

    max_bound_s: float = 1.0
    """Limit of the doubled bound, in seconds."""

    def delay_s(
        self, attempt: int, rng: random.Random, retry_after_s: float = 0
    ) -> float:
        """Return the seconds to wait before the next attempt.

        ``attempt`` is the number of the attempt that ended, from 1.
        ``retry_after_s`` is the delay that the endpoint asked for.
        """
        doublings = min(attempt - 1, _MAX_DOUBLINGS)
        bound_s = min(
            self.max_bound_s, self.base_bound_s * math.pow(2, doublings)
        )
        return retry_after_s + rng.random() * bound_s

    def default_retry_after_s(self) -> float:
        """Return the seconds after which a caller may send a new request."""
        return self.max_bound_s
