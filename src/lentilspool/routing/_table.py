"""Table of the candidate endpoints of one pool at one entry."""

import dataclasses
from collections.abc import Iterable, Sequence

from lentilspool.routing import _types


class EndpointTable:
    """Stores a ``Candidate`` for each endpoint of the entry's pool subset.

    The entry calls ``set_endpoints`` when membership or the configuration
    changes, ``add_work`` and ``remove_work`` around each attempt,
    ``update_load`` for each load report, and ``set_ejection_status`` when
    the ejection status of an endpoint changes. It passes ``candidates`` to
    the routing policy.
    """

    def __init__(self) -> None:
        self._candidates: list[_types.Candidate] = []
        self._index_by_name: dict[str, int] = {}

    @property
    def candidates(self) -> Sequence[_types.Candidate]:
        """Candidates; a live view that changes with the table."""
        return self._candidates

    def find(self, name: str) -> _types.Candidate | None:
        """Return the candidate with this name, or None."""
        index = self._index_by_name.get(name)
        return None if index is None else self._candidates[index]

    def set_endpoints(self, members: Iterable[_types.Candidate]) -> None:
        """Set the endpoints; known ones keep their load and ejection status."""
        self._candidates = [self._with_load(candidate) for candidate in members]
        self._index_by_name = {
            candidate.name: index
            for index, candidate in enumerate(self._candidates)
        }

    def add_work(self, name: str, work: float = 1) -> None:
        """Add work, in calls, that this entry sent to the endpoint."""
        self._add_work(name, work)

    def remove_work(self, name: str, work: float = 1) -> None:
        """Subtract work, in calls, that has ended with any outcome."""
        self._add_work(name, -work)

    def update_load(
        self,
        name: str,
        *,
        others: float,
        measured_at: float,
        capacity: float | None = None,
    ) -> None:
        """Record a load report; ignore it if it is older than the last.

        ``others`` is the work at the endpoint, in calls, without the work
        of this entry at the same time, which is counted separately.
        ``capacity`` is the endpoint's concurrency limit, if it is known.
        """
        current = self.find(name)
        if current is None or measured_at < current.reported_at:
            return
        self._store(
            dataclasses.replace(
                current,
                reported_other_work=max(others, 0),
                reported_at=measured_at,
                capacity=current.capacity if capacity is None else capacity,
            )
        )

    def set_ejection_status(
        self, name: str, *, ejected: bool, weight: float
    ) -> None:
        """Set whether the endpoint is ejected, and its slow-start weight."""
        current = self.find(name)
        if current is not None and (ejected, weight) != (
            current.ejected,
            current.weight,
        ):
            self._store(
                dataclasses.replace(current, ejected=ejected, weight=weight)
            )

    def _add_work(self, name: str, work: float) -> None:
        current = self.find(name)
        if current is not None:
            in_flight = max(current.in_flight + work, 0)
            self._store(dataclasses.replace(current, in_flight=in_flight))

    def _store(self, candidate: _types.Candidate) -> None:
        self._candidates[self._index_by_name[candidate.name]] = candidate

    def _with_load(self, candidate: _types.Candidate) -> _types.Candidate:
        current = self.find(candidate.name)
        if current is None:
            return candidate
        return dataclasses.replace(
            candidate,
            in_flight=current.in_flight,
            reported_other_work=current.reported_other_work,
            reported_at=current.reported_at,
            ejected=current.ejected,
            weight=current.weight,
        )
