"""Pieces that are sent again, within the retry budgets of their services.

Answers endpoints that crash, lose answers or have no room under load: what
a call did not bring is queued again, its inputs are made again if they are
gone, and a request only fails if that happens too often.
"""

import dataclasses
from typing import Final

from lentilspool import retries
from lentilspool.serving import (
    _inputs,
    _jobs,
    _lanes,
    _plan_types,
    _result_room,
)

_MOST_REDONE: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Setback:
    """A job that cannot go on."""

    job: _jobs.Job
    """The job."""

    reason: str
    """Why."""


class PieceRetries:
    """Queues pieces again; jobs that cannot go on are in ``setbacks``."""

    def __init__(
        self,
        services: dict[str, _lanes.StageService],
        room: _result_room.ResultRoom,
        limits: _plan_types.PlanLimits,
    ) -> None:
        self._services = services
        self._room = room
        self._limits = limits
        self._budgets: dict[str, retries.RetryBudget] = {}
        # Pieces that wait for their service's retry budget.
        self._deferred: list[_lanes.Part] = []
        self.setbacks: list[Setback] = []

    def retry_deferred(self, now: float) -> None:
        """Queue pieces that waited for the retry budget, as it allows."""
        deferred = self._deferred
        self._deferred = []
        for part in deferred:
            self.try_again(part, now)

    def try_again(self, part: _lanes.Part, now: float) -> None:
        """Queue a piece once more, as soon as the retry budget allows it."""
        stage = part.job.stages[part.stage]
        if part.job.closed or stage.settled(part.piece):
            return
        if self.budget(stage.ask.service).try_spend(now):
            self.queue_again(part)
        else:
            self._deferred.append(part)

    def queue_again(self, part: _lanes.Part) -> None:
        job = part.job
        if job.closed or job.stages[part.stage].settled(part.piece):
            return
        if _inputs.were_dropped(job.stages, part.stage):
            self.redo_inputs(part)
        else:
            job.stages[part.stage].again(part.piece)

    def redo_inputs(self, part: _lanes.Part) -> None:
        """Run the stages again whose results were lost or freed."""
        job = part.job
        if job.closed:
            return
        stage = job.stages[part.stage]
        if not _inputs.were_made(job.stages, part.stage):
            # Another piece of the same call has told the loss already.
            stage.again(part.piece)
            return
        job.redone += 1
        if job.redone > _MOST_REDONE:
            self.setbacks.append(Setback(job, 'results_lost'))
            return
        stage.again(part.piece)
        for number in _inputs.to_redo(job.stages, part.stage):
            self._room.release(job.redo(number))

    def budget(self, service: str) -> retries.RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            batch = self._services[service].limits.batch
            limits = self._limits
            self._budgets[service] = retries.RetryBudget(
                share=limits.retry_share,
                reserve=max(limits.retry_reserve, limits.retry_calls * batch),
            )
        return self._budgets[service]
