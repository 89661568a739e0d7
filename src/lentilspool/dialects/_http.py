"""HTTP client over an httpcore connection pool, with errors as values."""

import dataclasses
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

import httpcore
import trio

from lentilspool.dialects import _types

_TOO_MANY_REQUESTS: Final = 429
_UNAVAILABLE: Final = 503
_OK: Final = 200
_NOT_MODIFIED: Final = 304
_MAX_REASON_BYTES: Final = 200
_MAX_ANSWER_BYTES: Final = 8_388_608
# The time limit of a resource covers each read; all of them may take longer.
_RESOURCE_TIME_FACTOR: Final = 3
BAD_REQUEST: Final = 400
_SERVER_ERROR: Final = 500

NOT_SENT_ERRORS: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
CONNECTION_LOST_ERRORS: Final = (
    httpcore.ReadError,
    httpcore.RemoteProtocolError,
    httpcore.WriteError,
)
_READ_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class OversizedAnswerError(httpcore.ProtocolError):
    """An answer is larger than any answer may be."""


class BodyLimit:
    """Bounds the size of a body, and the time that its parts take at once."""

    def __init__(self) -> None:
        self._size = 0

    async def add(self, part: bytes) -> None:
        """Count a part; raise ``OversizedAnswerError`` above the limit."""
        self._size += len(part)
        if self._size > _MAX_ANSWER_BYTES:
            raise OversizedAnswerError(
                f'answer larger than {_MAX_ANSWER_BYTES} bytes'
            )
        # httpcore returns parts that it holds without giving others a turn.
        await trio.lowlevel.checkpoint()


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedResource:
    """The last resource received with an entity tag."""

    path: str
    tag: str
    plain: Any


class HttpClient:
    """HTTP client for one base URL.

    Use ``post`` for a complete answer, which returns errors as values, or
    ``stream`` to read an answer as it arrives, which raises httpcore's
    errors. Answers do not state their request, and a faulty server may write
    an earlier one once more, so each request has a connection of its own.
    """

    def __init__(self, base_url: str, max_connections: int) -> None:
        self._base_url = base_url.rstrip('/')
        self._cached = _CachedResource('', '', None)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=0,
        )

    async def post(
        self, path: str, call: _types.EndpointCall
    ) -> tuple[int, bytes] | _types.Refused | _types.EndpointFailed:
        """Send a call and return the response's status and body, or its error."""
        try:
            async with self.stream(path, call) as response:
                return response.status, await read_body(response)
        except NOT_SENT_ERRORS as error:
            return _types.Refused(describe(error), unreachable=True)
        except CONNECTION_LOST_ERRORS as error:
            return _types.EndpointFailed(describe(error), crashed=True)
        except (httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return _types.EndpointFailed(describe(error))

    async def get_json(self, path: str, timeout_s: float) -> Any | None:
        """Return the JSON body of a resource, or None if it cannot be read.

        A resource with an entity tag is cached and transferred again only
        if it has changed.
        """
        cached = self._cached
        known = bool(cached.tag) and cached.path == path
        headers = [('if-none-match', cached.tag)] if known else []
        received = await self._get(path, headers, timeout_s)
        if received is None:
            return None
        response, body = received
        if response.status == _NOT_MODIFIED:
            return cached.plain
        if response.status != _OK:
            return None
        return self._parse(path, response, body)

    @asynccontextmanager
    async def stream(
        self, path: str, call: _types.EndpointCall
    ) -> AsyncIterator[httpcore.Response]:
        """Send a call and yield the response before its body is read."""
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

    async def _get(
        self, path: str, headers: list[tuple[str, str]], timeout_s: float
    ) -> tuple[httpcore.Response, bytes] | None:
        """Return a response and its whole body; None if it has none in time."""
        with trio.move_on_after(timeout_s * _RESOURCE_TIME_FACTOR):
            try:
                async with self._pool.stream(
                    'GET',
                    f'{self._base_url}{path}',
                    headers=headers,
                    extensions={'timeout': _timeouts(timeout_s)},
                ) as response:
                    return response, await read_body(response)
            except _READ_ERRORS:
                return None
        return None

    def _parse(
        self, path: str, response: httpcore.Response, body: bytes
    ) -> Any | None:
        try:
            plain = json.loads(body)
        except (RecursionError, ValueError):
            return None
        for name, text in response.headers:
            if name.lower() == b'etag':
                self._cached = _CachedResource(
                    path, text.decode('latin-1'), plain
                )
        return plain


async def read_body(response: httpcore.Response) -> bytes:
    """Return a whole body; raise ``OversizedAnswerError`` above the limit."""
    limit = BodyLimit()
    body = bytearray()
    async for part in response.aiter_stream():
        await limit.add(part)
        body.extend(part)
    return bytes(body)


def classify_status(
    status: int, body: bytes
) -> _types.Refused | _types.EndpointFailed | None:
    """Classify an error status; return None for a success status."""
    if _OK <= status < BAD_REQUEST:
        return None
    reason = (
        f'status {status}: {body[:_MAX_REASON_BYTES].decode(errors="replace")}'
    )
    if status in {_TOO_MANY_REQUESTS, _UNAVAILABLE}:
        return _types.Refused(reason)
    return _types.EndpointFailed(reason, final=status < _SERVER_ERROR)


def to_endpoint_answer(
    response: tuple[int, bytes] | _types.Refused | _types.EndpointFailed,
) -> _types.EndpointAnswer:
    """Convert the response to a call that counts as one unit of work."""
    if not isinstance(response, tuple):
        return response
    status, body = response
    return classify_status(status, body) or _types.Answered(body, units=1)


def _timeouts(timeout_s: float) -> dict[str, float]:
    return {
        'connect': min(timeout_s, 1),
        'read': timeout_s,
        'write': timeout_s,
        'pool': timeout_s,
    }


def describe(error: Exception) -> str:
    """Return an error's type and text for a log or an outcome."""
    return f'{type(error).__name__}: {error}'[:_MAX_REASON_BYTES]
