"""Dialect of model engines that stream completions."""

import dataclasses
import json
from typing import Any, Final

import httpcore

from lentilspool import kernel, orders, pipeline
from lentilspool.dialects import _http, _types

_DATA: Final = b'data: '
_DONE: Final = b'[DONE]'
_TOKENS_PER_UNIT: Final = 1000
_PATH: Final = '/v1/completions'
_ORDER_TIMEOUT_S: Final = 30
_READ_TIMEOUT_S: Final = 2


@kernel.registry.register(kernel.PluginKind.endpoint_dialect, 'engine')
class EngineDialect:
    """Streams a completion; the answer is whole only after ``[DONE]``."""

    def __init__(self, client: _http.HttpClient) -> None:
        self._client = client

    async def call(
        self, call: _types.EndpointCall, emit: _types.Emit
    ) -> _types.EndpointAnswer:
        """Run one completion and emit its text as it is generated."""
        completion = dataclasses.replace(call, body=_completion(call))
        try:
            async with self._client.stream(_PATH, completion) as response:
                return await _read(response, emit)
        except _http.NOT_SENT as error:
            return _types.Refused(_http.describe(error), unreachable=True)
        except _http.BROKEN as error:
            return _types.EndpointFailed(_http.describe(error), crashed=True)
        except (httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return _types.EndpointFailed(_http.describe(error))

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()


class EngineOrders:
    """Gives orders to an engine and reads its state."""

    def __init__(self, client: _http.HttpClient) -> None:
        self._client = client

    async def order(self, order: orders.Order) -> orders.EngineAnswer:
        """Give one order and return what the engine answers."""
        body = {
            'fence': dataclasses.astuple(order.fencing),
            'state': dataclasses.asdict(order.target),
        }
        call = _types.EndpointCall(
            operation='orders',
            body=json.dumps(body).encode(),
            max_output_tokens=0,
            priority=0,
            timeout_s=_ORDER_TIMEOUT_S,
        )
        response = await self._client.post('/v1/orders', call)
        if not isinstance(response, tuple):
            return orders.NotApplied(order.fencing, response.reason)
        return _order_answer(order.fencing, *response)

    async def read(self, number: int, checked: bool) -> orders.Readback | None:
        """Return the engine's state for a read, or None if it is not had.

        ``checked`` tells whether the engine checks fencing numbers.
        """
        plain = await self._client.get_json('/v1/load', _READ_TIMEOUT_S)
        if plain is None:
            return None
        try:
            held = _fence(plain['fence']) if checked else None
            return orders.Readback(number, _state(plain['state']), held)
        except (KeyError, TypeError, ValueError):
            return None

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()


def _order_answer(
    fencing: orders.FencingNumber, status: int, body: bytes
) -> orders.EngineAnswer:
    if status >= _http.BAD_REQUEST:
        shown = body.decode(errors='replace')
        return orders.NotApplied(fencing, f'status {status}: {shown}')
    try:
        plain = json.loads(body)
        held = _fence(plain.get('fence'))
    except (AttributeError, TypeError, ValueError) as error:
        return orders.NotApplied(fencing, _http.describe(error))
    if 'refused' in plain and held is not None:
        return orders.RefusedOld(fencing, held)
    return orders.Applied(fencing)


def _fence(plain: Any) -> orders.FencingNumber | None:
    return orders.FencingNumber(*map(int, plain)) if plain else None


def _state(plain: dict[str, Any]) -> orders.EngineState:
    return orders.EngineState(
        model=str(plain.get('model', '')),
        model_version=str(plain.get('model_version', '')),
        adapters=tuple(sorted(plain.get('adapters', ()))),
        role=str(plain.get('role', '')),
    )


def _completion(call: _types.EndpointCall) -> bytes:
    """Return the body of a completion request for a stage's input."""
    fields = json.loads(call.body)
    return json.dumps(
        {
            'prompt': pipeline.build_prompt(fields, call.operation),
            'max_tokens': call.max_output_tokens,
            'priority': call.priority,
            'stream': True,
        }
    ).encode()


async def _read(
    response: httpcore.Response, emit: _types.Emit
) -> _types.EndpointAnswer:
    if response.status >= _http.BAD_REQUEST:
        refused = _http.refusal(response.status, await response.aread())
        return refused or _types.EndpointFailed('unexpected status')
    completion = _Completion()
    buffer = b''
    async for received in response.aiter_stream():
        *lines, buffer = (buffer + received).split(b'\n')
        for line in lines:
            text = completion.add(line)
            if text:
                await emit(text)
    return completion.answer()


class _Completion:
    """Collects the events of one streamed completion."""

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._tokens = 0
        self._done = False

    def add(self, line: bytes) -> str:
        """Take one line of the event stream; return its new text."""
        if not line.startswith(_DATA):
            return ''
        payload = line[len(_DATA) :].strip()
        if payload == _DONE:
            self._done = True
            return ''
        event = json.loads(payload)
        text = str(event.get('text', ''))
        self._parts.append(text)
        self._tokens = event.get('total_tokens', self._tokens)
        return text

    def answer(self) -> _types.EndpointAnswer:
        """Return the whole answer, or a failure if the stream was cut."""
        if not self._done:
            return _types.EndpointFailed('stream ended early', crashed=True)
        body = json.dumps({'text': ''.join(self._parts)}).encode()
        return _types.Answered(body, units=self._tokens / _TOKENS_PER_UNIT)
