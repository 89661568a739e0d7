"""Stage calls of entries, from arrival at the sidecar to their answer."""

from collections.abc import Callable
from typing import Final

import trio

from lentilspool import dialects, kernel, wire
from lentilspool.daemons import _answers, _endpoint, _identity, _once

_MS: Final = 1000
_QUIET_S: Final = 0.5
_POLL_S: Final = 0.02
_BUSY: Final = kernel.NotRun(kernel.NotRunReason.not_ready, 1)
_DRAINING: Final = kernel.NotRun(kernel.NotRunReason.draining)


class Executor(kernel.BaseComponent):
    """Takes stage calls, runs them on the endpoint and replies.

    While ``busy`` says so, calls without a token are refused, so that the
    endpoint runs empty. Calls with a token go to the ledger all the same,
    because only the ledger may say that one did not run.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        endpoint: _endpoint.Endpoint,
        once: _once.Once,
        busy: Callable[[], bool],
    ) -> None:
        self._identity = identity
        self._endpoint = endpoint
        self._once = once
        self._emptying = busy
        self._open = 0
        self._last_call = trio.current_time()

    async def drain(self) -> None:
        """Refuse new calls; wait for those in hand and for late senders.

        Calls that were on their way when the process began to leave are
        still refused as not run, until none has come for a while.
        """
        self._once.drain()
        while self._busy():
            await trio.sleep(_POLL_S)

    async def stop(self) -> None:
        """Close connections to the endpoint."""
        await self._endpoint.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'open_calls': self._open,
            'endpoint': self._endpoint.dump(),
            'ledger': self._once.dump(),
        }

    async def run(self, call: wire.StageCall, reply: _endpoint.Reply) -> None:
        """Run one call and send its answer."""
        self._last_call = trio.current_time()
        self._open += 1
        try:
            await reply(await self._answer(call, reply))
        finally:
            self._open -= 1

    async def _answer(
        self, call: wire.StageCall, reply: _endpoint.Reply
    ) -> wire.StageAnswer:
        outcome: kernel.Outcome = _DRAINING
        ran = _endpoint.Ran(_DRAINING)
        if call.token:
            outcome = await self._once.run(call)
        elif self._emptying() and not self._identity.leaving:
            outcome = _BUSY
        elif not self._identity.leaving:
            ran = await self._repeatable(call, reply)
            outcome = self._outcome(call, ran.answer)
        queued = self._endpoint.slots.queued
        return _answers.answer_of(call, outcome, ran, queued)

    def _outcome(
        self,
        call: wire.StageCall,
        answer: dialects.EndpointAnswer | kernel.NotRun,
    ) -> kernel.Outcome:
        if isinstance(answer, dialects.EndpointFailed):
            return kernel.Failed(call.stage, answer.reason)
        return _answers.outcome_of(call, answer, self._endpoint.price)

    async def _repeatable(
        self, call: wire.StageCall, reply: _endpoint.Reply
    ) -> _endpoint.Ran:
        sequence = 0

        async def emit(text: str) -> None:
            nonlocal sequence
            if call.stream:
                await reply(wire.StageChunk(call.call_id, sequence, text))
                sequence += 1

        timeout_s = max(call.deadline_ms, 1) / _MS
        return await self._endpoint.run(call, timeout_s, emit, _always)

    def _busy(self) -> bool:
        quiet_s = trio.current_time() - self._last_call
        return bool(self._open or self._once.running) or quiet_s < _QUIET_S


def _always() -> bool:
    return True
