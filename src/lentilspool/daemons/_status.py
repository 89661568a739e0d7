"""HTTP resources of every daemon: health, readiness, metrics, dump."""

from collections.abc import Callable
from typing import Final

from lentilspool import telemetry
from lentilspool.daemons import _asgi, _problem

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_METRICS_CONTENT_TYPE: Final = 'text/plain; version=0.0.4'


class Status:
    """ASGI application with the status resources of a daemon.

    ``ready`` decides the answer of ``/readyz``; ``dump`` returns the state
    for ``/dump``.
    """

    def __init__(
        self,
        metrics: telemetry.Metrics,
        ready: Callable[[], bool],
        dump: Callable[[], object],
    ) -> None:
        self._metrics = metrics
        self._ready = ready
        self._dump = dump

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Handle one ASGI connection."""
        if scope['type'] == 'lifespan':
            await _asgi.lifespan(receive, send)
        elif scope['type'] == 'http':
            await self.serve(scope['path'], send)

    @property
    def metrics(self) -> telemetry.Metrics:
        """Metrics of the process."""
        return self._metrics

    async def serve(self, path: str, send: _asgi.Send) -> None:
        """Send the resource at a path, or a 404 problem if there is none."""
        match path:
            case '/healthz':
                await _asgi.send_json(send, _OK, {'ok': True})
            case '/readyz':
                ready = self._ready()
                status = _OK if ready else _UNAVAILABLE
                await _asgi.send_json(send, status, {'ok': ready})
            case '/metrics':
                await _asgi.send_bytes(
                    send, _OK, self._metrics.render(), _METRICS_CONTENT_TYPE
                )
            case '/dump':
                await _asgi.send_json(send, _OK, self._dump())
            case _:
                problem = _problem.invalid_response(
                    _NOT_FOUND, f'no resource at {path}'
                )
                await _asgi.send_bytes(
                    send, problem.status, problem.body, problem.content_type
                )
