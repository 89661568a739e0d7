"""Runs of requests that may wait, tried until they end."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import admission, kernel, pipeline
from lentilspool.daemons import (
    _configuration,
    _events,
    _reply,
    _runner,
    _submission,
)
from lentilspool.daemons._log import LOG

_LEAST_PAUSE_S: Final = 0.2
_DEFAULT_LIMIT_S: Final = 600.0

Finish = Callable[[admission.HeldRequest, kernel.Outcome], Awaitable[None]]


class WaitingRuns:
    """Runs held requests in the class that may wait.

    A refusal is no end: the request is tried again after the time that the
    refusal names, until its pipeline's wait limit.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        runner: _runner.Runner,
    ) -> None:
        self._configuration = configuration
        self._runner = runner
        self._scopes: dict[str, trio.CancelScope] = {}

    def stop(self, request_id: str) -> None:
        """Stop working on a request; its tokens stay as they are."""
        scope = self._scopes.pop(request_id, None)
        if scope is not None:
            scope.cancel()

    async def run(self, held: admission.HeldRequest, finish: Finish) -> None:
        """Run a request to its final outcome and hand that to ``finish``."""
        self.stop(held.request_id)
        with trio.CancelScope() as scope:
            self._scopes[held.request_id] = scope
            outcome = await self._outcome(held)
            _events.REQUEST_ENDED.log(
                LOG,
                request_id=held.request_id,
                pipeline=held.pipeline,
                team=held.team,
                outcome=type(outcome).__name__,
            )
            await finish(held, outcome)

    async def _outcome(self, held: admission.HeldRequest) -> kernel.Outcome:
        limit = trio.current_time() + self._limit_s(held.pipeline)
        while True:
            outcome = await self._attempt(held, limit)
            pause_s = _pause_s(outcome)
            if pause_s is None or trio.current_time() + pause_s > limit:
                return outcome
            await trio.sleep(pause_s)

    async def _attempt(
        self, held: admission.HeldRequest, limit: float
    ) -> kernel.Outcome:
        document = self._configuration.document
        if document is None:
            return kernel.NotRun(kernel.NotRunReason.not_ready, 1)
        request = pipeline.check_request(
            held.body,
            pipeline.PipelineRequest(
                request_id=held.request_id,
                pipeline=held.pipeline,
                stages=(),
                team=held.team,
                fields={},
                deadline=0,
                may_wait=True,
                config_version=self._configuration.version,
            ),
            document,
            limit,
        )
        if isinstance(request, pipeline.Invalid):
            return kernel.Failed('', request.detail)
        token = held.tokens[0][1] if held.tokens else ''
        submission = _submission.Submission(request, token=token)
        return await self._runner.run(
            submission, _reply.Silent(), may_wait=True
        )

    def _limit_s(self, name: str) -> float:
        document = self._configuration.document
        if document is None or name not in document.pipelines:
            return _DEFAULT_LIMIT_S
        return document.pipelines[name].wait_limit_s


def _pause_s(outcome: kernel.Outcome) -> float | None:
    """Return the seconds until a new try; none if the outcome is final."""
    match outcome:
        case kernel.NotRun(reason=kernel.NotRunReason.quarantined):
            return None
        case kernel.NotRun() | kernel.Failed(retry_after_s=float()):
            return max(outcome.retry_after_s or 0, _LEAST_PAUSE_S)
        case kernel.Unknown(reason=kernel.UnknownReason.earlier_send):
            return _LEAST_PAUSE_S
        case _:
            return None
