"""Requests from admission to their final outcome."""

from typing import Any, Final

import trio

from lentilspool import config, kernel, limits, pipeline
from lentilspool.daemons import (
    _attempts,
    _directory,
    _flight,
    _reply,
    _spend,
    _stages,
    _submission,
    _suspects,
)

_POLL_S: Final = 0.02


class Runner(kernel.BaseComponent):
    """Admits requests and runs their stages within the deadline."""

    def __init__(
        self,
        directory: _directory.Directory,
        attempts: _attempts.Attempts,
        stages: _stages.Stages,
        times: limits.ServiceTimes,
        suspects: _suspects.Suspects,
        spend: _spend.Spend,
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._stages = stages
        self._times = times
        self._suspects = suspects
        self._spend = spend
        self._control: limits.AdmissionPolicy = limits.AdmitAll()
        self._policies: object = None
        self._open = 0

    @property
    def open_requests(self) -> int:
        """Requests in hand."""
        return self._open

    def adopt(self, state: config.State) -> None:
        """Take a new configuration; open requests keep their policy."""
        policies = state.document.policies
        shares = {
            name: team.share for name, team in state.document.teams.items()
        }
        if (policies, shares) == self._policies:
            return
        self._policies = (policies, shares)
        make: Any = kernel.registry.find(
            kernel.PluginKind.admission_policy, policies.admission
        )
        self._control = make(shares, policies.parameters)

    async def issue(
        self, submission: _submission.Submission
    ) -> str | kernel.NotRun:
        """Return an admission token for a request; nothing of it runs."""
        flight = self._make_flight(submission)
        with trio.move_on_at(flight.request.deadline):
            return await self._stages.issue(flight)
        return kernel.NotRun(kernel.NotRunReason.no_endpoint, 1)

    async def run(
        self,
        submission: _submission.Submission,
        reply: _reply.Reply,
        may_wait: bool = False,
    ) -> kernel.Outcome:
        """Run a request to its final outcome.

        One that may wait passes admission control by, and yields to others
        in the queues.
        """
        request = submission.request
        flight = self._make_flight(submission)
        flight.emit = reply.emit
        flight.restart = reply.restart
        if may_wait:
            flight.urgency = limits.Urgency.may_wait
            flight.control = limits.AdmitAll()
        outcome: kernel.Outcome | None = self._admit(flight)
        if outcome is None:
            outcome = await self._run_admitted(flight)
        if isinstance(outcome, kernel.Complete):
            self._suspects.completed(request.digest)
        if flight.settled:
            return outcome
        return submission.given_up(outcome)

    async def drain(self) -> None:
        """Wait until every request in hand has its outcome."""
        while self._open:
            await trio.sleep(_POLL_S)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'open_requests': self._open,
            'open_attempts': self._attempts.table.size,
            'dropped_answers': self._attempts.table.dropped,
            'admission': self._control.dump(trio.current_time()),
            'service_times': self._times.dump(),
        }

    async def _run_admitted(self, flight: _flight.Flight) -> kernel.Outcome:
        request_id = flight.request.request_id
        self._open += 1
        try:
            return await self._run(flight)
        finally:
            self._open -= 1
            flight.control.forget(request_id)
            self._attempts.table.close(request_id)

    def _make_flight(
        self, submission: _submission.Submission
    ) -> _flight.Flight:
        return _flight.Flight(
            submission.request,
            pipeline.Execution(submission.request),
            self._control,
            token=submission.token,
            key=submission.key,
        )

    def _admit(self, flight: _flight.Flight) -> kernel.NotRun | None:
        request = flight.request
        needs = tuple(
            self._times.stage_estimate(
                stage.pool, request.service_time_key(stage), _stages.PRIOR_S
            )
            for stage in request.stages
        )
        loads = self._directory.loads(need.pool for need in needs)
        for need in needs:
            if need.pool not in loads or not loads[need.pool].slots:
                return kernel.NotRun(
                    kernel.NotRunReason.no_endpoint,
                    1,
                    f'pool {need.pool} has no endpoint',
                )
        refusal = self._spend.refusal(request)
        if refusal is not None:
            return refusal
        decision = flight.control.decide(
            limits.AdmissionRequest(
                request.request_id, request.team, request.deadline, needs
            ),
            loads,
            trio.current_time(),
        )
        return decision if isinstance(decision, kernel.NotRun) else None

    async def _run(self, flight: _flight.Flight) -> kernel.Outcome:
        execution = flight.execution
        with trio.move_on_at(flight.request.deadline):
            while not execution.finished:
                outcome = self._recheck(flight) or await self._stages.run(
                    flight
                )
                if outcome is not None:
                    return outcome
            return execution.complete()
        return self._late(flight)

    def _recheck(self, flight: _flight.Flight) -> kernel.Outcome | None:
        """Give up before a later stage that cannot end on time."""
        request = flight.request
        execution = flight.execution
        done = len(request.stages) - len(execution.remaining_stages)
        if not done:
            return None
        now = trio.current_time()
        flight.control.stage_done(
            request.request_id,
            request.service_time_key(request.stages[done - 1]),
            now,
        )
        pools = {stage.pool for stage in execution.remaining_stages}
        step = flight.control.recheck(
            request.request_id, self._directory.loads(pools), now
        )
        if isinstance(step, limits.GiveUp):
            return kernel.Late(
                execution.stage.name,
                execution.cost_by_stage,
                step.retry_after_s,
            )
        return None

    def _late(self, flight: _flight.Flight) -> kernel.Outcome:
        execution = flight.execution
        if flight.token and not execution.stage.repeatable:
            reason = kernel.UnknownReason.timeout
            return kernel.Unknown(flight.token, reason)
        if not flight.touched:
            return kernel.NotRun(kernel.NotRunReason.deadline, 1)
        return kernel.Late(
            execution.stage.name, execution.cost_by_stage, retry_after_s=1
        )
