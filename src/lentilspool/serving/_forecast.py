"""Corrects estimated times by the error of earlier estimates.

Under load, requests wait a little in each of several stages, for result
memory and for calls in flight. No single wait is part of the estimate, but
together they decide whether a request is on time.
"""

from typing import Final

_FACTOR_SMOOTHING: Final = 0.05
# Factor without observations; above 1 as requests wait in each stage.
_INITIAL_FACTOR: Final = 1.3
# Bounds of one observation, so that a few stuck requests change little.
_MIN_RATIO: Final = 0.7
_MAX_RATIO: Final = 3.0
# Requests with a shorter expected time are not recorded.
_MIN_EXPECTED_S: Final = 0.05


class Forecast:
    """Estimates how much longer requests take than expected."""

    def __init__(self) -> None:
        self._factor = _INITIAL_FACTOR

    @property
    def factor(self) -> float:
        """Ratio of the actual to the expected time; at least 1."""
        return max(self._factor, 1.0)

    def corrected(self, expected_s: float) -> float:
        """Return the expected time multiplied by the factor."""
        return expected_s * self.factor

    def record(self, expected_s: float, actual_s: float) -> None:
        """Record the expected and the actual time of a request.

        Observations with a very short expected time are ignored.
        """
        if expected_s < _MIN_EXPECTED_S:
            return
        ratio = actual_s / expected_s
        ratio = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
        self._factor += _FACTOR_SMOOTHING * (ratio - self._factor)
