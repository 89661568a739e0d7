"""Runs the stages of a request, with endpoint selection and retries."""

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
    _request_state,
    _shared_quarantine,
    _unrepeatable,
)

DEFAULT_SERVICE_TIME_S: Final = 0.02
_UNKNOWN_POOL_RETRY_S: Final = 1.0


class StageRunner:
    """Runs the current stage of a request to an answer or a final outcome."""

    def __init__(
        self,
        directory: _directory.Directory,
        attempts: _attempts.AttemptSender,
        times: limits.ServiceTimes,
        unrepeatable: _unrepeatable.UnrepeatableStages,
        quarantine: _shared_quarantine.SharedQuarantine,
        zone: str,
    ) -> None:
        self._directory = directory
        self._attempts = attempts
        self._times = times
        self._unrepeatable = unrepeatable
        self._shared_quarantine = quarantine
        self._zone = zone

    async def run(
        self, request_state: _request_state.RequestState
    ) -> kernel.Outcome | None:
        """Run the current stage; return None if it is complete.

        Any other return value is the final outcome of the request.
        """
        execution = request_state.execution
        router = self._directory.router(execution.stage.pool)
        if router is None:
            return request_state.refusal_outcome(self._unknown_pool())
        if execution.stage.repeatable:
            outcome = await self._run_repeatable(request_state, router)
        else:
            outcome = await self._run_unrepeatable(request_state, router)
        if not isinstance(outcome, kernel.Complete):
            return self._final_outcome(request_state, outcome)
        for cost in outcome.cost_by_stage:
            execution.add_cost(cost.provider, cost.cost)
        stage = execution.stage.name
        if not execution.complete_stage(outcome.answer):
            reason = 'the answer is not a JSON object'
            return kernel.Failed(stage, reason, execution.cost_by_stage)
        return None

    async def issue(
        self, request_state: _request_state.RequestState
    ) -> str | kernel.NotRun:
        """Return an admission token for the request's unrepeatable stage."""
        stage = request_state.unrepeatable_stage
        if stage is None:
            return kernel.NotRun(
                kernel.NotRunReason.invalid,
                detail='every stage may be repeated: no token is needed',
            )
        router = self._directory.router(stage.pool)
        if router is None:
            return self._unknown_pool()
        decision = await self._quarantine_decision(request_state.request.digest)
        if isinstance(decision, admission.Quarantined):
            return decision.outcome
        refusal = await self._unrepeatable.obtain_token(
            request_state, router, stage.pool
        )
        return refusal or request_state.token

    async def _run_unrepeatable(
        self,
        request_state: _request_state.RequestState,
        router: pipeline.PoolRouter,
    ) -> kernel.Outcome:
        """Run a stage at most once, unless its content is quarantined.

        With a token or a key it may have run, so only the ledger can answer.
        """
        if not request_state.token and request_state.key is None:
            decision = await self._quarantine_decision(
                request_state.request.digest
            )
            if isinstance(decision, admission.Quarantined):
                return decision.outcome
        return await self._unrepeatable.run(request_state, router)

    async def _run_repeatable(
        self,
        request_state: _request_state.RequestState,
        router: pipeline.PoolRouter,
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
            outcome = await self._attempt(request_state, router, tried)
            if isinstance(outcome, kernel.Complete):
                return outcome
            next_step = self._decide_retry(
                request_state, router, number, outcome, tried
            )
            if isinstance(next_step, retries.GiveUp):
                return next_step.outcome
            await trio.sleep(next_step.delay_s)
            if request_state.text_sent and request_state.restart:
                await request_state.restart('')
                request_state.text_sent = False

    async def _attempt(
        self,
        request_state: _request_state.RequestState,
        router: pipeline.PoolRouter,
        tried: set[str],
    ) -> kernel.Outcome:
        decision = await self._quarantine_decision(request_state.request.digest)
        if isinstance(decision, admission.Quarantined):
            return decision.outcome
        alone = isinstance(decision, admission.RunAlone)
        routing_request = self._routing_request(request_state, frozenset(tried))
        prefix = request_state.prefix if router.caches_prefixes else ()
        refused_offers: tuple[routing.RefusedOffer, ...] = ()
        while True:
            now = trio.current_time()
            offer = router.offer(routing_request, refused_offers, now, prefix)
            if isinstance(offer, routing.NoEndpoint):
                return _no_endpoint_refusal(offer)
            outcome = await self._send(request_state, offer, alone)
            if alone or offer.may_queue or not _is_full(outcome):
                tried.add(offer.endpoint)
                return outcome
            wait_s = getattr(outcome, 'retry_after_s', None) or 0
            refusal = routing.RefusedOffer(offer.endpoint, wait_s)
            refused_offers = (*refused_offers, refusal)

    async def _send(
        self,
        request_state: _request_state.RequestState,
        offer: routing.Offer,
        alone: bool,
    ) -> kernel.Outcome:
        request_state.attempts_sent += 1
        plan = _attempts.AttemptPlan(
            offer.endpoint,
            request_state.attempts_sent,
            self._later_stages_s(request_state),
            may_queue=offer.may_queue or alone,
            alone=alone,
        )
        return await self._attempts.run(request_state, plan)

    async def _quarantine_decision(
        self, digest: str
    ) -> admission.QuarantineDecision:
        """Return whether a content may run freely, only alone or not at all.

        For a content suspected of crashing endpoints, the decision is made
        again after its wait, because another entry may have reported a
        second endpoint death in the meantime.
        """
        decision = self._shared_quarantine.decision_for(digest)
        if isinstance(decision, admission.RunAlone) and decision.wait_s:
            await trio.sleep(decision.wait_s)
            return self._shared_quarantine.decision_for(digest)
        return decision

    def _decide_retry(
        self,
        request_state: _request_state.RequestState,
        router: pipeline.PoolRouter,
        number: int,
        outcome: kernel.Outcome,
        tried: set[str],
    ) -> retries.NextStep:
        stage = request_state.execution.stage
        names = {candidate.name for candidate in router.candidates}
        expected = self._expected_time(
            request_state, stage, DEFAULT_SERVICE_TIME_S
        )
        return router.decide_retry(
            retries.Attempt(
                outcome=outcome,
                stage=stage.name,
                repeatable=stage.repeatable,
                number=number,
                remaining_s=request_state.remaining_s,
                expected_s=expected.low_s,
                other_endpoints=bool(names - tried),
            ),
            trio.current_time(),
        )

    def _routing_request(
        self,
        request_state: _request_state.RequestState,
        excluded: frozenset[str],
    ) -> routing.RoutingRequest:
        stage = request_state.execution.stage
        expected = self._expected_time(
            request_state, stage, DEFAULT_SERVICE_TIME_S
        )
        return routing.RoutingRequest(
            pool=stage.pool,
            zone=self._zone,
            service_s=expected.mean_s,
            slack_s=request_state.remaining_s - expected.mean_s,
            excluded=excluded,
            prompt_tokens=request_state.prompt_tokens,
        )

    def _expected_time(
        self,
        request_state: _request_state.RequestState,
        stage: config.StageDocument,
        prior_s: float,
    ) -> limits.ServiceTime:
        key = request_state.request.service_time_key(stage)
        return self._times.estimate(stage.pool, key, prior_s)

    def _later_stages_s(
        self, request_state: _request_state.RequestState
    ) -> float:
        return sum(
            self._expected_time(request_state, stage, 0).low_s
            for stage in request_state.execution.remaining_stages[1:]
        )

    def _final_outcome(
        self,
        request_state: _request_state.RequestState,
        outcome: kernel.Outcome,
    ) -> kernel.Outcome:
        match outcome:
            case kernel.NotRun():
                return request_state.refusal_outcome(outcome)
            case kernel.Failed(stage=stage, reason=reason):
                return kernel.Failed(
                    stage,
                    reason,
                    request_state.execution.cost_by_stage,
                    outcome.retry_after_s,
                )
            case _:
                return outcome

    def _unknown_pool(self) -> kernel.NotRun:
        reason = kernel.NotRunReason.no_endpoint
        return kernel.NotRun(
            reason, _UNKNOWN_POOL_RETRY_S, 'the pool is unknown'
        )


def _no_endpoint_refusal(decision: routing.NoEndpoint) -> kernel.NotRun:
    return kernel.NotRun(
        kernel.NotRunReason.no_endpoint,
        decision.retry_after_s,
        decision.reason,
    )


def _is_full(outcome: kernel.Outcome) -> bool:
    """Return whether a sidecar refused a call because it is full."""
    match outcome:
        case kernel.NotRun(reason=kernel.NotRunReason.overloaded):
            return True
        case _:
            return False
