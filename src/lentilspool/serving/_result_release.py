"""Releases results at endpoints and reclaims their memory."""

import dataclasses

from lentilspool.serving import _plan_types, _stage_service, _stage_state


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRelease:
    """A result that an endpoint was told to drop."""

    incarnation: str
    """Incarnation of the endpoint."""

    size: float
    """Bytes that become free."""

    expires_at: float
    """When the endpoint drops it in any case."""


class ResultReleaser:
    """Frees results at their endpoints; ``actions`` holds orders to send."""

    def __init__(
        self, services: dict[str, _stage_service.StageService]
    ) -> None:
        self._services = services
        self.actions: list[_plan_types.FreeResults] = []
        self._pending: dict[int, list[_PendingRelease]] = {}
        self._last_number = 0

    def release(self, results: list[_stage_state.HeldResult]) -> None:
        """Order results to be freed; ``freed`` reclaims their memory."""
        grouped: dict[str, list[_stage_state.HeldResult]] = {}
        for one in results:
            grouped.setdefault(one.address, []).append(one)
        for address, group in grouped.items():
            self._last_number += 1
            self._pending[self._last_number] = [
                _PendingRelease(held.incarnation, held.size, held.expires_at)
                for held in group
            ]
            handles = tuple(held.handle for held in group)
            self.actions.append(
                _plan_types.FreeResults(self._last_number, address, handles)
            )

    def freed(self, number: int) -> None:
        """Reclaim the memory of results that an endpoint has dropped."""
        for pending_release in self._pending.pop(number, ()):
            self._reclaim(pending_release)

    def expire(self, now: float) -> None:
        """Reclaim the memory of results that endpoints no longer keep.

        An endpoint drops a result when it expires, even if the order to
        free it was lost.
        """
        for number, group in list(self._pending.items()):
            if all(one.expires_at <= now for one in group):
                self.freed(number)

    def _reclaim(self, pending_release: _PendingRelease) -> None:
        for service in self._services.values():
            stage_endpoint = service.stage_endpoints.get(
                pending_release.incarnation
            )
            if stage_endpoint:
                stage_endpoint.reclaim(pending_release.size)
