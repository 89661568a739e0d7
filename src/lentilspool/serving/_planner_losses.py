"""Planners that were lost lately, as one gateway saw it."""

from typing import Final

_WINDOW_S: Final = 10.0
# All requests that wait for a planner report its loss at about the same time.
_ONE_LOSS_S: Final = 0.5


class PlannerLosses:
    """Counts losses of planners, of which each ends several plans."""

    def __init__(self) -> None:
        self._lost_at: list[tuple[str, float]] = []

    def record(self, planner: str, now: float) -> None:
        """Record that a plan was lost with its planner."""
        if not any(
            name == planner and now - at < _ONE_LOSS_S
            for name, at in self._lost_at
        ):
            self._lost_at.append((planner, now))

    def recent(self, now: float) -> int:
        """Return the number of losses in the last seconds."""
        self._lost_at = [
            (name, at) for name, at in self._lost_at if now - at < _WINDOW_S
        ]
        return len(self._lost_at)
