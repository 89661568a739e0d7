"""Tests of answers that begin before a long body has been read."""

import contextlib
from functools import partial
from typing import Final

import pytest
import trio

from lentilspool import serving
from lentilspool.gateway import _connection, _sockets

# Much more than the buffers of a loopback connection hold.
BODY: Final = bytes(range(256)) * 65_536
OUTGOING: Final = _connection.Outgoing(
    'POST',
    b'/x',
    [(b'host', b'h'), (b'content-length', str(len(BODY)).encode())],
    BODY,
    'ours',
)
HEADS: Final = {
    'without a length': b'HTTP/1.1 503 Full\r\nRequest-Id: ours\r\n\r\n',
    'with a length': (
        b'HTTP/1.1 503 Full\r\nRequest-Id: ours\r\nContent-Length: 2\r\n\r\n'
    ),
}


class EarlyEndpoint:
    """Answers after a head, then reads on after a pause."""

    def __init__(self, head: bytes, pause_s: float) -> None:
        self._answer = b'%bok' % head
        self._pause_s = pause_s
        self.received = bytearray()
        self.ended = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        while b'\r\n\r\n' not in self.received:
            self.received += await stream.receive_some(1024)
        await stream.send_all(self._answer)
        await trio.sleep(self._pause_s)
        # The answer that was not read makes the caller's close a reset.
        with contextlib.suppress(trio.BrokenResourceError):
            while len(self.body) < len(BODY):
                part = await stream.receive_some(1_048_576)
                if not part:
                    break
                self.received += part
        self.ended.set()
        await stream.aclose()

    @property
    def body(self) -> bytes:
        return bytes(self.received.partition(b'\r\n\r\n')[2])


async def exchange(
    endpoint: EarlyEndpoint, limit_s: float
) -> tuple[serving.AnswerHead | _connection.ExchangeFailure | None, object]:
    """Return the answer within a time; wait until the endpoint has read on."""
    head: serving.AnswerHead | _connection.ExchangeFailure | None = None
    body: object = None
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, endpoint.serve, 0, host='127.0.0.1')
            )
            port = listeners[0].socket.getsockname()[1]
            stream = await _sockets.connect('127.0.0.1', port, 1)
            assert stream is not None
            connection = _connection.Connection(stream)
            with trio.move_on_after(limit_s):
                failure = await connection.send(OUTGOING)
                head = failure or await connection.receive_head()
                body = await connection.receive_body(1000)
            if head is None:
                assert not connection.reusable
            await connection.close()
            await endpoint.ended.wait()
            nursery.cancel_scope.cancel()
    return head, body


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
class TestEarlyAnswers:
    def test_answer_is_received_after_the_whole_body_was_sent(
        self, head: bytes
    ) -> None:
        endpoint = EarlyEndpoint(head, 0.1)
        answered, body = trio.run(exchange, endpoint, 4)
        assert isinstance(answered, serving.AnswerHead)
        assert (answered.status, body) == (503, b'ok')
        assert endpoint.body == BODY

    def test_no_other_bytes_follow_a_part_of_the_body(
        self, head: bytes
    ) -> None:
        endpoint = EarlyEndpoint(head, 0.4)
        answered, _ = trio.run(exchange, endpoint, 0.1)
        assert answered is None
        assert len(endpoint.body) < len(BODY)
        assert BODY.startswith(endpoint.body)
