"""Faults that a stand-in is told to show."""

import dataclasses
import json
import os
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from lentilspool import daemons

_KILLED: Final = 137


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """What is wrong with a stand-in; the default is nothing."""

    slow_factor: float = 1.0
    """Factor on every service time."""

    fail_share: float = 0.0
    """Share of calls that answer with status 500."""

    silent_connections: tuple[str, ...] = ()
    """Client ports of connections on which nothing is answered."""

    paused_until: float = 0.0
    """Monotonic time until which every call waits."""


class Faulty:
    """ASGI middleware that shows faults and takes orders for them.

    ``POST /control`` takes a JSON object: ``slow`` (factor), ``fail``
    (share), ``silent`` (true: all connections open now), ``pause`` (seconds)
    and ``die`` (true).
    """

    def __init__(
        self, app: daemons.App, die: Callable[[], None] | None = None
    ) -> None:
        self._app = app
        self._die = die or _exit
        self._faults = Faults()
        self._seen: set[str] = set()
        self._calls = 0

    @property
    def faults(self) -> Faults:
        """Faults shown now."""
        return self._faults

    def apply(self, order: dict[str, Any]) -> None:
        """Change the faults; keys as in ``POST /control``."""
        if order.get('die'):
            self._die()
        silent = tuple(self._seen) if order.get('silent') else ()
        self._faults = Faults(
            slow_factor=order.get('slow', 1),
            fail_share=order.get('fail', 0),
            silent_connections=silent,
            paused_until=trio.current_time() + order.get('pause', 0),
        )

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve a call, with the faults of now."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        if scope['path'] == '/control':
            self.apply(json.loads(await body_of(receive)))
            await reply(send, {'ok': True})
            return
        client = f'{scope["client"]}'
        self._seen.add(client)
        self._calls += 1
        await trio.sleep_until(self._faults.paused_until)
        if client in self._faults.silent_connections:
            await trio.sleep_forever()
        if self._fails():
            await reply(send, {'error': 'told to fail'}, status=500)
            return
        scope['slow_factor'] = self._faults.slow_factor
        await self._app(scope, receive, send)

    def _fails(self) -> bool:
        """Spread the failing share evenly over the calls."""
        share = self._faults.fail_share
        return int(self._calls * share) > int((self._calls - 1) * share)


def _exit() -> None:
    os._exit(_KILLED)


async def body_of(receive: Callable[[], Awaitable[Any]]) -> bytes:
    """Return a whole request body."""
    parts = []
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return b'{}'
        parts.append(message.get('body', b''))
        more = message.get('more_body', False)
    return b''.join(parts)


async def reply(
    send: Callable[[Any], Awaitable[None]],
    plain: object,
    status: int = 200,
    tag: bytes = b'',
) -> None:
    """Send a JSON response; none of a body stands for no content."""
    body = b'' if plain is None else json.dumps(plain).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    if tag:
        headers.append((b'etag', tag))
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def lifespan(receive: Any, send: Any) -> None:
    """Answer the server's life-span messages."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
