"""HTTP handlers for readiness, metrics and the state dump."""

from collections.abc import Callable
from typing import Final

import msgspec

from lentilspool import platform, serving
from lentilspool.gateway import _http_server, _metrics

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503


class Status:
    """Answers requests of the platform and of operators."""

    def __init__(
        self,
        metrics: _metrics.GatewayMetrics,
        ready: Callable[[], bool],
        dump: Callable[[], dict[str, object]],
    ) -> None:
        self._metrics = metrics
        self._ready = ready
        self._dump = dump

    def limits(self) -> serving.CallLimits:
        """Return the default limits."""
        return serving.CallLimits()

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        """Answer one request."""
        status, body = self._answer(request.target.decode('latin-1'))
        headers = [(b'content-length', str(len(body)).encode())]
        await reply.write_complete(status, headers, body)

    def _answer(self, target: str) -> tuple[int, bytes]:
        if target == platform.READY_PATH:
            return (_OK if self._ready() else _UNAVAILABLE), b''
        if target == '/metrics':
            return _OK, self._metrics.render()
        if target == '/dump':
            return _OK, msgspec.json.encode(self._dump())
        return _NOT_FOUND, b''
