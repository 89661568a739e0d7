"""One request while an entry works on it."""

import dataclasses

import trio

from lentilspool import (
    admission,
    config,
    dialects,
    kernel,
    limits,
    pipeline,
    wire,
)

_MS = 1000


@dataclasses.dataclass(slots=True)
class Flight:
    """A request, its execution and what is known of its admission."""

    request: pipeline.PipelineRequest
    """The request as admitted."""

    execution: pipeline.Execution
    """Its way through the stages."""

    control: limits.AdmissionPolicy
    """Admission policy that admitted it."""

    emit: dialects.Emit | None = None
    """Takes text as it is generated, if the caller wants it."""

    restart: dialects.Emit | None = None
    """Tells the caller that streamed text begins anew."""

    token: str = ''
    """Admission token of the unrepeatable stage; empty before it is had."""

    key: admission.IdempotencyKey | None = None
    """Key of the caller for the unrepeatable stage, if it sent one."""

    settled: bool = False
    """Whether the ledger of the unrepeatable stage has spoken."""

    touched: bool = False
    """Whether any attempt may have run."""

    urgency: limits.Urgency = limits.Urgency.deadline
    """Class of its calls in queues."""

    sends: int = 0
    """Attempts that were sent, of all stages."""

    streamed: bool = False
    """Whether text of the current attempt was passed on."""

    @property
    def prefix(self) -> tuple[int, ...]:
        """Hashes of the blocks of the current stage's prompt."""
        return pipeline.block_hashes(self._prompt)

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the current stage's prompt."""
        return len(self._prompt) // pipeline.CHARS_PER_TOKEN

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.request.deadline - trio.current_time()

    @property
    def unrepeatable_stage(self) -> config.StageDocument | None:
        """First stage that may not be repeated, if there is one."""
        for stage in self.request.stages:
            if not stage.repeatable:
                return stage
        return None

    def refused(self, refusal: kernel.NotRun) -> kernel.Outcome:
        """Return the outcome of a refusal at the current stage.

        It is ``NotRun`` only if nothing of the request has run before.
        """
        if not self.touched:
            return refusal
        return kernel.Failed(
            self.execution.stage.name,
            f'{refusal.reason.value}: {refusal.detail}',
            self.execution.cost_by_stage,
            refusal.retry_after_s,
        )

    def stage_call(
        self, stage_input: pipeline.StageInput, attempt: int
    ) -> wire.StageCall:
        """Return the message for one attempt; the link sets its number."""
        stage = stage_input.stage
        may_wait = self.urgency is limits.Urgency.may_wait
        return wire.StageCall(
            call_id=0,
            request_id=self.request.request_id,
            pipeline=self.request.pipeline,
            stage=stage.name,
            attempt=attempt,
            config_version=self.request.config_version,
            digest=stage_input.digest,
            body=stage_input.body,
            repeatable=stage.repeatable,
            deadline_ms=max(0, int(self.remaining_s * _MS)),
            team=self.request.team,
            stream=self.emit is not None,
            priority=1 if may_wait else 0,
            operation=stage.operation or stage.name,
            max_output_tokens=stage.max_output_tokens,
            later_ms=0,
            may_queue=True,
            alone=False,
            token=self.token or None,
            traceparent=self.request.traceparent or None,
        )

    @property
    def _prompt(self) -> str:
        stage = self.execution.stage
        operation = stage.operation or stage.name
        return pipeline.build_prompt(self.execution.fields, operation)
