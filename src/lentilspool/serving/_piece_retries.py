"""Retries of pieces, within the retry budgets of their services.

Endpoints crash, lose answers or run out of result memory under load. Pieces
without a result are queued again, and their inputs are computed again if
they are lost. A request only fails if its inputs are lost too often.
"""

import dataclasses
from typing import Final

from lentilspool import retries
from lentilspool.serving import (
    _inputs,
    _jobs,
    _plan_types,
    _result_release,
    _stage_service,
)

_MAX_INPUT_RERUNS: Final = 2


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
        if self.budget(stage.stage_request.service).try_spend(now):
            self.requeue(call_piece)
        else:
            self._deferred.append(call_piece)

    def requeue(self, call_piece: _stage_service.CallPiece) -> None:
        """Queue a piece again, with the stages whose results were freed."""
        job = call_piece.job
        if job.closed or job.stages[call_piece.stage].is_done_or_queued(
            call_piece.piece
        ):
            return
        if _inputs.were_dropped(job.stages, call_piece.stage):
            self.rerun_inputs(call_piece)
        else:
            job.stages[call_piece.stage].enqueue(call_piece.piece)

    def rerun_inputs(self, call_piece: _stage_service.CallPiece) -> None:
        """Queue a piece and the stages that made its inputs again.

        A job whose inputs are lost too often is added to ``failed_jobs``.
        """
        job = call_piece.job
        if job.closed:
            return
        stage = job.stages[call_piece.stage]
        if not _inputs.were_made(job.stages, call_piece.stage):
            # Another piece of the same call has reported the loss already.
            stage.enqueue(call_piece.piece)
            return
        job.input_reruns += 1
        if job.input_reruns > _MAX_INPUT_RERUNS:
            self.failed_jobs.append(FailedJob(job, 'results_lost'))
            return
        stage.enqueue(call_piece.piece)
        for number in _inputs.stages_to_rerun(job.stages, call_piece.stage):
            self._releaser.release(job.rerun_stage(number))

    def budget(self, service: str) -> retries.RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            batch = self._services[service].limits.batch
            limits = self._limits
            self._budgets[service] = retries.RetryBudget(
                retries_per_success=limits.retry_share,
                reserve=max(limits.retry_reserve, limits.retry_calls * batch),
            )
        return self._budgets[service]
