"""Runs requests that may wait, and retries them until they end."""

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

_MIN_RETRY_DELAY_S: Final = 0.2
_DEFAULT_WAIT_LIMIT_S: Final = 600.0

OnFinished = Callable[[admission.HeldRequest, kernel.Outcome], Awaitable[None]]


class HeldRequestRunner:
    """Runs held requests in the urgency class ``may_wait``.

    A refused request is retried after the delay that the refusal names,
    until the wait limit of its pipeline is reached.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        runner: _runner.RequestRunner,
    ) -> None:
        self._configuration = configuration
        self._runner = runner
        self._scopes: dict[str, trio.CancelScope] = {}

    def stop(self, request_id: str) -> None:
        """Stop running a request; its admission tokens stay valid."""
        scope = self._scopes.pop(request_id, None)
        if scope is not None:
            scope.cancel()

    async def run(
        self, held: admission.HeldRequest, on_finished: OnFinished
    ) -> None:
        """Run a request and pass its final outcome to ``on_finished``."""
        self.stop(held.request_id)
        with trio.CancelScope() as scope:
            self._scopes[held.request_id] = scope
            outcome = await self._run_until_final(held)
            _events.REQUEST_ENDED.log(
                LOG,
                request_id=held.request_id,
                pipeline=held.pipeline,
                team=held.team,
                outcome=type(outcome).__name__,
            )
            await on_finished(held, outcome)

    async def _run_until_final(
        self, held: admission.HeldRequest
    ) -> kernel.Outcome:
        wait_until = trio.current_time() + self._wait_limit_s(held.pipeline)
        while True:
            outcome = await self._attempt(held, wait_until)
            delay_s = _retry_delay_s(outcome)
            if delay_s is None or trio.current_time() + delay_s > wait_until:
                return outcome
            await trio.sleep(delay_s)

    async def _attempt(
        self, held: admission.HeldRequest, wait_until: float
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
            wait_until,
        )
        if isinstance(request, pipeline.Invalid):
            return kernel.Failed('', request.detail)
        token = held.tokens[0][1] if held.tokens else ''
        submission = _submission.Submission(request, token=token)
        return await self._runner.run(
            submission, _reply.NoReply(), may_wait=True
        )

    def _wait_limit_s(self, name: str) -> float:
        document = self._configuration.document
        if document is None or name not in document.pipelines:
            return _DEFAULT_WAIT_LIMIT_S
        return document.pipelines[name].wait_limit_s


def _retry_delay_s(outcome: kernel.Outcome) -> float | None:
    """Return the seconds until a retry; None if the outcome is final."""
    match outcome:
        case kernel.NotRun(reason=kernel.NotRunReason.quarantined):
            return None
        case kernel.NotRun() | kernel.Failed(retry_after_s=float()):
            return max(outcome.retry_after_s or 0, _MIN_RETRY_DELAY_S)
        case kernel.Unknown(reason=kernel.UnknownReason.earlier_send):
            return _MIN_RETRY_DELAY_S
        case _:
            return None
