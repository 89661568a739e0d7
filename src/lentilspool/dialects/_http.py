"""HTTP calls over httpcore's connection pool."""

import dataclasses
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

import httpcore

from lentilspool.dialects import _types

_TOO_MANY_REQUESTS: Final = 429
_UNAVAILABLE: Final = 503
_OK: Final = 200
_NOT_MODIFIED: Final = 304
_KEEPALIVE_S: Final = 30
_SHOWN_BYTES: Final = 200
BAD_REQUEST: Final = 400
_SERVER_ERROR: Final = 500

NOT_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
BROKEN: Final = (
    httpcore.ReadError,
    httpcore.RemoteProtocolError,
    httpcore.WriteError,
)
_NOT_HAD: Final = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Tagged:
    """Last resource that came with an entity tag."""

    path: str
    tag: str
    plain: Any


class HttpClient:
    """Calls one base URL; errors come back as values.

    Use ``post`` for a whole answer, or ``stream`` for one that arrives in
    lines. Both keep connections open for further calls.
    """

    def __init__(self, base_url: str, max_connections: int) -> None:
        self._base_url = base_url.rstrip('/')
        self._tagged = _Tagged('', '', None)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=_KEEPALIVE_S,
        )

    async def post(
        self, path: str, call: _types.EndpointCall
    ) -> tuple[int, bytes] | _types.Refused | _types.EndpointFailed:
        """Send a call and return status and body of the response."""
        try:
            async with self.stream(path, call) as response:
                return response.status, await response.aread()
        except NOT_SENT as error:
            return _types.Refused(describe(error), unreachable=True)
        except BROKEN as error:
            return _types.EndpointFailed(describe(error), crashed=True)
        except (httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return _types.EndpointFailed(describe(error))

    async def get_json(self, path: str, timeout_s: float) -> Any | None:
        """Return the JSON body of a resource, or None if it is not had.

        A resource that has an entity tag is only sent again if it changed.
        """
        held = self._tagged
        known = bool(held.tag) and held.path == path
        headers = [('if-none-match', held.tag)] if known else []
        try:
            response = await self._pool.request(
                'GET',
                f'{self._base_url}{path}',
                headers=headers,
                extensions={'timeout': _timeouts(timeout_s)},
            )
        except _NOT_HAD:
            return None
        if response.status == _NOT_MODIFIED:
            return held.plain
        if response.status != _OK:
            return None
        return self._parsed(path, response)

    @asynccontextmanager
    async def stream(
        self, path: str, call: _types.EndpointCall
    ) -> AsyncIterator[httpcore.Response]:
        """Send a call and hand out its response before the body is read."""
        headers = [
            ('content-type', 'application/json'),
            ('x-request-id', call.request_id),
        ]
        if call.traceparent:
            headers.append(('traceparent', call.traceparent))
        async with self._pool.stream(
            'POST',
            f'{self._base_url}{path}',
            headers=headers,
            content=call.body,
            extensions={'timeout': _timeouts(call.timeout_s)},
        ) as response:
            yield response

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    def _parsed(self, path: str, response: httpcore.Response) -> Any | None:
        try:
            plain = json.loads(response.content)
        except ValueError:
            return None
        for name, text in response.headers:
            if name.lower() == b'etag':
                self._tagged = _Tagged(path, text.decode('latin-1'), plain)
        return plain


def refusal(
    status: int, body: bytes
) -> _types.Refused | _types.EndpointFailed | None:
    """Return what a status other than success means, or None for success."""
    if _OK <= status < BAD_REQUEST:
        return None
    reason = f'status {status}: {body[:_SHOWN_BYTES].decode(errors="replace")}'
    if status in {_TOO_MANY_REQUESTS, _UNAVAILABLE}:
        return _types.Refused(reason)
    return _types.EndpointFailed(reason, final=status < _SERVER_ERROR)


def answered(
    response: tuple[int, bytes] | _types.Refused | _types.EndpointFailed,
) -> _types.EndpointAnswer:
    """Return what the response to a call of one unit means."""
    if not isinstance(response, tuple):
        return response
    status, body = response
    return refusal(status, body) or _types.Answered(body, units=1)


def _timeouts(timeout_s: float) -> dict[str, float]:
    return {
        'connect': min(timeout_s, 1),
        'read': timeout_s,
        'write': timeout_s,
        'pool': timeout_s,
    }


def describe(error: Exception) -> str:
    """Return an error's type and text for a log or an outcome."""
    return f'{type(error).__name__}: {error}'
