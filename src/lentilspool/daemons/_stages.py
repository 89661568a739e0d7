"""Stages of a request: choice of endpoints, retries, at-most-once runs."""

from typing import Final

import trio

from lentilspool import (
    admission,
    config,
    kernel,
    limits,
    pipeline,
    retries,
    routing,
)
from lentilspool.daemons import (
    _attempts,
    _directory,
    _flight,
    _suspects,
    _unrepeatable,
)

PRIOR_S: Final = 0.02
_NO_POOL_RETRY_S: Final = 1.0


class Stages:
    """Runs the current stage of a request to an answer or a final outcome."""

    def __init__(
        self,
        directory: _directory.Directory,
        attempts: _attempts.Attempts,
        times: limits.ServiceTimes,
        unrepeatable: _unrepeatable.Unrepeatable,
        suspects: _suspects.Suspects,
        zone: str,
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._times = times
        self._unrepeatable = unrepeatable
        self._suspects = suspects
        self._zone = zone

    async def run(self, flight: _flight.Flight) -> kernel.Outcome | None:
        """Run the current stage; return None once its answer is taken."""
        execution = flight.execution
        router = self._directory.router(execution.stage.pool)
        if router is None:
            return flight.refused(self._no_pool())
        if execution.stage.repeatable:
            outcome = await self._repeatable(flight, router)
        else:
            outcome = await self._unrepeatable.run(flight, router)
        if not isinstance(outcome, kernel.Complete):
            return self._final(flight, outcome)
        for cost in outcome.cost_by_stage:
            execution.add_cost(cost.provider, cost.cost)
        stage = execution.stage.name
        if not execution.complete_stage(outcome.answer):
            reason = 'the answer is no JSON object'
            return kernel.Failed(stage, reason, execution.cost_by_stage)
        return None

    async def issue(self, flight: _flight.Flight) -> str | kernel.NotRun:
        """Return a token for the unrepeatable stage of a request."""
        stage = flight.unrepeatable_stage
        if stage is None:
            return kernel.NotRun(
                kernel.NotRunReason.invalid,
                detail='every stage may be repeated: no token is needed',
            )
        router = self._directory.router(stage.pool)
        if router is None:
            return self._no_pool()
        refusal = await self._unrepeatable.obtain(flight, router, stage.pool)
        return refusal or flight.token

    async def _repeatable(
        self, flight: _flight.Flight, router: pipeline.PoolRouter
    ) -> kernel.Outcome:
        tried: set[str] = set()
        number = 0
        admitted = router.admit(trio.current_time())
        if isinstance(admitted, retries.Refused):
            return kernel.NotRun(
                kernel.NotRunReason.overloaded, admitted.retry_after_s
            )
        while True:
            number += 1
            outcome = await self._attempt(flight, router, tried)
            if isinstance(outcome, kernel.Complete):
                return outcome
            step = self._after(flight, router, number, outcome, tried)
            if isinstance(step, retries.GiveUp):
                return step.outcome
            await trio.sleep(step.delay_s)
            if flight.streamed and flight.restart:
                await flight.restart('')
                flight.streamed = False

    async def _attempt(
        self,
        flight: _flight.Flight,
        router: pipeline.PoolRouter,
        tried: set[str],
    ) -> kernel.Outcome:
        judgement = await self._judge(flight.request.digest)
        if isinstance(judgement, admission.Quarantined):
            return judgement.outcome
        alone = isinstance(judgement, admission.RunAlone)
        wanted = self._wanted(flight, frozenset(tried))
        prefix = flight.prefix if router.caches_prefixes else ()
        full: tuple[routing.RefusedOffer, ...] = ()
        while True:
            now = trio.current_time()
            offer = router.offer(wanted, full, now, prefix)
            if isinstance(offer, routing.NoEndpoint):
                return _no_endpoint(offer)
            outcome = await self._send(flight, offer, alone)
            if alone or offer.may_queue or not _is_full(outcome):
                tried.add(offer.endpoint)
                return outcome
            wait_s = getattr(outcome, 'retry_after_s', None) or 0
            refusal = routing.RefusedOffer(offer.endpoint, wait_s)
            full = (*full, refusal)

    async def _send(
        self, flight: _flight.Flight, offer: routing.Offer, alone: bool
    ) -> kernel.Outcome:
        flight.sends += 1
        plan = _attempts.AttemptPlan(
            offer.endpoint,
            flight.sends,
            self._later_s(flight),
            may_queue=offer.may_queue or alone,
            alone=alone,
        )
        return await self._attempts.run(flight, plan)

    async def _judge(self, digest: str) -> admission.QuarantineDecision:
        """Judge a content; a suspect is judged again after its wait.

        In the meantime another entry may have reported a second death.
        """
        judgement = self._suspects.judge(digest)
        if isinstance(judgement, admission.RunAlone) and judgement.wait_s:
            await trio.sleep(judgement.wait_s)
            return self._suspects.judge(digest)
        return judgement

    def _after(
        self,
        flight: _flight.Flight,
        router: pipeline.PoolRouter,
        number: int,
        outcome: kernel.Outcome,
        tried: set[str],
    ) -> retries.NextStep:
        stage = flight.execution.stage
        names = {candidate.name for candidate in router.candidates}
        expected = self._expected(flight, stage, PRIOR_S)
        return router.decide_retry(
            retries.Attempt(
                outcome=outcome,
                stage=stage.name,
                repeatable=stage.repeatable,
                number=number,
                remaining_s=flight.remaining_s,
                expected_s=expected.low_s,
                other_endpoints=bool(names - tried),
            ),
            trio.current_time(),
        )

    def _wanted(
        self, flight: _flight.Flight, excluded: frozenset[str]
    ) -> routing.RoutingRequest:
        stage = flight.execution.stage
        expected = self._expected(flight, stage, PRIOR_S)
        return routing.RoutingRequest(
            pool=stage.pool,
            zone=self._zone,
            service_s=expected.mean_s,
            slack_s=flight.remaining_s - expected.mean_s,
            excluded=excluded,
            prompt_tokens=flight.prompt_tokens,
        )

    def _expected(
        self,
        flight: _flight.Flight,
        stage: config.StageDocument,
        prior_s: float,
    ) -> limits.ServiceTime:
        key = flight.request.service_time_key(stage)
        return self._times.estimate(stage.pool, key, prior_s)

    def _later_s(self, flight: _flight.Flight) -> float:
        return sum(
            self._expected(flight, stage, 0).low_s
            for stage in flight.execution.remaining_stages[1:]
        )

    def _final(
        self, flight: _flight.Flight, outcome: kernel.Outcome
    ) -> kernel.Outcome:
        match outcome:
            case kernel.NotRun():
                return flight.refused(outcome)
            case kernel.Failed(stage=stage, reason=reason):
                return kernel.Failed(
                    stage,
                    reason,
                    flight.execution.cost_by_stage,
                    outcome.retry_after_s,
                )
            case _:
                return outcome

    def _no_pool(self) -> kernel.NotRun:
        reason = kernel.NotRunReason.no_endpoint
        return kernel.NotRun(reason, _NO_POOL_RETRY_S, 'the pool is unknown')


def _no_endpoint(decision: routing.NoEndpoint) -> kernel.NotRun:
    return kernel.NotRun(
        kernel.NotRunReason.no_endpoint,
        decision.retry_after_s,
        decision.reason,
    )


def _is_full(outcome: kernel.Outcome) -> bool:
    """Tell whether a sidecar refused a call that may not wait."""
    match outcome:
        case kernel.NotRun(reason=kernel.NotRunReason.overloaded):
            return True
        case _:
            return False
