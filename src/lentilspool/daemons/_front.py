"""HTTP towards callers."""

import json
import uuid
from typing import Any, Final

import trio

from lentilspool import kernel, pipeline, settings, telemetry
from lentilspool.daemons import (
    _asgi,
    _configuration,
    _events,
    _problem,
    _runner,
    _status,
)
from lentilspool.daemons._log import LOG

_PREFIX: Final = '/v1/pipelines/'
_SUFFIX: Final = '/requests'
_STREAM: Final = 'text/event-stream'
_NOTICE_S: Final = 1.0
_METHOD_NOT_ALLOWED: Final = 405
_OK: Final = 200
_TOKEN_HEADER: Final = 'lentilspool-token'


class Front(kernel.BaseComponent):
    """ASGI application of an entry.

    During a drain it tells the balancer by ``/readyz`` and still takes
    requests for a while, so that none is refused that the balancer had
    already sent; after that it refuses them as not run.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        runner: _runner.Runner,
        limits: settings.CallerLimits,
        metrics: telemetry.Metrics,
        status: _status.Status,
    ) -> None:
        self._configuration = configuration
        self._runner = runner
        self._limits = limits
        self._metrics = metrics
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
        if not (path.startswith(_PREFIX) and path.endswith(_SUFFIX)):
            await self._status.serve(path, send)
            return
        if scope['method'] != 'POST':
            text = f'{scope["method"]} is not allowed here'
            await _send(send, _problem.invalid(_METHOD_NOT_ALLOWED, text))
            return
        admitted = await self._admit(scope, receive)
        if isinstance(admitted, _problem.Response):
            await _send(send, admitted)
            return
        await self._run(admitted, scope, receive, send)

    async def _admit(
        self, scope: _asgi.Scope, receive: _asgi.Receive
    ) -> pipeline.PipelineRequest | _problem.Response:
        """Return the checked request, or the refusal to send."""
        body = await _asgi.read_body(
            receive, self._limits.max_body_bytes, self._limits.body_timeout_s
        )
        if isinstance(body, _asgi.BodyRefused):
            return _problem.invalid(body.status, body.detail)
        request_id = uuid.uuid4().hex
        refusal = self._refusal()
        document = self._configuration.document
        if refusal is not None or document is None:
            reason = refusal or kernel.NotRunReason.not_ready
            return _problem.response_of(kernel.NotRun(reason, 1), request_id)
        request = pipeline.check_request(
            body,
            pipeline.PipelineRequest(
                request_id=request_id,
                pipeline=scope['path'][len(_PREFIX) : -len(_SUFFIX)],
                stages=(),
                team='',
                fields={},
                deadline=0,
                may_wait=False,
                config_version=self._configuration.version,
                traceparent=_asgi.header(scope, 'traceparent'),
            ),
            document,
            trio.current_time(),
        )
        if isinstance(request, pipeline.Invalid):
            return _problem.invalid(request.status, request.detail)
        return request

    def _refusal(self) -> kernel.NotRunReason | None:
        if self._refusing:
            return kernel.NotRunReason.draining
        if self._runner.open_requests >= self._limits.max_open_requests:
            return kernel.NotRunReason.overloaded
        if not self._configuration.ready:
            return kernel.NotRunReason.not_ready
        return None

    async def _run(
        self,
        request: pipeline.PipelineRequest,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        started = trio.current_time()
        token = _asgi.header(scope, _TOKEN_HEADER)
        if _STREAM in _asgi.header(scope, 'accept'):
            reply: _Reply = _Stream(send)
        else:
            reply = _Whole(send)
        brought = _runner.Admission(token, reply.emit, reply.restart)
        outcome = await self._watched(request, brought, receive)
        if outcome is not None:
            await reply.end(outcome, request.request_id)
        self._report(request, outcome, trio.current_time() - started)

    async def _watched(
        self,
        request: pipeline.PipelineRequest,
        brought: _runner.Admission,
        receive: _asgi.Receive,
    ) -> kernel.Outcome | None:
        """Run a request; stop a repeatable one when its caller goes away."""
        outcome: kernel.Outcome | None = None
        async with trio.open_nursery() as nursery:
            self._scopes[request.request_id] = nursery.cancel_scope
            if request.repeatable:
                nursery.start_soon(
                    _cancel_on_disconnect, receive, nursery.cancel_scope
                )
            try:
                outcome = await self._runner.run(request, brought)
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
        if isinstance(outcome, kernel.Complete):
            for cost in outcome.cost_by_stage:
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


class _Whole:
    """Answers with one JSON response."""

    def __init__(self, send: _asgi.Send) -> None:
        self._send = send

    @property
    def emit(self) -> None:
        """Nothing is sent before the end."""

    @property
    def restart(self) -> None:
        """Nothing is sent before the end."""

    async def end(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send the response."""
        await _send(self._send, _problem.response_of(outcome, request_id))


class _Stream:
    """Answers with server-sent events; the last one carries the outcome."""

    def __init__(self, send: _asgi.Send) -> None:
        self._send = send
        self._started = False

    async def emit(self, text: str) -> None:
        """Send generated text."""
        await self._event('token', {'text': text})

    async def restart(self, _text: str) -> None:
        """Tell the caller to drop the text that was sent."""
        await self._event('restart', {})

    async def end(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send the outcome, and close the stream."""
        response = _problem.response_of(outcome, request_id)
        if not self._started and not isinstance(outcome, kernel.Complete):
            await _send(self._send, response)
            return
        await self._event('outcome', json.loads(response.body))
        await self._send({'type': 'http.response.body', 'body': b''})

    async def _event(self, name: str, plain: dict[str, Any]) -> None:
        if not self._started:
            self._started = True
            await _asgi.start(self._send, _OK, _STREAM)
        lines = f'event: {name}\ndata: {json.dumps(plain)}\n\n'
        await self._send(
            {
                'type': 'http.response.body',
                'body': lines.encode(),
                'more_body': True,
            }
        )


_Reply = _Whole | _Stream


async def _cancel_on_disconnect(
    receive: _asgi.Receive, scope: trio.CancelScope
) -> None:
    await _asgi.wait_disconnect(receive)
    scope.cancel()


async def _send(send: _asgi.Send, response: _problem.Response) -> None:
    await _asgi.send_bytes(
        send,
        response.status,
        response.body,
        response.content_type,
        response.headers,
    )
