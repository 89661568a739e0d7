"""Attempts to run a stage, sent over connections to sidecars."""

import dataclasses
import math

import trio

from lentilspool import (
    admission,
    dialects,
    kernel,
    limits,
    pipeline,
    telemetry,
    wire,
)
from lentilspool.daemons import (
    _classify,
    _configuration_lookup,
    _directory,
    _events,
    _link,
    _request_state,
    _shared_quarantine,
    _spend,
)
from lentilspool.daemons._log import LOG

_MS = 1000
_UNREACHABLE_REASONS = (
    kernel.NotRunReason.not_ready,
    kernel.NotRunReason.no_endpoint,
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Parameters of one attempt that is about to be sent."""

    endpoint: str
    """Name of the sidecar that serves the endpoint."""

    number: int
    """Number of the attempt within its request, from one."""

    later_stages_s: float = 0
    """Minimum expected time of all later stages, in seconds."""

    may_queue: bool = True
    """Whether the call may queue; otherwise a full endpoint refuses it."""

    alone: bool = False
    """Whether the call must run with no other call at the endpoint."""


class _TextForwarder:
    """Buffers streamed text of one attempt and forwards it to the caller.

    The buffer is unbounded, so that a slow caller does not block other calls
    on the same connection. Its size cannot exceed the length of one answer.
    """

    def __init__(self) -> None:
        self._assembler = admission.StreamAssembler()
        channel = trio.open_memory_channel[str](math.inf)
        self._send = channel[0]
        self._receive = channel[1]

    def add(self, chunk: wire.StageChunk) -> None:
        """Add a chunk and queue the text that is now complete in order."""
        released = self._assembler.add(chunk.sequence, chunk.text)
        if isinstance(released, admission.ReleasedText) and released.text:
            self._send.send_nowait(released.text)

    def finish(self) -> None:
        """Close the buffer; no chunk may be added after this."""
        self._send.close()

    async def forward(
        self, request_state: _request_state.RequestState, emit: dialects.Emit
    ) -> None:
        """Send buffered text to the caller until ``finish`` is called."""
        async for text in self._receive:
            request_state.text_sent = True
            await emit(text)


class AttemptSender:
    """Sends attempts and accepts only the answers that match them."""

    def __init__(
        self,
        directory: _directory.Directory,
        lookup: _configuration_lookup.ConfigurationLookup,
        quarantine: _shared_quarantine.SharedQuarantine,
        spend: _spend.SpendControl,
        times: limits.ServiceTimes,
        metrics: telemetry.Metrics,
    ) -> None:
        self._directory = directory
        self._configuration_lookup = lookup
        self._shared_quarantine = quarantine
        self._spend = spend
        self._times = times
        self._metrics = metrics
        self._table = admission.AttemptTable()

    @property
    def table(self) -> admission.AttemptTable:
        """Attempts that have been sent and not answered."""
        return self._table

    async def run(
        self, request_state: _request_state.RequestState, plan: AttemptPlan
    ) -> kernel.Outcome:
        """Send one attempt and return its outcome.

        An answer is accepted and returned only if it repeats the identity of
        the attempt. The spend of an answer that does not match is recorded
        too.
        """
        router = self._directory.router(request_state.execution.stage.pool)
        if router is None:
            return kernel.NotRun(kernel.NotRunReason.not_ready)
        call = _call(request_state, plan)
        identity = admission.Attempt(
            call.request_id, call.stage, call.attempt, call.digest
        )
        self._table.open(identity)
        router.record_start(plan.endpoint)
        started = trio.current_time()
        answer: _link.Answer | _link.LinkLost | None = None
        try:
            answer = await self._send(request_state, plan.endpoint, call)
        finally:
            outcome = self._match_answer(request_state, identity, answer)
            attempt_result = _attempt_result(
                plan.endpoint, outcome, trio.current_time() - started
            )
            was_cancelled = answer is None and request_state.remaining_s > 0
            attempt_result = dataclasses.replace(
                attempt_result, cancelled=was_cancelled
            )
            router.record_end(attempt_result, trio.current_time())
            self._record_outcome(request_state, plan, outcome)
        return outcome

    async def _send(
        self,
        request_state: _request_state.RequestState,
        endpoint: str,
        call: wire.StageCall,
    ) -> _link.Answer | _link.LinkLost:
        link = self._directory.link(endpoint)
        if link is None:
            return _link.LinkLost(sent=False)
        forwarder = _TextForwarder()
        async with trio.open_nursery() as nursery:
            if request_state.emit is not None:
                nursery.start_soon(
                    forwarder.forward, request_state, request_state.emit
                )
            answer = await link.call(
                lambda call_id: dataclasses.replace(call, call_id=call_id),
                forwarder.add,
            )
            forwarder.finish()
        if isinstance(answer, wire.StageAnswer):
            self._directory.on_answer(endpoint, answer)
        return answer

    def _match_answer(
        self,
        request_state: _request_state.RequestState,
        identity: admission.Attempt,
        answer: _link.Answer | _link.LinkLost | None,
    ) -> kernel.Outcome:
        if answer is None:
            self._table.fail(identity)
            timeout = kernel.UnknownReason.timeout
            return kernel.Unknown(request_state.token, timeout)
        outcome = _classify.outcome_of(answer, identity.stage)
        if not isinstance(answer, wire.StageAnswer):
            self._table.fail(identity)
            return outcome
        answered = admission.Attempt(
            answer.request_id, answer.stage, answer.attempt, answer.digest
        )
        stage = request_state.execution.stage
        provider = self._configuration_lookup.provider(stage.pool)
        self._spend.record(stage, provider, answer.cost)
        if answer.death:
            self._shared_quarantine.record_death(
                answer.death, request_state.request.digest
            )
        if not isinstance(outcome, kernel.Complete):
            self._table.fail(answered, answer.cost)
            return outcome
        decision = self._table.match(answered, answer.cost)
        if answered != identity or not isinstance(decision, admission.Accept):
            _events.ANSWER_DROPPED.log(LOG, answer=answered, open=identity)
            return kernel.Unknown(
                request_state.token, kernel.UnknownReason.connection_lost
            )
        key = request_state.request.service_time_key(stage)
        self._times.observe(stage.pool, key, answer.service_ms / _MS)
        return dataclasses.replace(
            outcome,
            cost_by_stage=(
                kernel.StageCost(
                    answer.stage,
                    provider,
                    answer.cost,
                    1,
                ),
            ),
        )

    def _record_outcome(
        self,
        request_state: _request_state.RequestState,
        plan: AttemptPlan,
        outcome: kernel.Outcome,
    ) -> None:
        stage = request_state.execution.stage
        refused = isinstance(outcome, kernel.NotRun)
        request_state.may_have_run = request_state.may_have_run or not refused
        kind = type(outcome).__name__
        self._metrics.record_attempt(stage.pool, kind)
        _events.ATTEMPT_ENDED.log(
            LOG,
            request_id=request_state.request.request_id,
            stage=stage.name,
            attempt=plan.number,
            endpoint=plan.endpoint,
            outcome=kind,
        )


def _call(
    request_state: _request_state.RequestState, plan: AttemptPlan
) -> wire.StageCall:
    call = request_state.stage_call(
        request_state.execution.stage_input(), plan.number
    )
    return dataclasses.replace(
        call,
        later_ms=int(plan.later_stages_s * _MS),
        may_queue=plan.may_queue,
        alone=plan.alone,
    )


def _attempt_result(
    endpoint: str, outcome: kernel.Outcome, latency_s: float
) -> pipeline.AttemptResult:
    refused = isinstance(outcome, kernel.NotRun)
    return pipeline.AttemptResult(
        endpoint,
        latency_s,
        succeeded=isinstance(outcome, kernel.Complete),
        refused=refused,
        unreachable=getattr(outcome, 'reason', None) in _UNREACHABLE_REASONS,
    )
