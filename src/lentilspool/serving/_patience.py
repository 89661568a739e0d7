"""How long answers of the store are awaited."""

from typing import Final

_MAX_FACTOR: Final = 4


class StorePatience:
    """Doubles the time limit of calls to a store that answers late.

    With a fixed limit, a store that is slower would never be read. Pass
    each call to ``record``; multiply the limit of the next by ``factor``.
    """

    def __init__(self) -> None:
        self._factor = 1
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls so far."""
        return self._calls

    @property
    def factor(self) -> int:
        """Factor of the next call's limit."""
        return self._factor

    def record(self, late_s: float, limit_s: float, *, ended: bool) -> None:
        """Record a call that ended, or was given up at its limit.

        ``late_s`` is the time that the store took, without the time for
        which it was asked to wait; ``limit_s`` is the limit without factor.
        A watch that ends early shows nothing about the store's speed.
        """
        self._calls += 1
        if not ended:
            self._factor = min(2 * self._factor, _MAX_FACTOR)
        elif 0 < late_s <= limit_s:
            self._factor = 1
