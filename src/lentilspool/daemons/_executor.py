"""Runs stage calls on the endpoint beside the sidecar."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from lentilspool import config, dialects, kernel, wire
from lentilspool.daemons import _configuration, _events

_MS: Final = 1000
_LOG = logging.getLogger(__name__)

Reply = Callable[[wire.Message], Awaitable[bool]]


class Executor:
    """Takes stage calls, runs them on the endpoint and replies."""

    def __init__(
        self,
        pool: str,
        endpoint_url: str,
        configuration: _configuration.Configuration,
    ) -> None:
        self._pool = pool
        self._url = endpoint_url
        self._configuration = configuration
        self._dialect: dialects.Dialect | None = None
        self._running = 0
        self._draining = False
        self._idle = trio.Event()

    @property
    def in_flight(self) -> int:
        """Calls that run."""
        return self._running

    @property
    def leaving(self) -> bool:
        """Whether no new call is taken."""
        return self._draining

    async def start(self) -> None:
        """Nothing to start."""

    async def drain(self) -> None:
        """Refuse new calls and wait for those that run."""
        self._draining = True
        while self._running:
            self._idle = trio.Event()
            await self._idle.wait()

    async def stop(self) -> None:
        """Close connections to the endpoint."""
        if self._dialect:
            await self._dialect.aclose()

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'in_flight': self._running, 'draining': self._draining}

    async def run(self, call: wire.StageCall, reply: Reply) -> None:
        """Run one call and send its answer."""
        if self._draining:
            await reply(_not_run(call, kernel.NotRunReason.draining.value, 0))
            return
        self._running += 1
        try:
            await reply(await self._call(call, reply))
        finally:
            self._running -= 1
            self._idle.set()

    async def _call(
        self, call: wire.StageCall, reply: Reply
    ) -> wire.StageAnswer:
        document = self._configuration.document
        if document is None or self._pool not in document.pools:
            return _not_run(call, kernel.NotRunReason.not_ready.value, 1)
        pool = document.pools[self._pool]
        sequence = 0

        async def emit(text: str) -> None:
            nonlocal sequence
            if call.stream:
                await reply(wire.StageChunk(call.call_id, sequence, text))
                sequence += 1

        started = trio.current_time()
        stage = _stage(document, call)
        answer = await self._dialect_of(pool).call(
            dialects.EndpointCall(
                operation=stage.operation or stage.name,
                body=call.body,
                max_output_tokens=stage.max_output_tokens,
                priority=call.priority,
                timeout_s=max(call.deadline_ms, 1) / _MS,
                request_id=call.request_id,
                traceparent=call.traceparent or '',
                stream=call.stream,
            ),
            emit,
        )
        service_ms = int((trio.current_time() - started) * _MS)
        _events.CALL_ENDED.log(_LOG, request_id=call.request_id)
        return _answer(call, answer, pool.price, service_ms)

    def _dialect_of(self, pool: config.PoolDocument) -> dialects.Dialect:
        if self._dialect is None:
            make: Any = kernel.registry.find(
                kernel.PluginKind.endpoint_dialect, pool.kind
            )
            self._dialect = make(
                dialects.HttpClient(self._url, pool.max_in_flight)
            )
        return self._dialect


def _stage(
    document: config.Document, call: wire.StageCall
) -> config.StageDocument:
    pipeline = document.pipelines.get(call.pipeline)
    stages = pipeline.stages if pipeline else ()
    for stage in stages:
        if stage.name == call.stage:
            return stage
    return config.StageDocument(call.stage, '')


def _not_run(
    call: wire.StageCall, reason: str, retry_after_s: float
) -> wire.StageAnswer:
    return dataclasses.replace(
        _blank(call),
        outcome='not_run',
        reason=reason,
        retry_after_ms=int(retry_after_s * _MS),
    )


def _answer(
    call: wire.StageCall,
    answer: dialects.EndpointAnswer,
    price: float,
    service_ms: int,
) -> wire.StageAnswer:
    if isinstance(answer, dialects.Refused):
        return _not_run(call, answer.reason, answer.retry_after_s or 0)
    blank = dataclasses.replace(_blank(call), service_ms=service_ms)
    if isinstance(answer, dialects.Answered):
        return dataclasses.replace(
            blank,
            outcome='complete',
            body=answer.body,
            cost=answer.units * price,
        )
    outcome = 'failed' if call.repeatable or answer.final else 'unknown'
    return dataclasses.replace(blank, outcome=outcome, reason=answer.reason)


def _blank(call: wire.StageCall) -> wire.StageAnswer:
    """Return an answer that repeats the identity of its call."""
    return wire.StageAnswer(
        call_id=call.call_id,
        request_id=call.request_id,
        stage=call.stage,
        attempt=call.attempt,
        digest=call.digest,
        outcome='failed',
        body=b'',
        cost=0,
        reason='',
        retry_after_ms=0,
        service_ms=0,
        queued=0,
    )
