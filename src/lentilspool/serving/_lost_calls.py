"""Pieces of stage calls that were not answered.

Sent again at once, they could end one endpoint after another before anyone
knows that the first has ended. They wait for the check of their endpoint.
"""

import dataclasses
from typing import Final

from lentilspool.serving import _jobs, _plan_types, _stage_service

# A check by one connection takes some ms, unless the endpoint is silent.
_CHECK_TIMEOUT_S: Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldPieces:
    """Pieces of one call, until its endpoint is checked."""

    call_pieces: tuple[_stage_service.CallPiece, ...]
    """Pieces of the call."""

    until: float
    """When they are released even without the outcome of the check."""


class LostCalls:
    """Orders checks of endpoints, and holds the pieces meanwhile."""

    def __init__(self) -> None:
        self._held: dict[int, _HeldPieces] = {}
        self.checks: list[_plan_types.CheckEndpoint] = []

    def hold(self, open_call: _stage_service.OpenCall, now: float) -> None:
        """Order the check of a call's endpoint and hold the pieces."""
        self._held[open_call.number] = _HeldPieces(
            open_call.call_pieces, now + _CHECK_TIMEOUT_S
        )
        self.check(open_call)

    def check(self, open_call: _stage_service.OpenCall) -> None:
        """Order the check of a call's endpoint."""
        self.checks.append(
            _plan_types.CheckEndpoint(
                open_call.number,
                open_call.stage_endpoint.endpoint,
                frozenset(
                    call_piece.job.plan_request.content
                    for call_piece in open_call.call_pieces
                ),
            )
        )

    def without_held(self, jobs: list[_jobs.Job]) -> list[_jobs.Job]:
        """Return the jobs that need not wait for the check of an endpoint."""
        held_keys = {
            call_piece.job.plan_request.key
            for held in self._held.values()
            for call_piece in held.call_pieces
        }
        return [job for job in jobs if job.plan_request.key not in held_keys]

    def check_ended(self, number: int) -> None:
        """Release the pieces of a call whose endpoint was checked."""
        held = self._held.get(number)
        if held:
            self._held[number] = dataclasses.replace(held, until=0)

    def take_released(self, now: float) -> list[_stage_service.CallPiece]:
        """Return the pieces to send again, once each."""
        released = [
            number for number, held in self._held.items() if held.until <= now
        ]
        return [
            call_piece
            for number in released
            for call_piece in self._held.pop(number).call_pieces
        ]

    def due_times(self) -> list[float]:
        """Return the times at which held pieces are released."""
        return [held.until for held in self._held.values()]
