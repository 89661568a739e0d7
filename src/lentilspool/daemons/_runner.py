"""Runs the stages of one request on endpoints."""

import logging

import trio

from lentilspool import config, dialects, kernel, pipeline, wire
from lentilspool.daemons import _configuration, _directory, _link

_LOG = logging.getLogger(__name__)


class Runner:
    """Runs requests stage by stage, with retries of repeatable stages."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        directory: _directory.Directory,
    ) -> None:
        self._configuration = configuration
        self._directory = directory

    async def run(
        self, request: pipeline.PipelineRequest, emit: dialects.Emit | None
    ) -> kernel.Outcome:
        """Run a request to its final outcome."""
        execution = pipeline.Execution(request)
        outcome: kernel.Outcome | None = None
        with trio.move_on_at(request.deadline):
            while not execution.finished and outcome is None:
                outcome = await self._run_stage(request, execution, emit)
            return outcome or execution.complete()
        return kernel.Late(execution.stage.name, execution.cost_by_stage)

    async def _run_stage(
        self,
        request: pipeline.PipelineRequest,
        execution: pipeline.Execution,
        emit: dialects.Emit | None,
    ) -> kernel.Outcome | None:
        stage = execution.stage
        excluded: set[str] = set()
        for attempt in range(1, 4):
            choices = [
                (endpoint, link)
                for endpoint, link in self._directory.usable(stage.pool)
                if endpoint.name not in excluded
            ]
            if not choices:
                break
            endpoint, link = min(choices, key=lambda pair: pair[1].open_calls)
            answer = await self._attempt(
                request, execution, (attempt, link), emit
            )
            if isinstance(answer, wire.StageAnswer):
                if answer.outcome == 'complete':
                    execution.spend(endpoint.pool, answer.cost)
                    execution.advance(answer.body)
                    return None
            excluded.add(endpoint.name)
            if not stage.repeatable:
                return kernel.Unknown('', kernel.UnknownReason.connection_lost)
        return kernel.Failed(
            stage.name, 'no endpoint answered', execution.cost_by_stage
        )

    async def _attempt(
        self,
        request: pipeline.PipelineRequest,
        execution: pipeline.Execution,
        chosen: tuple[int, _link.Link],
        emit: dialects.Emit | None,
    ) -> _link.Answer | _link.LinkLost:
        attempt, link = chosen
        stage_input = execution.stage_input()
        stage: config.StageDocument = stage_input.stage
        remaining_s = request.deadline - trio.current_time()

        def make(call_id: int) -> wire.StageCall:
            return wire.StageCall(
                call_id=call_id,
                request_id=request.request_id,
                pipeline=request.pipeline,
                stage=stage.name,
                attempt=attempt,
                config_version=request.config_version,
                digest=stage_input.digest,
                body=stage_input.body,
                repeatable=stage.repeatable,
                deadline_ms=int(remaining_s * 1000),
                team=request.team,
                stream=emit is not None,
                priority=0,
            )

        async def on_chunk(chunk: wire.StageChunk) -> None:
            if emit is not None:
                await emit(chunk.text)

        return await link.call(make, on_chunk)
