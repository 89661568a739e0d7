"""One request's way through the stages of its pipeline."""

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from lentilspool import config, kernel
from lentilspool.pipeline import _digest, _request


@dataclasses.dataclass(frozen=True, slots=True)
class StageInput:
    """What the next stage of a request is asked."""

    stage: config.StageDocument
    """Stage to run."""

    body: bytes
    """Input as a JSON object."""

    digest: str
    """Content digest of the body."""


class Execution:
    """Carries one request from stage to stage.

    Ask ``stage_input`` for the next stage, report its spend with ``spend``
    and its whole answer with ``advance``, until ``finished``. Each answer is
    a JSON object whose fields are added to the input of later stages.
    """

    def __init__(self, request: _request.PipelineRequest) -> None:
        self._request = request
        self._fields: dict[str, Any] = dict(request.fields)
        self._position = 0
        self._answer = b'{}'
        self._costs: dict[str, kernel.StageCost] = {}

    @property
    def finished(self) -> bool:
        """Whether every stage has answered."""
        return self._position == len(self._request.stages)

    @property
    def stage(self) -> config.StageDocument:
        """Stage that is next, or the last one."""
        last = len(self._request.stages) - 1
        return self._request.stages[min(self._position, last)]

    @property
    def remaining_stages(self) -> tuple[config.StageDocument, ...]:
        """Stages that have not answered."""
        return self._request.stages[self._position :]

    @property
    def fields(self) -> Mapping[str, Any]:
        """Input of the next stage."""
        return self._fields

    @property
    def cost_by_stage(self) -> tuple[kernel.StageCost, ...]:
        """Spend so far, in the order in which stages ran."""
        return tuple(self._costs.values())

    def stage_input(self) -> StageInput:
        """Return the input of the next stage."""
        body = json.dumps(self._fields, sort_keys=True).encode()
        return StageInput(self.stage, body, _digest.digest_of(body))

    def spend(self, provider: str, cost: float) -> None:
        """Add the spend of one attempt of the current stage."""
        name = self.stage.name
        held = self._costs.get(name)
        if held is None:
            held = kernel.StageCost(name, provider, 0, 0)
        self._costs[name] = dataclasses.replace(
            held, cost=held.cost + cost, attempts=held.attempts + 1
        )

    def advance(self, body: bytes) -> bool:
        """Take the whole answer of the current stage.

        Returns False, and stays at the stage, if it is no JSON object.
        """
        try:
            answer = json.loads(body)
        except ValueError:
            return False
        if not isinstance(answer, dict):
            return False
        self._fields.update(answer)
        self._answer = body
        self._position += 1
        return True

    def complete(self) -> kernel.Complete:
        """Return the outcome of a request whose stages all answered."""
        return kernel.Complete(self._answer, self.cost_by_stage)
