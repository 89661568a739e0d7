"""HTTP interface for callers."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from lentilspool import kernel, membership, pipeline, settings
from lentilspool.daemons import (
    _acceptor,
    _asgi,
    _collector,
    _events,
    _problem,
    _reply,
    _runner,
    _status,
    _submission,
)
from lentilspool.daemons._log import LOG

_PIPELINES_PATH: Final = '/v1/pipelines/'
_REQUESTS_PATH: Final = '/v1/requests/'
_OK: Final = 200
_CREATED: Final = 201
_ACCEPTED: Final = 202
_NOT_FOUND: Final = 404

Serve = Callable[
    [_submission.Submission, _asgi.Scope, _asgi.Receive, _asgi.Send],
    Awaitable[None],
]


class CallerApi(kernel.BaseComponent):
    """ASGI application of an entry.

    When a drain begins, ``/readyz`` reports not ready at once, but requests
    are accepted until no more come, because the load balancer still sends
    some until it has read ``/readyz``. After that, requests are refused with
    ``NotRun``.
    """

    def __init__(
        self,
        reader: _submission.SubmissionReader,
        runner: _runner.RequestRunner,
        collector: _collector.Collector,
        acceptor: _acceptor.Acceptor,
        caller_limits: settings.CallerLimits,
        status: _status.Status,
    ) -> None:
        self._reader = reader
        self._runner = runner
        self._collector = collector
        self._acceptor = acceptor
        self._caller_limits = caller_limits
        self._metrics = status.metrics
        self._status = status
        self._scopes: dict[str, trio.CancelScope] = {}
        self._notice = membership.ReadinessNotice()
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
        """Give the load balancer time to notice, then refuse requests."""
        self._notice.begin(trio.current_time())
        while wait_s := self._notice.wait_s(trio.current_time()):
            await trio.sleep(wait_s)
        self._refusing = True

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'refusing': self._refusing, 'open': sorted(self._scopes)}

    async def _serve(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        path = scope['path']
        resource = path.removeprefix(_PIPELINES_PATH).partition('/')[-1]
        match (scope['method'], path.startswith(_PIPELINES_PATH), resource):
            case ('POST', True, 'requests'):
                await self._read(scope, receive, send, self._submit)
            case ('POST', True, 'tokens'):
                await self._read(scope, receive, send, self._issue_token)
            case ('GET', False, _) if path.startswith(_REQUESTS_PATH):
                token = path.removeprefix(_REQUESTS_PATH)
                await _reply.send_response(
                    send, await self._collector.collect(token)
                )
            case ('DELETE', False, _) if path.startswith(_REQUESTS_PATH):
                await self._cancel(path.removeprefix(_REQUESTS_PATH), send)
            case _:
                await self._status.serve(path, send)

    async def _read(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
        serve: Serve,
    ) -> None:
        """Read and check a request for a pipeline; serve it or refuse it."""
        self._notice.on_request()
        name = scope['path'].removeprefix(_PIPELINES_PATH).partition('/')[0]
        submission = await self._reader.read(name, scope, receive)
        if isinstance(submission, _problem.Response):
            await _reply.send_response(send, submission)
        else:
            await serve(submission, scope, receive, send)

    async def _submit(
        self,
        submission: _submission.Submission,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        reply: _reply.Reply = _reply.JsonReply(send)
        if _reply.EVENT_STREAM in _asgi.header(scope, 'accept'):
            reply = _reply.EventStreamReply(send)
        started = trio.current_time()
        request = submission.request
        refusal = self._refusal()
        outcome = (
            submission.outcome_without_ledger(refusal) if refusal else None
        )
        if outcome is None and request.may_wait:
            outcome = await self._acceptor.accept(submission)
        elif outcome is None:
            outcome = await self._run_until_disconnect(
                submission, reply, receive
            )
        if outcome is not None:
            await reply.finish(outcome, request.request_id)
        self._record_outcome(request, outcome, trio.current_time() - started)

    async def _issue_token(
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
            await _reply.send_response(
                send, _problem.response_of(issued, request_id)
            )

    async def _cancel(self, request_id: str, send: _asgi.Send) -> None:
        scope = self._scopes.get(request_id)
        if scope is None:
            detail = (
                'no repeatable request with this id is running on this entry'
            )
            await _reply.send_response(
                send, _problem.invalid_response(_NOT_FOUND, detail)
            )
            return
        scope.cancel()
        await _asgi.send_json(send, _ACCEPTED, {'cancelled': request_id})

    def _refusal(self) -> kernel.NotRun | None:
        if self._refusing:
            return kernel.NotRun(kernel.NotRunReason.draining, 0)
        if self._runner.open_requests >= self._caller_limits.max_open_requests:
            return kernel.NotRun(kernel.NotRunReason.overloaded, 1)
        return None

    async def _run_until_disconnect(
        self,
        submission: _submission.Submission,
        reply: _reply.Reply,
        receive: _asgi.Receive,
    ) -> kernel.Outcome | None:
        """Run a request; cancel a repeatable one if its caller disconnects.

        Return None if the request was cancelled.
        """
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

    def _record_outcome(
        self,
        request: pipeline.PipelineRequest,
        outcome: kernel.Outcome | None,
        seconds: float,
    ) -> None:
        kind = type(outcome).__name__ if outcome else 'Cancelled'
        self._metrics.record_request(
            request.pipeline, request.team, kind, seconds
        )
        for cost in getattr(outcome, 'cost_by_stage', ()):
            self._metrics.record_spend(
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
