"""HTTP towards callers."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import kernel, pipeline, settings
from lentilspool.daemons import (
    _accept,
    _asgi,
    _collect,
    _events,
    _problem,
    _reply,
    _runner,
    _status,
    _submission,
)
from lentilspool.daemons._log import LOG

_PIPELINES: Final = '/v1/pipelines/'
_REQUESTS: Final = '/v1/requests/'
_NOTICE_S: Final = 1.0
_OK: Final = 200
_CREATED: Final = 201
_ACCEPTED: Final = 202
_NOT_FOUND: Final = 404

Serve = Callable[
    [_submission.Submission, _asgi.Scope, _asgi.Receive, _asgi.Send],
    Awaitable[None],
]


class Front(kernel.BaseComponent):
    """ASGI application of an entry.

    During a drain it tells the balancer by ``/readyz`` and still takes
    requests for a while, so that none is refused that the balancer had
    already sent; after that it refuses them as not run.
    """

    def __init__(
        self,
        gate: _submission.Gate,
        runner: _runner.Runner,
        collect: _collect.Collect,
        accept: _accept.Accept,
        limits: settings.CallerLimits,
        status: _status.Status,
    ) -> None:
        self._gate = gate
        self._runner = runner
        self._collect = collect
        self._accept = accept
        self._limits = limits
        self._metrics = status.metrics
        self._status = status
        self._scopes: dict[str, trio.CancelScope] = {}
        self._refusing = False

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Serve one request."""
        if scope['type'] == 'lifespan':
            await _asgi.lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._serve(scope, receive, send)

    async def drain(self) -> None:
        """Wait until the balancer has noticed, then refuse new requests."""
        await trio.sleep(_NOTICE_S)
        self._refusing = True

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'refusing': self._refusing, 'open': sorted(self._scopes)}

    async def _serve(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        path = scope['path']
        what = path.removeprefix(_PIPELINES).partition('/')[-1]
        match (scope['method'], path.startswith(_PIPELINES), what):
            case ('POST', True, 'requests'):
                await self._read(scope, receive, send, self._submit)
            case ('POST', True, 'tokens'):
                await self._read(scope, receive, send, self._issue)
            case ('GET', False, _) if path.startswith(_REQUESTS):
                token = path.removeprefix(_REQUESTS)
                await _reply.send(send, await self._collect.answer(token))
            case ('DELETE', False, _) if path.startswith(_REQUESTS):
                await self._cancel(path.removeprefix(_REQUESTS), send)
            case _:
                await self._status.serve(path, send)

    async def _read(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
        serve: Serve,
    ) -> None:
        """Read a request for a pipeline and serve it, or send its refusal."""
        name = scope['path'].removeprefix(_PIPELINES).partition('/')[0]
        submission = await self._gate.read(name, scope, receive)
        if isinstance(submission, _problem.Response):
            await _reply.send(send, submission)
        else:
            await serve(submission, scope, receive, send)

    async def _submit(
        self,
        submission: _submission.Submission,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        reply: _reply.Reply = _reply.Whole(send)
        if _reply.STREAM in _asgi.header(scope, 'accept'):
            reply = _reply.Stream(send)
        started = trio.current_time()
        request = submission.request
        refusal = self._refusal()
        outcome = submission.given_up(refusal) if refusal else None
        if outcome is None and request.may_wait:
            outcome = await self._accept.accept(submission)
        elif outcome is None:
            outcome = await self._watched(submission, reply, receive)
        if outcome is not None:
            await reply.end(outcome, request.request_id)
        self._report(request, outcome, trio.current_time() - started)

    async def _issue(
        self,
        submission: _submission.Submission,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        request_id = submission.request.request_id
        issued = self._refusal() or await self._runner.issue(submission)
        if isinstance(issued, str):
            plain = {'token': issued, 'request_id': request_id}
            await _asgi.send_json(send, _CREATED, plain)
        else:
            await _reply.send(send, _problem.response_of(issued, request_id))

    async def _cancel(self, request_id: str, send: _asgi.Send) -> None:
        scope = self._scopes.get(request_id)
        if scope is None:
            text = 'no repeatable request with this id is in hand here'
            await _reply.send(send, _problem.invalid(_NOT_FOUND, text))
            return
        scope.cancel()
        await _asgi.send_json(send, _ACCEPTED, {'cancelled': request_id})

    def _refusal(self) -> kernel.NotRun | None:
        if self._refusing:
            return kernel.NotRun(kernel.NotRunReason.draining, 0)
        if self._runner.open_requests >= self._limits.max_open_requests:
            return kernel.NotRun(kernel.NotRunReason.overloaded, 1)
        return None

    async def _watched(
        self,
        submission: _submission.Submission,
        reply: _reply.Reply,
        receive: _asgi.Receive,
    ) -> kernel.Outcome | None:
        """Run a request; stop a repeatable one when its caller goes away."""
        outcome: kernel.Outcome | None = None
        request = submission.request
        async with trio.open_nursery() as nursery:
            if request.repeatable:
                self._scopes[request.request_id] = nursery.cancel_scope
                nursery.start_soon(
                    _cancel_on_disconnect, receive, nursery.cancel_scope
                )
            try:
                outcome = await self._runner.run(submission, reply)
            finally:
                self._scopes.pop(request.request_id, None)
            nursery.cancel_scope.cancel()
        return outcome

    def _report(
        self,
        request: pipeline.PipelineRequest,
        outcome: kernel.Outcome | None,
        seconds: float,
    ) -> None:
        kind = type(outcome).__name__ if outcome else 'Cancelled'
        self._metrics.request_ended(
            request.pipeline, request.team, kind, seconds
        )
        for cost in getattr(outcome, 'cost_by_stage', ()):
            self._metrics.spent(
                request.team, cost.stage, cost.provider, cost.cost
            )
        _events.REQUEST_ENDED.log(
            LOG,
            request_id=request.request_id,
            pipeline=request.pipeline,
            team=request.team,
            outcome=kind,
            seconds=round(seconds, 4),
        )


async def _cancel_on_disconnect(
    receive: _asgi.Receive, scope: trio.CancelScope
) -> None:
    await _asgi.wait_disconnect(receive)
    scope.cancel()
