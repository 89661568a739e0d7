"""Replies to callers as one JSON document or as server-sent events."""

import json
from typing import Any, Final, Protocol

from lentilspool import dialects, kernel
from lentilspool.daemons import _asgi, _problem

EVENT_STREAM: Final = 'text/event-stream'
_OK: Final = 200


class Reply(Protocol):
    """Delivers the outcome of one request to its caller."""

    @property
    def emit(self) -> dialects.Emit | None:
        """Sends generated text to the caller; None if it does not stream."""
        ...

    @property
    def restart(self) -> dialects.Emit | None:
        """Tells the caller to discard the text sent; None without streaming."""
        ...

    async def finish(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send the outcome; the reply is complete."""
        ...


class JsonReply:
    """Answers with one JSON response."""

    def __init__(self, send_message: _asgi.Send) -> None:
        self._send = send_message

    @property
    def emit(self) -> None:
        """None, because text is sent only as part of the outcome."""

    @property
    def restart(self) -> None:
        """None, because no text is sent before the outcome."""

    async def finish(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send the response."""
        await send_response(
            self._send, _problem.response_of(outcome, request_id)
        )


class NoReply:
    """Sends nothing, because the outcome is collected later by token."""

    @property
    def emit(self) -> None:
        """None, because no caller is connected."""

    @property
    def restart(self) -> None:
        """None, because no caller is connected."""

    async def finish(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send nothing."""


class EventStreamReply:
    """Answers with server-sent events; the last one carries the outcome."""

    def __init__(self, send_message: _asgi.Send) -> None:
        self._send = send_message
        self._started = False
        self._connected = True

    @property
    def emit(self) -> dialects.Emit:
        """Sends generated text as an event."""
        return self._send_text

    @property
    def restart(self) -> dialects.Emit:
        """Tells the caller to discard the text sent so far."""
        return self._send_restart

    async def finish(self, outcome: kernel.Outcome, request_id: str) -> None:
        """Send the outcome as the last event and end the stream.

        If no event was sent yet, an outcome other than ``Complete`` is sent as
        a plain HTTP response, so that its status reaches the caller.
        """
        response = _problem.response_of(outcome, request_id)
        if not self._started and not isinstance(outcome, kernel.Complete):
            await send_response(self._send, response)
            return
        await self._send_event('outcome', json.loads(response.body))
        if not self._connected:
            return
        message = {'type': 'http.response.body', 'body': b''}
        await _asgi.try_send(self._send, message)

    async def _send_text(self, text: str) -> None:
        await self._send_event('token', {'text': text})

    async def _send_restart(self, _text: str) -> None:
        await self._send_event('restart', {})

    async def _send_event(self, name: str, fields: dict[str, Any]) -> None:
        if not self._started:
            self._started = True
            self._connected = await _asgi.send_response_start(
                self._send, _OK, EVENT_STREAM
            )
        if not self._connected:
            return
        lines = f'event: {name}\ndata: {json.dumps(fields)}\n\n'
        message = {
            'type': 'http.response.body',
            'body': lines.encode(),
            'more_body': True,
        }
        self._connected = await _asgi.try_send(self._send, message)


async def send_response(
    send_message: _asgi.Send, response: _problem.Response
) -> None:
    """Send a complete HTTP response."""
    await _asgi.send_bytes(
        send_message,
        response.status,
        response.body,
        response.content_type,
        response.headers,
    )
