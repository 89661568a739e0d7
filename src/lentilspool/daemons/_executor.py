"""Execution of stage calls at a sidecar, from arrival to answer."""

from collections.abc import Callable
from typing import Final

import trio

from lentilspool import dialects, kernel, wire
from lentilspool.daemons import _answers, _endpoint, _identity, _once

_MS_PER_S: Final = 1000
_DRAIN_QUIET_S: Final = 0.5
_DRAIN_POLL_S: Final = 0.02
_ORDER_BUSY: Final = kernel.NotRun(kernel.NotRunReason.not_ready, 1)
_DRAINING: Final = kernel.NotRun(kernel.NotRunReason.draining)


class Executor(kernel.BaseComponent):
    """Runs stage calls on the endpoint and sends the answers.

    While ``busy`` returns True, calls without a token are refused, so that
    the endpoint becomes idle. Calls with a token still go to the ledger,
    because only the ledger can state that such a call did not run.
    """

    def __init__(
        self,
        identity: _identity.Identity,
        endpoint: _endpoint.Endpoint,
        at_most_once: _once.AtMostOnceRunner,
        busy: Callable[[], bool],
    ) -> None:
        self._identity = identity
        self._endpoint = endpoint
        self._at_most_once = at_most_once
        self._order_busy = busy
        self._open_calls = 0
        self._last_call_at = trio.current_time()

    async def drain(self) -> None:
        """Refuse new calls and wait until those in flight have ended.

        Calls that were sent before their sender knew of the drain are still
        answered with a refusal. The drain ends when no call has arrived for
        ``_DRAIN_QUIET_S``.
        """
        self._at_most_once.drain()
        while self._has_work():
            await trio.sleep(_DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close connections to the endpoint."""
        await self._endpoint.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'open_calls': self._open_calls,
            'endpoint': self._endpoint.dump(),
            'ledger': self._at_most_once.dump(),
        }

    async def run(
        self, call: wire.StageCall, send: _endpoint.SendMessage
    ) -> None:
        """Run one call and send its answer."""
        self._last_call_at = trio.current_time()
        self._open_calls += 1
        try:
            await send(await self._answer(call, send))
        finally:
            self._open_calls -= 1

    async def _answer(
        self, call: wire.StageCall, send: _endpoint.SendMessage
    ) -> wire.StageAnswer:
        outcome: kernel.Outcome = _DRAINING
        ran = _endpoint.EndpointRun(_DRAINING)
        if call.token:
            token_run = await self._at_most_once.run(call)
            outcome = token_run.outcome
            ran = _endpoint.EndpointRun(_DRAINING, death=token_run.death)
        elif self._order_busy() and not self._identity.leaving:
            outcome = _ORDER_BUSY
        elif not self._identity.leaving:
            ran = await self._run_repeatable(call, send)
            outcome = self._outcome(call, ran.answer)
        queued = self._endpoint.slots.queued
        return _answers.make_stage_answer(call, outcome, ran, queued)

    def _outcome(
        self,
        call: wire.StageCall,
        answer: dialects.EndpointAnswer | kernel.NotRun,
    ) -> kernel.Outcome:
        if isinstance(answer, dialects.EndpointFailed):
            return kernel.Failed(call.stage, answer.reason)
        return _answers.endpoint_outcome(call, answer, self._endpoint.price)

    async def _run_repeatable(
        self, call: wire.StageCall, send: _endpoint.SendMessage
    ) -> _endpoint.EndpointRun:
        sequence = 0

        async def emit(text: str) -> None:
            nonlocal sequence
            if call.stream:
                await send(wire.StageChunk(call.call_id, sequence, text))
                sequence += 1

        timeout_s = max(call.deadline_ms, 1) / _MS_PER_S
        return await self._endpoint.run(call, timeout_s, emit, _always_send)

    def _has_work(self) -> bool:
        quiet_s = trio.current_time() - self._last_call_at
        return (
            bool(self._open_calls or self._at_most_once.running)
            or quiet_s < _DRAIN_QUIET_S
        )


def _always_send() -> bool:
    return True
