"""The candidates of one pool, kept up to date by the entry."""

import dataclasses
from collections.abc import Iterable, Sequence

from lentilspool.routing import _types


class EndpointTable:
    """Keeps one ``Candidate`` for each endpoint of a pool's subset.

    The entry calls ``replace`` when membership or the configuration
    changes, ``started`` and ``ended`` around each attempt, ``reported``
    for each load report, and ``judged`` when ejection changes. It hands
    ``candidates`` to the routing policy.
    """

    def __init__(self) -> None:
        self._order: list[_types.Candidate] = []
        self._position: dict[str, int] = {}

    @property
    def candidates(self) -> Sequence[_types.Candidate]:
        """The candidates; the sequence changes with the table."""
        return self._order

    def find(self, name: str) -> _types.Candidate | None:
        """Return the candidate with this name, if there is one."""
        position = self._position.get(name)
        return None if position is None else self._order[position]

    def replace(self, members: Iterable[_types.Candidate]) -> None:
        """Set the endpoints; those that stay keep their load."""
        self._order = [self._with_load(candidate) for candidate in members]
        self._position = {
            candidate.name: position
            for position, candidate in enumerate(self._order)
        }

    def started(self, name: str, work: float = 1) -> None:
        """Add work that this entry has sent to the endpoint."""
        self._add_work(name, work)

    def ended(self, name: str, work: float = 1) -> None:
        """Take off work that has ended, in whatever way."""
        self._add_work(name, -work)

    def reported(
        self,
        name: str,
        *,
        others: float,
        measured_at: float,
        capacity: float | None = None,
    ) -> None:
        """Take in a load report; one older than the last is dropped.

        ``others`` is the work at the endpoint less that of this entry
        at the same moment, so that own work is not counted twice.
        """
        held = self.find(name)
        if held is None or measured_at < held.reported_at:
            return
        self._put(
            dataclasses.replace(
                held,
                reported_others=max(others, 0),
                reported_at=measured_at,
                capacity=held.capacity if capacity is None else capacity,
            )
        )

    def judged(self, name: str, *, ejected: bool, weight: float) -> None:
        """Set whether the endpoint is ejected, and its slow-start weight."""
        held = self.find(name)
        if held is not None and (ejected, weight) != (
            held.ejected,
            held.weight,
        ):
            self._put(dataclasses.replace(held, ejected=ejected, weight=weight))

    def _add_work(self, name: str, work: float) -> None:
        held = self.find(name)
        if held is not None:
            in_flight = max(held.in_flight + work, 0)
            self._put(dataclasses.replace(held, in_flight=in_flight))

    def _put(self, candidate: _types.Candidate) -> None:
        self._order[self._position[candidate.name]] = candidate

    def _with_load(self, candidate: _types.Candidate) -> _types.Candidate:
        held = self.find(candidate.name)
        if held is None:
            return candidate
        return dataclasses.replace(
            candidate,
            in_flight=held.in_flight,
            reported_others=held.reported_others,
            reported_at=held.reported_at,
            ejected=held.ejected,
            weight=held.weight,
        )
