"""Execution state of a request in the stages of its pipeline."""

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from lentilspool import config, kernel
from lentilspool.pipeline import _digest, _request


@dataclasses.dataclass(frozen=True, slots=True)
class StageInput:
    """Input of one stage of a request."""

    stage: config.StageDocument
    """Stage to run."""

    body: bytes
    """Input as an encoded JSON object."""

    digest: str
    """Content digest of the body."""


class Execution:
    """State of one request that runs through its stages in order.

    Until ``finished``, get the input of the current stage from
    ``stage_input``, record the cost of each attempt with ``add_cost`` and
    pass the complete answer to ``complete_stage``. Each answer is a JSON
    object whose fields are merged into the input of later stages.
    """

    def __init__(self, request: _request.PipelineRequest) -> None:
        self._request = request
        self._fields: dict[str, Any] = dict(request.fields)
        self._stage_index = 0
        self._last_answer = b'{}'
        self._cost_by_stage: dict[str, kernel.StageCost] = {}

    @property
    def finished(self) -> bool:
        """Whether all stages have answered."""
        return self._stage_index == len(self._request.stages)

    @property
    def stage(self) -> config.StageDocument:
        """Current stage; the last one if all have answered."""
        last = len(self._request.stages) - 1
        return self._request.stages[min(self._stage_index, last)]

    @property
    def remaining_stages(self) -> tuple[config.StageDocument, ...]:
        """Stages that have not answered yet."""
        return self._request.stages[self._stage_index :]

    @property
    def fields(self) -> Mapping[str, Any]:
        """Input fields of the current stage."""
        return self._fields

    @property
    def cost_by_stage(self) -> tuple[kernel.StageCost, ...]:
        """Cost so far, in the order in which the stages ran."""
        return tuple(self._cost_by_stage.values())

    def stage_input(self) -> StageInput:
        """Return the input of the current stage."""
        body = json.dumps(self._fields, sort_keys=True).encode()
        return StageInput(self.stage, body, _digest.body_digest(body))

    def add_cost(self, provider: str, cost: float) -> None:
        """Add the cost, in credits, of one attempt of the current stage."""
        name = self.stage.name
        previous = self._cost_by_stage.get(name)
        if previous is None:
            previous = kernel.StageCost(name, provider, 0, 0)
        self._cost_by_stage[name] = dataclasses.replace(
            previous, cost=previous.cost + cost, attempts=previous.attempts + 1
        )

    def complete_stage(self, body: bytes) -> bool:
        """Merge the complete answer of the current stage and go to the next.

        Returns False and stays at the stage if the answer is not a JSON
        object.
        """
        try:
            answer = json.loads(body)
        except ValueError:
            return False
        if not isinstance(answer, dict):
            return False
        self._fields.update(answer)
        self._last_answer = body
        self._stage_index += 1
        return True

    def complete(self) -> kernel.Complete:
        """Return the outcome of a request after all stages have answered."""
        return kernel.Complete(self._last_answer, self.cost_by_stage)
