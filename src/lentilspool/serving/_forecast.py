"""Corrects expected times by how earlier ones turned out.

Answers load under which requests wait a little in each of several stages,
for rooms and for calls that are under way: no single wait is foreseen, and
together they make the difference between on time and late.
"""

from typing import Final

_SMOOTHING: Final = 0.05
# Factor before anything was learned: requests wait a little in each stage.
_FIRST: Final = 1.3
# Bounds of one observation, so that a few stuck requests teach little.
_LEAST: Final = 0.7
_MOST: Final = 3.0
_SHORTEST_S: Final = 0.05


class Forecast:
    """Learns how much longer requests take than was expected of them."""

    def __init__(self) -> None:
        self._factor = _FIRST

    @property
    def factor(self) -> float:
        """Actual time as a multiple of the expected one; at least 1."""
        return max(self._factor, 1.0)

    def corrected(self, expected_s: float) -> float:
        """Return how long a request will probably take."""
        return expected_s * self.factor

    def learn(self, expected_s: float, actual_s: float) -> None:
        """Take in how long a request took, and what was expected.

        Very short expectations teach nothing.
        """
        if expected_s < _SHORTEST_S:
            return
        seen = actual_s / expected_s
        seen = min(max(seen, _LEAST), _MOST)
        self._factor += _SMOOTHING * (seen - self._factor)
