"""Retries of pieces, within the retry budgets of their services.

Endpoints crash, reject calls, lose answers or run out of result memory under
load. Pieces without a result are queued again, and their inputs are computed
again if they are lost. Every piece that is sent again spends the budget of
its service, whatever the reason. A request fails if its inputs are lost too
often, or while the budget does not allow to compute them again.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Final

from lentilspool import retries
from lentilspool.serving import (
    _inputs,
    _jobs,
    _plan_types,
    _result_release,
    _stage_service,
    _stage_state,
)

_MAX_INPUT_RERUNS: Final = 2
_NO_BUDGET: Final = 'retry_budget'
# Losses of planners count for as long as the platform counts repeats.
_LOSSES_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailedJob:
    """A job that cannot be completed."""

    job: _jobs.Job
    """Job to refuse."""

    reason: str
    """Reason of the refusal, for logs and metrics."""


class PieceRetries:
    """Queues pieces again; adds jobs that fail to ``failed_jobs``."""

    def __init__(
        self,
        services: dict[str, _stage_service.StageService],
        releaser: _result_release.ResultReleaser,
        limits: _plan_types.PlanLimits,
    ) -> None:
        self._services = services
        self._releaser = releaser
        self._limits = limits
        self._budgets: dict[str, retries.RetryBudget] = {}
        # Pieces to retry once the retry budget of their service allows it.
        self._deferred: list[_stage_service.CallPiece] = []
        self.failed_jobs: list[FailedJob] = []
        # Planners that were lost lately, and when that was last heard.
        self._lost = 0
        self._lost_at = 0.0

    def retry_deferred(self, now: float) -> None:
        """Queue deferred pieces as far as the retry budgets allow."""
        deferred = self._deferred
        self._deferred = []
        for call_piece in deferred:
            self.retry(call_piece, now)

    def retry(self, call_piece: _stage_service.CallPiece, now: float) -> None:
        """Queue a piece again, or defer it until the retry budget allows it."""
        stage = call_piece.job.stages[call_piece.stage]
        if call_piece.job.closed or stage.is_done_or_queued(call_piece.piece):
            return
        if self._try_spend({stage.stage_request.service: 1}, now):
            self._requeue(call_piece, now)
        else:
            self._deferred.append(call_piece)

    def retry_without_inputs(
        self, call_piece: _stage_service.CallPiece, now: float
    ) -> None:
        """Queue a piece whose inputs are lost, and make them again.

        A job whose inputs are lost too often is added to ``failed_jobs``, as
        one for which the retry budget does not suffice.
        """
        job = call_piece.job
        if job.closed:
            return
        stage = job.stages[call_piece.stage]
        if not self._try_spend({stage.stage_request.service: 1}, now):
            self.failed_jobs.append(FailedJob(job, _NO_BUDGET))
        elif _inputs.were_made(job.stages, call_piece.stage):
            self._rerun_inputs(call_piece, now)
        else:
            # Another piece of the same call has reported the loss already.
            stage.enqueue(call_piece.piece)

    def admits(self, job: _jobs.Job, now: float) -> bool:
        """Whether a job may run; spends retries if its pieces ran before."""
        self._note_losses(job.plan_request.planners_lost, now)
        if not job.plan_request.repeated:
            return True
        return self._try_spend(_count_pieces(job.stages), now)

    def budget(self, service: str) -> retries.RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = retries.RetryBudget(
                retries_per_success=self._limits.retry_share,
                reserve=self._reserve(service),
            )
        return self._budgets[service]

    def _note_losses(self, planners_lost: int, now: float) -> None:
        if planners_lost >= self._lost or now - self._lost_at > _LOSSES_S:
            self._lost = planners_lost
            self._lost_at = now

    def _reserve(self, service: str) -> float:
        batch = self._services[service].limits.batch
        limits = self._limits
        return max(limits.retry_reserve, limits.retry_calls * batch)

    def _try_spend(self, pieces: Mapping[str, int], now: float) -> bool:
        """Spend retries by service; spend none if there are too few.

        Each planner that follows a lost one begins with a full reserve. With
        each that was lost lately after the first, it uses half as much of it,
        so that all together use the reserves of three at most.
        """
        kept_share = 1 - math.pow(2, 1 - max(self._lost, 1))
        for service, count in pieces.items():
            kept = self._reserve(service) * kept_share
            if not self.budget(service).allows(count + kept, now):
                return False
        for name, spent in pieces.items():
            self.budget(name).try_spend(now, spent)
        return True

    def _requeue(
        self, call_piece: _stage_service.CallPiece, now: float
    ) -> None:
        """Queue a piece again, with the stages whose results were freed."""
        job = call_piece.job
        if _inputs.were_dropped(
            job.stages, call_piece.stage
        ) and _inputs.were_made(job.stages, call_piece.stage):
            self._rerun_inputs(call_piece, now)
        else:
            job.stages[call_piece.stage].enqueue(call_piece.piece)

    def _rerun_inputs(
        self, call_piece: _stage_service.CallPiece, now: float
    ) -> None:
        job = call_piece.job
        job.input_reruns += 1
        if job.input_reruns > _MAX_INPUT_RERUNS:
            self.failed_jobs.append(FailedJob(job, 'results_lost'))
            return
        numbers = set(_inputs.stages_to_rerun(job.stages, call_piece.stage))
        pieces = _count_pieces(job.stages[one] for one in numbers)
        if not self._try_spend(pieces, now):
            self.failed_jobs.append(FailedJob(job, _NO_BUDGET))
            return
        job.stages[call_piece.stage].enqueue(call_piece.piece)
        for number in numbers:
            self._releaser.release(job.rerun_stage(number))


def _count_pieces(
    stages: Iterable[_stage_state.StageState],
) -> collections.Counter[str]:
    """Return the number of pieces of stages by service."""
    pieces: collections.Counter[str] = collections.Counter()
    for stage in stages:
        request = stage.stage_request
        pieces[request.service] += request.pieces
    return +pieces
