"""Responses to callers: one JSON document, or server-sent events."""

import json
from typing import Any, Final, Protocol

from lentilspool import dialects, kernel
from lentilspool.daemons import _asgi, _problem

STREAM: Final = 'text/event-stream'
_OK: Final = 200


class Reply(Protocol):
    """Carries the outcome of one request to its caller."""

    @property
    def emit(self) -> dialects.Emit | None:
        """Takes text as it is generated, if the caller wants it."""
        ...

    @property
    def restart(self) -> dialects.Emit | None:
        """Tells the caller to drop the text that was sent."""
        ...

    async def end(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send the outcome."""
        ...


class Whole:
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
        await send(self._send, _problem.response_of(outcome, request_id))


class Silent:
    """Sends nothing: the outcome is kept to be collected."""

    @property
    def emit(self) -> None:
        """Nobody reads the text."""

    @property
    def restart(self) -> None:
        """Nobody reads the text."""

    async def end(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send nothing."""


class Stream:
    """Answers with server-sent events; the last one carries the outcome."""

    def __init__(self, send_event: _asgi.Send) -> None:
        self._send = send_event
        self._started = False
        self._usable = True

    @property
    def emit(self) -> dialects.Emit:
        """Takes text as it is generated."""
        return self._text

    @property
    def restart(self) -> dialects.Emit:
        """Tells the caller to drop the text that was sent."""
        return self._restart

    async def end(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send the outcome, and close the stream."""
        response = _problem.response_of(outcome, request_id)
        if not self._started and not isinstance(outcome, kernel.Complete):
            await send(self._send, response)
            return
        await self._event('outcome', json.loads(response.body))
        if not self._usable:
            return
        final = {'type': 'http.response.body', 'body': b''}
        await _asgi.deliver(self._send, final)

    async def _text(self, text: str) -> None:
        await self._event('token', {'text': text})

    async def _restart(self, _text: str) -> None:
        await self._event('restart', {})

    async def _event(self, name: str, plain: dict[str, Any]) -> None:
        if not self._started:
            self._started = True
            self._usable = await _asgi.start(self._send, _OK, STREAM)
        if not self._usable:
            return
        lines = f'event: {name}\ndata: {json.dumps(plain)}\n\n'
        part = {
            'type': 'http.response.body',
            'body': lines.encode(),
            'more_body': True,
        }
        self._usable = await _asgi.deliver(self._send, part)


async def send(send_event: _asgi.Send, response: _problem.Response) -> None:
    """Send a whole response."""
    await _asgi.send_bytes(
        send_event,
        response.status,
        response.body,
        response.content_type,
        response.headers,
    )
