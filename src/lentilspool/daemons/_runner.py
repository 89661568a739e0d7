"""Runs requests from admission to their final outcome."""

from typing import Any, Final

import trio

from lentilspool import config, kernel, limits, pipeline
from lentilspool.daemons import (
    _attempts,
    _directory,
    _reply,
    _request_state,
    _shared_quarantine,
    _spend,
    _stages,
    _submission,
)

_POLL_INTERVAL_S: Final = 0.02


class RequestRunner(kernel.BaseComponent):
    """Admits requests and runs their stages within the deadline."""

    def __init__(
        self,
        directory: _directory.Directory,
        attempts: _attempts.AttemptSender,
        stages: _stages.StageRunner,
        times: limits.ServiceTimes,
        quarantine: _shared_quarantine.SharedQuarantine,
        spend: _spend.SpendControl,
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._stages = stages
        self._times = times
        self._shared_quarantine = quarantine
        self._spend = spend
        self._admission_policy: limits.AdmissionPolicy = limits.AdmitAll()
        self._policies: object = None
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Number of requests that were admitted and have not ended."""
        return self._open_requests

    def apply_configuration(self, state: config.State) -> None:
        """Apply a new configuration; open requests keep their policy."""
        policies = state.document.policies
        shares = {
            name: team.share for name, team in state.document.teams.items()
        }
        if (policies, shares) == self._policies:
            return
        self._policies = (policies, shares)
        make_policy: Any = kernel.registry.find(
            kernel.PluginKind.admission_policy, policies.admission
        )
        self._admission_policy = make_policy(shares, policies.parameters)

    async def issue(
        self, submission: _submission.Submission
    ) -> str | kernel.NotRun:
        """Return an admission token for a request without running it."""
        request_state = self._make_request_state(submission)
        with trio.move_on_at(request_state.request.deadline):
            return await self._stages.issue(request_state)
        return kernel.NotRun(kernel.NotRunReason.no_endpoint, 1)

    async def run(
        self,
        submission: _submission.Submission,
        reply: _reply.Reply,
        may_wait: bool = False,
    ) -> kernel.Outcome:
        """Run a request to its final outcome.

        A request that may wait skips the admission policy and has lower
        priority in the queues.
        """
        request = submission.request
        request_state = self._make_request_state(submission)
        request_state.emit = reply.emit
        request_state.restart = reply.restart
        if may_wait:
            request_state.urgency = limits.Urgency.may_wait
            request_state.admission_policy = limits.AdmitAll()
        outcome: kernel.Outcome | None = self._admit(request_state)
        if outcome is None:
            outcome = await self._run_admitted(request_state)
        if isinstance(outcome, kernel.Complete):
            self._shared_quarantine.record_completion(request.digest)
        if request_state.ledger_decided:
            return outcome
        return submission.outcome_without_ledger(outcome)

    async def drain(self) -> None:
        """Wait until every open request has ended."""
        while self._open_requests:
            await trio.sleep(_POLL_INTERVAL_S)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'open_requests': self._open_requests,
            'open_attempts': self._attempts.table.size,
            'dropped_answers': self._attempts.table.dropped,
            'admission': self._admission_policy.dump(trio.current_time()),
            'service_times': self._times.dump(),
        }

    async def _run_admitted(
        self, request_state: _request_state.RequestState
    ) -> kernel.Outcome:
        request_id = request_state.request.request_id
        self._open_requests += 1
        try:
            return await self._run(request_state)
        finally:
            self._open_requests -= 1
            request_state.admission_policy.forget(request_id)
            self._attempts.table.close(request_id)

    def _make_request_state(
        self, submission: _submission.Submission
    ) -> _request_state.RequestState:
        return _request_state.RequestState(
            submission.request,
            pipeline.Execution(submission.request),
            self._admission_policy,
            token=submission.token,
            key=submission.key,
        )

    def _admit(
        self, request_state: _request_state.RequestState
    ) -> kernel.NotRun | None:
        request = request_state.request
        estimates = tuple(
            self._times.stage_estimate(
                stage.pool,
                request.service_time_key(stage),
                _stages.DEFAULT_SERVICE_TIME_S,
            )
            for stage in request.stages
        )
        loads = self._directory.loads(estimate.pool for estimate in estimates)
        for estimate in estimates:
            if estimate.pool not in loads or not loads[estimate.pool].slots:
                return kernel.NotRun(
                    kernel.NotRunReason.no_endpoint,
                    1,
                    f'pool {estimate.pool} has no endpoint',
                )
        refusal = self._spend.refusal(request)
        if refusal is not None:
            return refusal
        decision = request_state.admission_policy.decide(
            limits.AdmissionRequest(
                request.request_id, request.team, request.deadline, estimates
            ),
            loads,
            trio.current_time(),
        )
        return decision if isinstance(decision, kernel.NotRun) else None

    async def _run(
        self, request_state: _request_state.RequestState
    ) -> kernel.Outcome:
        execution = request_state.execution
        with trio.move_on_at(request_state.request.deadline):
            while not execution.finished:
                outcome = self._give_up_if_late(
                    request_state
                ) or await self._stages.run(request_state)
                if outcome is not None:
                    return outcome
            return execution.complete()
        return self._deadline_outcome(request_state)

    def _give_up_if_late(
        self, request_state: _request_state.RequestState
    ) -> kernel.Outcome | None:
        """Return ``Late`` if a later stage can no longer end by the deadline.

        Return None if the request should go on, or if no stage is done yet.
        """
        request = request_state.request
        execution = request_state.execution
        done = len(request.stages) - len(execution.remaining_stages)
        if not done:
            return None
        now = trio.current_time()
        request_state.admission_policy.stage_done(
            request.request_id,
            request.service_time_key(request.stages[done - 1]),
            now,
        )
        pools = {stage.pool for stage in execution.remaining_stages}
        step = request_state.admission_policy.recheck(
            request.request_id, self._directory.loads(pools), now
        )
        if isinstance(step, limits.GiveUp):
            return kernel.Late(
                execution.stage.name,
                execution.cost_by_stage,
                step.retry_after_s,
            )
        return None

    def _deadline_outcome(
        self, request_state: _request_state.RequestState
    ) -> kernel.Outcome:
        execution = request_state.execution
        if request_state.token and not execution.stage.repeatable:
            reason = kernel.UnknownReason.timeout
            return kernel.Unknown(request_state.token, reason)
        if not request_state.may_have_run:
            return kernel.NotRun(kernel.NotRunReason.deadline, 1)
        return kernel.Late(
            execution.stage.name, execution.cost_by_stage, retry_after_s=1
        )
