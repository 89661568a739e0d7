"""Delay before a retry."""

import dataclasses
import math
import random
from typing import Final

_MAX_DOUBLINGS: Final = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    The delay is drawn evenly from zero to a bound that doubles with each
    attempt; it is never shorter than the endpoint asked for.
    """

    base_s: float = 0.02
    """Bound of the delay after the first attempt, in seconds."""

    cap_s: float = 1.0
    """Highest bound of the delay, in seconds."""

    def delay_s(
        self, attempt: int, rng: random.Random, retry_after_s: float = 0
    ) -> float:
        """Return the seconds to wait after the attempt of this number."""
        doublings = min(attempt - 1, _MAX_DOUBLINGS)
        bound_s = min(self.cap_s, self.base_s * math.pow(2, doublings))
        return retry_after_s + rng.random() * bound_s

    def come_back_s(self) -> float:
        """Return the seconds after which a caller may ask again."""
        return self.cap_s
