"""Dependencies and data volumes of the stages of a request."""

import dataclasses
from typing import Final

from lentilspool.serving import _plan_types

# From this size on, it matters in which zone and when a result is made.
LARGE_RESULT_BYTES: Final = 100_000
_StageRequests = tuple[_plan_types.StageRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes that one piece of a stage transfers."""

    read_bytes: float
    """Size of the results of other stages that it reads."""

    written_bytes: float
    """Size of its result, multiplied by the pieces that read it.

    It counts once if no stage reads it.
    """

    @property
    def total_bytes(self) -> float:
        """Bytes read and written."""
        return self.read_bytes + self.written_bytes


class StageGraph:
    """Dependencies between the stages of a request."""

    def __init__(self, stage_requests: _StageRequests) -> None:
        numbers = range(len(stage_requests))
        self.traffics = tuple(
            _traffic(stage_requests, number) for number in numbers
        )
        read = {
            earlier
            for stage_request in stage_requests
            if stage_request.pieces
            for earlier in stage_request.after
        }
        # Stages whose results the engine reads, and no other stage.
        self.final_stages = tuple(
            number for number in numbers if number not in read
        )
        # Stages with large results that are independent of a chain of stages.
        self.side_stages = self._side_stages(stage_requests)
        # Bytes of the results that the engine reads.
        self.final_bytes = sum(
            stage_requests[number].pieces * stage_requests[number].result_bytes
            for number in self.final_stages
        )

    def _side_stages(self, stage_requests: _StageRequests) -> frozenset[int]:
        if not any(
            stage_request.after and stage_request.pieces
            for stage_request in stage_requests
        ):
            return frozenset()
        return frozenset(
            number
            for number in self.final_stages
            if not stage_requests[number].after
            and stage_requests[number].pieces
            * stage_requests[number].result_bytes
            >= LARGE_RESULT_BYTES
        )


def _traffic(stage_requests: _StageRequests, number: int) -> Traffic:
    """Return the bytes that a piece of a stage reads and that are read of it.

    Each piece of a stage reads all results of the stages before it, so a
    small result may be transferred many times.
    """
    own = stage_requests[number]
    readers = sum(
        stage_request.pieces
        for stage_request in stage_requests
        if number in stage_request.after
    )
    sources = [stage_requests[earlier] for earlier in own.after]
    read = sum(
        stage_request.pieces * stage_request.result_bytes
        for stage_request in sources
    )
    return Traffic(read, own.result_bytes * max(readers, 1))
