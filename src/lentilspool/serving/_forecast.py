"""Corrects expected times by how earlier ones turned out.

Answers load under which requests wait a little in each of several stages,
for rooms and for calls that are under way: no single wait is foreseen, and
together they make the difference between on time and late.
"""

from typing import Final

_FACTOR_SMOOTHING: Final = 0.05
# Factor before anything was learned: requests wait a little in each stage.
_INITIAL_FACTOR: Final = 1.3
# Bounds of one observation, so that a few stuck requests teach little.
_MIN_RATIO: Final = 0.7
_MAX_RATIO: Final = 3.0
_MIN_EXPECTED_S: Final = 0.05


class Forecast:
    """Learns how much longer requests take than was expected of them."""

    def __init__(self) -> None:
        self._factor = _INITIAL_FACTOR

    @property
    def factor(self) -> float:
        """Actual time as a multiple of the expected one; at least 1."""
        return max(self._factor, 1.0)

    def corrected(self, expected_s: float) -> float:
        """Return how long a request will probably take."""
        return expected_s * self.factor

    def record(self, expected_s: float, actual_s: float) -> None:
        """Take in how long a request took, and what was expected.

        Very short expectations teach nothing.
        """
        if expected_s < _MIN_EXPECTED_S:
            return
        ratio = actual_s / expected_s
        ratio = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
        self._factor += _FACTOR_SMOOTHING * (ratio - self._factor)
