"""What endpoints stated of themselves, by time."""

import collections

from soak import _history


class Listings:
    """Entries of endpoints in the store."""

    def __init__(self, history: _history.History) -> None:
        self._listed: dict[str, list[_history.Listed]] = (
            collections.defaultdict(list)
        )
        for seen in history.observations:
            if isinstance(seen, _history.Listed):
                self._listed[seen.endpoint].append(seen)

    def all(self, at: float) -> list[_history.Listed]:
        """Return the entries of a moment."""
        states = (self.of(endpoint, at) for endpoint in list(self._listed))
        return [state for state in states if state]

    def of(self, endpoint: str, at: float) -> _history.Listed | None:
        """Return what an endpoint had last stated."""
        states = [one for one in self._listed[endpoint] if one.at <= at]
        return states[-1] if states else None
