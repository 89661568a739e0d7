"""Helpers for ASGI applications: read requests and send responses."""

import dataclasses
import json
import types
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import trio

from lentilspool.daemons import _events
from lentilspool.daemons._log import LOG

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

_NO_HEADERS: Final[Mapping[str, str]] = types.MappingProxyType({})
_JSON_CONTENT_TYPE: Final = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class BodyRefused:
    """Why a request body was not read to its end."""

    status: int
    """HTTP status of the response."""

    detail: str
    """Explanation for the caller."""


_BAD_REQUEST: Final = 400
_TIMEOUT: Final = 408
_TOO_LARGE: Final = 413


async def read_body(
    receive: Receive, max_bytes: int, timeout_s: float
) -> bytes | BodyRefused:
    """Return the request body, or why it was refused.

    The body may have at most ``max_bytes`` and must arrive within
    ``timeout_s``.
    """
    parts: list[bytes] = []
    size = 0
    with trio.move_on_after(timeout_s):
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return BodyRefused(
                    _BAD_REQUEST, 'connection closed before the end of the body'
                )
            parts.append(message.get('body', b''))
            size += len(parts[-1])
            if size > max_bytes:
                return BodyRefused(
                    _TOO_LARGE, f'body exceeds {max_bytes} bytes'
                )
            if not message.get('more_body', False):
                return b''.join(parts)
    return BodyRefused(_TIMEOUT, f'body not received within {timeout_s} s')


async def wait_disconnect(receive: Receive) -> None:
    """Wait until the caller has closed its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


async def try_send(send: Send, message: dict[str, Any]) -> bool:
    """Send a message; return False if the connection is unusable.

    The caller may have closed the connection, or the HTTP server may be
    answering a malformed request on it.
    """
    try:
        await send(message)
    except (
        trio.BusyResourceError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
    ) as error:
        _events.CALLER_GONE.log(LOG, error=type(error).__name__)
        return False
    return True


async def send_response_start(
    send: Send,
    status: int,
    content_type: str,
    extra: Mapping[str, str] = _NO_HEADERS,
) -> bool:
    """Send status and headers; return False if the connection is unusable."""
    headers = {'content-type': content_type, **extra}
    return await try_send(
        send,
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (name.encode(), text.encode()) for name, text in headers.items()
            ],
        },
    )


async def send_bytes(
    send: Send,
    status: int,
    body: bytes,
    content_type: str = _JSON_CONTENT_TYPE,
    extra: Mapping[str, str] = _NO_HEADERS,
) -> None:
    """Send status, headers and the complete body."""
    sized = {'content-length': str(len(body)), **extra}
    if await send_response_start(send, status, content_type, sized):
        await try_send(send, {'type': 'http.response.body', 'body': body})


async def send_json(send: Send, status: int, plain: object) -> None:
    """Send a complete response; its body is ``plain`` encoded as JSON."""
    await send_bytes(send, status, json.dumps(plain, default=str).encode())


def header(scope: Scope, name: str) -> str:
    """Return a request header, or an empty string if it is absent."""
    wanted = name.lower().encode()
    for header_name, text in scope['headers']:
        if header_name == wanted:
            return str(text, 'latin-1')
    return ''


async def lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the ASGI lifespan messages until the shutdown."""
    while True:
        message = await receive()
        kind = message['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return
