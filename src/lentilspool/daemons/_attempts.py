"""Single attempts of stages, over connections to sidecars."""

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
    _directory,
    _events,
    _flight,
    _link,
    _published,
    _spend,
    _suspects,
)
from lentilspool.daemons._log import LOG

_MS = 1000
_UNREACHABLE = (
    kernel.NotRunReason.not_ready,
    kernel.NotRunReason.no_endpoint,
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptPlan:
    """One attempt that is about to be sent."""

    endpoint: str
    """Name of the sidecar."""

    number: int
    """Number of the attempt within its stage, from one."""

    later_s: float = 0
    """Least time of all later stages, in seconds."""

    may_queue: bool = True
    """Whether the call may wait for its turn, or is refused instead."""

    alone: bool = False
    """Whether nothing else may run at the endpoint meanwhile."""


class _Pieces:
    """Streamed text on its way to a caller.

    It is kept until the caller takes it, so that a slow caller holds up
    nobody else on the connection; the length of an answer bounds it.
    """

    def __init__(self) -> None:
        self._assembler = admission.StreamAssembler()
        channel = trio.open_memory_channel[str](math.inf)
        self._send = channel[0]
        self._receive = channel[1]

    def add(self, chunk: wire.StageChunk) -> None:
        """Take a chunk; text is released in order."""
        pieces = self._assembler.add(chunk.sequence, chunk.text)
        if isinstance(pieces, admission.ReleasedText) and pieces.text:
            self._send.send_nowait(pieces.text)

    def end(self) -> None:
        """Take no more chunks."""
        self._send.close()

    async def pass_on(
        self, flight: _flight.Flight, emit: dialects.Emit
    ) -> None:
        """Pass text on until the end."""
        async for text in self._receive:
            flight.streamed = True
            await emit(text)


class Attempts:
    """Sends attempts and lets through only the answers that match them."""

    def __init__(
        self,
        directory: _directory.Directory,
        published: _published.Published,
        suspects: _suspects.Suspects,
        spend: _spend.Spend,
        times: limits.ServiceTimes,
        metrics: telemetry.Metrics,
    ) -> None:
        self._directory = directory
        self._published = published
        self._suspects = suspects
        self._spend = spend
        self._times = times
        self._metrics = metrics
        self._table = admission.AttemptTable()

    @property
    def table(self) -> admission.AttemptTable:
        """Open attempts."""
        return self._table

    async def run(
        self, flight: _flight.Flight, plan: AttemptPlan
    ) -> kernel.Outcome:
        """Send one attempt and return its outcome.

        An answer is counted and handed on only if it repeats the identity
        of the attempt; the spend of any other is counted all the same.
        """
        router = self._directory.router(flight.execution.stage.pool)
        if router is None:
            return kernel.NotRun(kernel.NotRunReason.not_ready)
        call = _call(flight, plan)
        identity = admission.Attempt(
            call.request_id, call.stage, call.attempt, call.digest
        )
        self._table.open(identity)
        router.record_start(plan.endpoint)
        started = trio.current_time()
        answer: _link.Answer | _link.LinkLost | None = None
        try:
            answer = await self._send(flight, plan.endpoint, call)
        finally:
            outcome = self._judge(flight, identity, answer)
            end = _end(plan.endpoint, outcome, trio.current_time() - started)
            given_up = answer is None and flight.remaining_s > 0
            end = dataclasses.replace(end, cancelled=given_up)
            router.record_end(end, trio.current_time())
            self._report(flight, plan, outcome)
        return outcome

    async def _send(
        self, flight: _flight.Flight, endpoint: str, call: wire.StageCall
    ) -> _link.Answer | _link.LinkLost:
        link = self._directory.link(endpoint)
        if link is None:
            return _link.LinkLost(sent=False)
        pieces = _Pieces()
        async with trio.open_nursery() as nursery:
            if flight.emit is not None:
                nursery.start_soon(pieces.pass_on, flight, flight.emit)
            answer = await link.call(
                lambda call_id: dataclasses.replace(call, call_id=call_id),
                pieces.add,
            )
            pieces.end()
        if isinstance(answer, wire.StageAnswer):
            self._directory.answered(endpoint, answer)
        return answer

    def _judge(
        self,
        flight: _flight.Flight,
        identity: admission.Attempt,
        answer: _link.Answer | _link.LinkLost | None,
    ) -> kernel.Outcome:
        if answer is None:
            self._table.fail(identity)
            timeout = kernel.UnknownReason.timeout
            return kernel.Unknown(flight.token, timeout)
        outcome = _classify.outcome_of(answer, identity.stage)
        if not isinstance(answer, wire.StageAnswer):
            self._table.fail(identity)
            return outcome
        answered = admission.Attempt(
            answer.request_id, answer.stage, answer.attempt, answer.digest
        )
        stage = flight.execution.stage
        provider = self._published.provider(stage.pool)
        self._spend.record(stage, provider, answer.cost)
        if answer.death:
            self._suspects.died(answer.death, flight.request.digest)
        if not isinstance(outcome, kernel.Complete):
            self._table.fail(answered, answer.cost)
            return outcome
        verdict = self._table.match(answered, answer.cost)
        if answered != identity or not isinstance(verdict, admission.Accept):
            _events.ANSWER_DROPPED.log(LOG, answer=answered, open=identity)
            return kernel.Unknown(
                flight.token, kernel.UnknownReason.connection_lost
            )
        key = flight.request.service_time_key(stage)
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

    def _report(
        self,
        flight: _flight.Flight,
        plan: AttemptPlan,
        outcome: kernel.Outcome,
    ) -> None:
        stage = flight.execution.stage
        refused = isinstance(outcome, kernel.NotRun)
        flight.touched = flight.touched or not refused
        kind = type(outcome).__name__
        self._metrics.attempt_ended(stage.pool, kind)
        _events.ATTEMPT_ENDED.log(
            LOG,
            request_id=flight.request.request_id,
            stage=stage.name,
            attempt=plan.number,
            endpoint=plan.endpoint,
            outcome=kind,
        )


def _call(flight: _flight.Flight, plan: AttemptPlan) -> wire.StageCall:
    call = flight.stage_call(flight.execution.stage_input(), plan.number)
    return dataclasses.replace(
        call,
        later_ms=int(plan.later_s * _MS),
        may_queue=plan.may_queue,
        alone=plan.alone,
    )


def _end(
    endpoint: str, outcome: kernel.Outcome, latency_s: float
) -> pipeline.AttemptResult:
    refused = isinstance(outcome, kernel.NotRun)
    return pipeline.AttemptResult(
        endpoint,
        latency_s,
        succeeded=isinstance(outcome, kernel.Complete),
        refused=refused,
        unreachable=getattr(outcome, 'reason', None) in _UNREACHABLE,
    )
