"""Work of the endpoints that tests run: streams, answers and stage calls."""

import itertools
from collections.abc import Awaitable, Callable, Iterator
from typing import Final

import trio

from lentilspool.gateway import _http_server
from lentilspool.platform.tests import stand_ins

EVENTS: Final = 4
_OK: Final = 200
_UNAVAILABLE: Final = 503
_handles: Final = itertools.count(1)
Work = Callable[[_http_server.Request, _http_server.Reply], Awaitable[None]]


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: {number}\n\n'.encode()


def streaming(pauses_s: dict[int, float], events: int = EVENTS) -> Work:
    """Return work that streams, with pauses before some of the events.

    A pause before event 0 delays the head of the answer.
    """

    async def stream(
        request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        sent = stand_ins.decode_endpoint_request(request.headers)
        await trio.sleep(pauses_s.get(0, 0))
        headers = stand_ins.answer_headers(sent.request_id, 'stamp')
        await reply.write_head(_OK, headers, b'')
        for number in range(sent.last_event + 1, events + 1):
            await trio.sleep(pauses_s.get(number, 0))
            await reply.write_chunk(event(number))
        await reply.write_end()

    return stream


async def rejecting(
    request: _http_server.Request, reply: _http_server.Reply
) -> None:
    """Answer at once that a request has not run."""
    sent = stand_ins.decode_endpoint_request(request.headers)
    headers = stand_ins.rejection_headers(sent.request_id)
    await reply.write_complete(_UNAVAILABLE, headers, b'')


def breaking_after(events: int, pause_s: float) -> Work:
    """Return work that breaks off after some events, with equal pauses."""

    async def stream(
        request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        sent = stand_ins.decode_endpoint_request(request.headers)
        headers = stand_ins.answer_headers(sent.request_id, 'stamp')
        await reply.write_head(_OK, headers, b'')
        for number in range(1, events + 1):
            await trio.sleep(pause_s)
            await reply.write_chunk(event(number))
        await trio.sleep(pause_s)
        reply.abort()

    return stream


def in_turn(works: Iterator[Work]) -> Work:
    """Return work that does something else for each request."""

    async def work(
        request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        await next(works)(request, reply)

    return work


def answering(pause_s: float) -> Work:
    """Return work that sends a whole answer after a pause."""

    async def answer(
        request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        sent = stand_ins.decode_endpoint_request(request.headers)
        await trio.sleep(pause_s)
        headers = stand_ins.answer_headers(sent.request_id, 'stamp')
        length = (b'content-length', b'2')
        await reply.write_complete(_OK, [*headers, length], b'ok')

    return answer


def staging(pause_s: float) -> Work:
    """Return work that makes the results of stage calls after a pause."""

    async def make(
        request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        body = b''
        if stand_ins.is_stage_run(request.target):
            await trio.sleep(pause_s)
            pieces = stand_ins.decode_pieces(request.body)
            handles = [f'127.0.0.1:9/{next(_handles)}' for _ in pieces]
            body = stand_ins.encode_stage_answer(handles)
        length = (b'content-length', str(len(body)).encode())
        await reply.write_complete(_OK, [length], body)

    return make


def staging_each(pauses_s: Iterator[float]) -> Work:
    """Return work on stage calls, each with a pause of its own."""

    async def make(
        request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        is_run = stand_ins.is_stage_run(request.target)
        await staging(next(pauses_s, 0) if is_run else 0)(request, reply)

    return make
