"""Results that endpoints were told to drop, and the room that they give back."""

import dataclasses

from lentilspool.serving import _lanes, _plan_types, _stage_state


@dataclasses.dataclass(frozen=True, slots=True)
class _Freeing:
    """Results that an endpoint was told to drop."""

    lane: str
    """Incarnation of the endpoint."""

    size: float
    """Bytes that it gets back."""

    expires_at: float
    """When it drops them without being told."""


class ResultRoom:
    """Frees results at their makers; ``actions`` holds what is to be sent."""

    def __init__(self, services: dict[str, _lanes.StageService]) -> None:
        self._services = services
        self.actions: list[_plan_types.FreeResults] = []
        self._freeing: dict[int, list[_Freeing]] = {}
        self._numbers = 0

    def release(self, results: list[_stage_state.Held]) -> None:
        """Order results to be freed; their room comes back with ``freed``."""
        grouped: dict[str, list[_stage_state.Held]] = {}
        for one in results:
            grouped.setdefault(one.address, []).append(one)
        for address, group in grouped.items():
            self._numbers += 1
            self._freeing[self._numbers] = [
                _Freeing(held.lane, held.size, held.expires_at)
                for held in group
            ]
            handles = tuple(held.handle for held in group)
            self.actions.append(
                _plan_types.FreeResults(self._numbers, address, handles)
            )

    def freed(self, number: int) -> None:
        """Take in that an endpoint has dropped results."""
        for freeing in self._freeing.pop(number, ()):
            self._give_room(freeing)

    def expire(self, now: float) -> None:
        """Take back the room of results that no endpoint holds any more."""
        for number, group in list(self._freeing.items()):
            if all(one.expires_at <= now for one in group):
                self.freed(number)

    def _give_room(self, freeing: _Freeing) -> None:
        for service in self._services.values():
            lane = service.lanes.get(freeing.lane)
            if lane:
                lane.give_room(freeing.size)
