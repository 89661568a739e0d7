"""HTTP towards callers."""

import logging
import uuid
from collections.abc import Callable
from typing import Final

import trio

from lentilspool import kernel, pipeline, settings, telemetry
from lentilspool.daemons import (
    _asgi,
    _configuration,
    _events,
    _problem,
    _runner,
)

_LOG = logging.getLogger(__name__)

_PREFIX: Final = '/v1/pipelines/'
_SUFFIX: Final = '/requests'
_NOT_FOUND: Final = 404
_OK: Final = 200
_UNAVAILABLE: Final = 503
_TEXT: Final = 'text/plain; version=0.0.4'


class Front:
    """ASGI application of an entry."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        runner: _runner.Runner,
        limits: settings.CallerLimits,
        metrics: telemetry.Metrics,
        ready: Callable[[], bool],
        dump: Callable[[], object],
    ) -> None:
        self._configuration = configuration
        self._runner = runner
        self._limits = limits
        self._metrics = metrics
        self._ready = ready
        self._dump = dump
        self._open = 0
        self._draining = False

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Serve one request."""
        if scope['type'] == 'lifespan':
            await _asgi.lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._serve(scope, receive, send)

    async def _serve(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        path = scope['path']
        if path.startswith(_PREFIX) and path.endswith(_SUFFIX):
            name = path[len(_PREFIX) : -len(_SUFFIX)]
            await self._submit(name, scope, receive, send)
            return
        if path in {'/healthz', '/readyz'}:
            await self._health(path, send)
        elif path == '/metrics':
            await _asgi.send_bytes(send, _OK, self._metrics.render(), _TEXT)
        elif path == '/dump':
            await _asgi.send_json(send, _OK, self._dump())
        else:
            problem = _problem.invalid(_NOT_FOUND, f'no resource {path}')
            await _send(send, problem)

    async def _health(self, path: str, send: _asgi.Send) -> None:
        ready = self._ready() or path == '/healthz'
        status = _OK if ready else _UNAVAILABLE
        await _asgi.send_json(send, status, {'ok': ready})

    async def _submit(
        self,
        name: str,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        body = await _asgi.read_body(
            receive, self._limits.max_body_bytes, self._limits.body_timeout_s
        )
        if isinstance(body, _asgi.BodyRefused):
            await _send(send, _problem.invalid(body.status, body.detail))
            return
        document = self._configuration.document
        request_id = uuid.uuid4().hex
        if document is None:
            not_ready = kernel.NotRun(kernel.NotRunReason.not_ready, 1)
            await _send(send, _problem.response_of(not_ready, request_id))
            return
        request = pipeline.check_request(
            body,
            pipeline.PipelineRequest(
                request_id=request_id,
                pipeline=name,
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
            await _send(send, _problem.invalid(request.status, request.detail))
            return
        await self._run(request, send)

    async def _run(
        self,
        request: pipeline.PipelineRequest,
        send: _asgi.Send,
    ) -> None:
        started = trio.current_time()
        outcome = await self._runner.run(request, None)
        await _send(send, _problem.response_of(outcome, request.request_id))
        _events.REQUEST_ENDED.log(
            _LOG,
            request_id=request.request_id,
            pipeline=request.pipeline,
            outcome=type(outcome).__name__,
            seconds=round(trio.current_time() - started, 4),
        )


async def _send(send: _asgi.Send, response: _problem.Response) -> None:
    await _asgi.send_bytes(
        send,
        response.status,
        response.body,
        response.content_type,
        response.headers,
    )
