"""State of one request while an entry runs it."""

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
class RequestState:
    """A request, its execution and the state of its admission."""

    request: pipeline.PipelineRequest
    """The request as admitted."""

    execution: pipeline.Execution
    """Progress through the stages."""

    admission_policy: limits.AdmissionPolicy
    """Admission policy that admitted it."""

    emit: dialects.Emit | None = None
    """Sends generated text to the caller; None if it does not stream."""

    restart: dialects.Emit | None = None
    """Tells the caller to discard the text sent; None without streaming."""

    token: str = ''
    """Admission token of the unrepeatable stage; empty until obtained."""

    key: admission.IdempotencyKey | None = None
    """Idempotency key that the caller sent for the unrepeatable stage."""

    ledger_decided: bool = False
    """Whether the outcome of the unrepeatable stage comes from its ledger.

    The sidecar's ledger knows whether the call ran, so the outcome is final.
    """

    may_have_run: bool = False
    """Whether any attempt of the request may have run."""

    urgency: limits.Urgency = limits.Urgency.deadline
    """Urgency class of the calls in queues."""

    attempts_sent: int = 0
    """Number of attempts sent, over all stages."""

    text_sent: bool = False
    """Whether text of the current attempt was sent to the caller."""

    @property
    def prefix(self) -> tuple[int, ...]:
        """Block hashes of the current stage's prompt, for the prefix cache."""
        return pipeline.block_hashes(self._prompt)

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of tokens of the current stage's prompt."""
        return len(self._prompt) // pipeline.CHARS_PER_TOKEN

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.request.deadline - trio.current_time()

    @property
    def unrepeatable_stage(self) -> config.StageDocument | None:
        """First unrepeatable stage of the request, if there is one."""
        for stage in self.request.stages:
            if not stage.repeatable:
                return stage
        return None

    def refusal_outcome(self, refusal: kernel.NotRun) -> kernel.Outcome:
        """Return the outcome of the request if the current stage is refused.

        It is ``NotRun`` only if no attempt of the request may have run;
        otherwise it is ``Failed`` with the cost so far.
        """
        if not self.may_have_run:
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
        """Return the message for one attempt; the link sets ``call_id``."""
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
