"""Dialect of model engines that stream completions."""

import dataclasses
import json
from typing import Any, Final

import httpcore

from lentilspool import kernel, orders, pipeline
from lentilspool.dialects import _http, _types

_DATA_PREFIX: Final = b'data: '
_END_MARKER: Final = b'[DONE]'
_TOKENS_PER_UNIT: Final = 1000
_COMPLETIONS_PATH: Final = '/v1/completions'
_ORDER_TIMEOUT_S: Final = 30
_READ_TIMEOUT_S: Final = 2
_MAX_REASON_BYTES: Final = 200
_UNREADABLE_ERRORS: Final = (
    AttributeError,
    RecursionError,
    TypeError,
    ValueError,
)


@kernel.registry.register(kernel.PluginKind.endpoint_dialect, 'engine')
class EngineDialect:
    """Streams a completion, which is complete only once ``[DONE]`` arrives."""

    def __init__(self, client: _http.HttpClient) -> None:
        self._client = client

    async def call(
        self, call: _types.EndpointCall, emit: _types.Emit
    ) -> _types.EndpointAnswer:
        """Run one completion and emit its text as it is generated."""
        completion = dataclasses.replace(call, body=_completion_body(call))
        try:
            async with self._client.stream(
                _COMPLETIONS_PATH, completion
            ) as response:
                return await _read_completion(response, emit)
        except _http.NOT_SENT_ERRORS as error:
            return _types.Refused(_http.describe(error), unreachable=True)
        except _http.CONNECTION_LOST_ERRORS as error:
            return _types.EndpointFailed(_http.describe(error), crashed=True)
        except (httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return _types.EndpointFailed(_http.describe(error))

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()


class EngineOrderClient:
    """Client that sends orders to an engine and reads the engine's state."""

    def __init__(self, client: _http.HttpClient) -> None:
        self._client = client

    async def send_order(self, order: orders.Order) -> orders.EngineAnswer:
        """Send one order and return the engine's answer."""
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

    async def read(
        self, number: int, checked: bool
    ) -> orders.ReportedState | None:
        """Read the engine's state; return None if it cannot be read.

        ``number`` identifies the read in the result. ``checked`` is whether
        the engine checks fencing numbers and so reports the latest one.
        """
        plain = await self._client.get_json('/v1/load', _READ_TIMEOUT_S)
        if plain is None:
            return None
        try:
            fencing = _fencing_number(plain['fence']) if checked else None
            return orders.ReportedState(
                number, _engine_state(plain['state']), fencing
            )
        except (KeyError, TypeError, ValueError):
            return None

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()


def _order_answer(
    fencing: orders.FencingNumber, status: int, body: bytes
) -> orders.EngineAnswer:
    if status >= _http.BAD_REQUEST:
        text = body[:_MAX_REASON_BYTES].decode(errors='replace')
        return orders.NotApplied(fencing, f'status {status}: {text}')
    try:
        plain = json.loads(body)
        latest = _fencing_number(plain.get('fence'))
    except _UNREADABLE_ERRORS as error:
        return orders.NotApplied(fencing, _http.describe(error))
    if 'refused' in plain and latest is not None:
        return orders.RefusedOld(fencing, latest)
    return orders.Applied(fencing)


def _fencing_number(plain: Any) -> orders.FencingNumber | None:
    return orders.FencingNumber(*map(int, plain)) if plain else None


def _engine_state(plain: dict[str, Any]) -> orders.EngineState:
    return orders.EngineState(
        model=str(plain.get('model', '')),
        model_version=str(plain.get('model_version', '')),
        adapters=tuple(sorted(plain.get('adapters', ()))),
        role=str(plain.get('role', '')),
    )


def _completion_body(call: _types.EndpointCall) -> bytes:
    """Build the body of a completion request from a stage's input."""
    fields = json.loads(call.body)
    return json.dumps(
        {
            'prompt': pipeline.build_prompt(fields, call.operation),
            'max_tokens': call.max_output_tokens,
            'priority': call.priority,
            'stream': True,
        }
    ).encode()


async def _read_completion(
    response: httpcore.Response, emit: _types.Emit
) -> _types.EndpointAnswer:
    if response.status >= _http.BAD_REQUEST:
        failure = _http.classify_status(
            response.status, await _http.read_body(response)
        )
        return failure or _types.EndpointFailed('unexpected status')
    completion = _Completion()
    limit = _http.BodyLimit()
    line = bytearray()
    async for received in response.aiter_stream():
        await limit.add(received)
        # Only new bytes are searched: a line may have no end.
        first, *others = received.split(b'\n')
        line.extend(first)
        for other in others:
            if line:
                await _emit_line(completion, line, emit)
            line = bytearray(other)
    return completion.answer()


async def _emit_line(
    completion: '_Completion', line: bytearray, emit: _types.Emit
) -> None:
    try:
        text = completion.add(bytes(line))
    except _UNREADABLE_ERRORS as error:
        raise httpcore.ProtocolError(f'unreadable event: {error}') from error
    if text:
        await emit(text)


class _Completion:
    """Assembles the answer from the events of one streamed completion."""

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._tokens = 0
        self._done = False

    def add(self, line: bytes) -> str:
        """Process one line of the event stream; return the text it adds."""
        if not line.startswith(_DATA_PREFIX):
            return ''
        payload = line[len(_DATA_PREFIX) :].strip()
        if payload == _END_MARKER:
            self._done = True
            return ''
        event = json.loads(payload)
        text = str(event.get('text', ''))
        self._parts.append(text)
        self._tokens = event.get('total_tokens', self._tokens)
        return text

    def answer(self) -> _types.EndpointAnswer:
        """Return the complete answer, or a failure if the stream was cut off."""
        if not self._done:
            return _types.EndpointFailed('stream ended early', crashed=True)
        body = json.dumps({'text': ''.join(self._parts)}).encode()
        return _types.Answered(body, units=self._tokens / _TOKENS_PER_UNIT)
