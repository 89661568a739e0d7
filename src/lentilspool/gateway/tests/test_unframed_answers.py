"""Tests of answers without a length that end with their connection."""

import contextlib
import dataclasses
import itertools
import re
from typing import Final

import pytest
import trio

from lentilspool.gateway.tests import application

RECEIVE_BYTES: Final = 65536
_numbers: Final = itertools.count(1)
BODY: Final = b'the whole body'
EVENTS: Final = application.events(0)
CRLF_EVENTS: Final = EVENTS.replace(b'\n', b'\r\n')
UNNUMBERED: Final = b'data: x\n\ndata: y\n\n'
STAMP: Final = b'Request-Id: ID\r\nServer-Stamp: 3e1b.07\r\n'
HEAD: Final = b'HTTP/1.1 200 OK\r\n%b\r\n' % STAMP
FOREIGN: Final = b'HTTP/1.1 200 OK\r\nRequest-Id: f\r\nServer-Stamp: other\r\n'
HEADS: Final = {
    'bare': HEAD,
    'HTTP/1.0': HEAD.replace(b'1.1', b'1.0'),
    'close': b'HTTP/1.1 200 OK\r\nConnection: close\r\n%b\r\n' % STAMP,
    'keep-alive': (
        b'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n'
        b'Keep-Alive: timeout=9\r\n%b\r\n' % STAMP
    ),
    'HTTP/1.0 keep-alive': (
        b'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n'
        b'Keep-Alive: timeout=9\r\n%b\r\n' % STAMP
    ),
    'after informational answers': (
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n%b'
        % HEAD
    ),
    'after an answer to another request': (
        b'%bContent-Length: 3\r\n\r\nbad%b' % (FOREIGN, HEAD)
    ),
}


class UnframedEndpoint(application.ScriptedEndpoint):
    """Sends a script and ends the connection.

    Its first request may get a framed answer first, which does not end it.
    """

    def __init__(
        self, script: bytes, *, framed: bytes = b'', reset: bool = False
    ) -> None:
        super().__init__(b'', b'', 0)
        self._script = script
        self._framed = framed
        self._reset = reset
        self.on_connections: list[int] = []

    async def serve(self, stream: trio.SocketStream) -> None:
        scripts = [self._script]
        if self._framed and not self.requests:
            scripts = [self._framed, self._script]
        served = 0
        for script in scripts:
            request = await application.read_request(stream)
            found = application.REQUEST_ID.search(request)
            if found is None:
                break
            served += 1
            self.requests += 1
            await stream.send_all(script.replace(b'ID', found[1]))
        if self._reset:
            # The bytes before a reset are read first.
            await trio.sleep(0.05)
            application.reset(stream)
        await stream.aclose()
        if served:
            self.on_connections.append(served)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller has received on one connection."""

    status: int
    """Status of the answer; 0 if there is none."""

    headers: bytes
    """Headers, with names in lower case."""

    body: bytes
    """Body without its transfer coding."""

    whole: bool
    """Whether the answer looks complete to the caller."""


async def ask(
    running: application.Application, path: str, version: str = '1.1'
) -> Received:
    """Send one request on a connection; return its answer."""
    stream = await trio.open_tcp_stream('127.0.0.1', running.server.port)
    lines = [
        f'GET {path}/x HTTP/{version}',
        'Host: h',
        f'Request-Id: {next(_numbers)}',
        *(['Connection: close'] if version == '1.1' else []),
    ]
    await stream.send_all('\r\n'.join([*lines, '', '']).encode())
    received = bytearray()
    reset = True
    async with stream:
        with contextlib.suppress(trio.BrokenResourceError):
            async for part in stream:
                received.extend(part)
            reset = False
    return decode(bytes(received), reset)


def decode(received: bytes, reset: bool) -> Received:
    """Return an answer as RFC 9112, section 6.3, frames it."""
    head, _, body = received.partition(b'\r\n\r\n')
    if not head:
        return Received(0, b'', b'', whole=False)
    status_line, _, headers = head.partition(b'\r\n')
    status = int(status_line.split()[1])
    headers = headers.lower()
    length = re.search(rb'content-length: (\d+)', headers)
    whole = not reset
    if b'transfer-encoding: chunked' in headers:
        whole = body.endswith(b'0\r\n\r\n')
        chunks = re.split(rb'(?:^|\r\n)[0-9a-f]+\r\n', body)
        body = b''.join(chunks).removesuffix(b'\r\n')
    elif length:
        whole = len(body) == int(length[1])
    return Received(status, headers, body, whole)


async def answer_of(
    endpoint: UnframedEndpoint, path: str, version: str = '1.1'
) -> Received:
    """Return the answer of a gateway with an endpoint and a sound one."""
    with trio.fail_after(6):
        async with application.serving_application(endpoint) as running:
            answer = Received(0, b'', b'', whole=False)
            # Either endpoint may be chosen for a request without a plan.
            while not endpoint.requests:
                answer = await ask(running, path, version)
    return answer


@pytest.mark.parametrize('version', ['1.1', '1.0'])
class TestWholeAnswer:
    @pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
    @pytest.mark.parametrize('path', ['/safe-both', '/unsafe-both'])
    def test_is_delivered_once_with_its_head(
        self, head: bytes, path: str, version: str
    ) -> None:
        endpoint = UnframedEndpoint(head + BODY)
        answer = trio.run(answer_of, endpoint, path, version)
        assert answer.whole
        assert (answer.status, answer.body) == (200, BODY)
        assert b'server-stamp: 3e1b.07' in answer.headers
        assert b'keep-alive: timeout' not in answer.headers
        assert endpoint.requests == 1

    @pytest.mark.parametrize('status', [404, 409, 500, 504])
    @pytest.mark.parametrize('path', ['/unsafe-both', '/stream-both'])
    def test_failure_is_delivered(
        self, status: int, path: str, version: str
    ) -> None:
        head = HEAD.replace(b'200', b'%d' % status)
        endpoint = UnframedEndpoint(head + BODY)
        answer = trio.run(answer_of, endpoint, path, version)
        assert answer.whole
        assert (answer.status, answer.body) == (status, BODY)
        assert b'server-stamp: 3e1b.07' in answer.headers

    @pytest.mark.parametrize('status', [204, 304])
    def test_without_a_body_is_delivered_without_a_length(
        self, status: int, version: str
    ) -> None:
        head = HEAD.replace(b'200', b'%d' % status)
        endpoint = UnframedEndpoint(head)
        answer = trio.run(answer_of, endpoint, '/unsafe-both', version)
        assert (answer.status, answer.body) == (status, b'')
        assert b'content-length' not in answer.headers
        assert b'transfer-encoding' not in answer.headers

    @pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
    @pytest.mark.parametrize('events', [EVENTS, CRLF_EVENTS])
    @pytest.mark.parametrize('path', ['/resumable-both', '/stream-both'])
    def test_stream_is_delivered_once(
        self, head: bytes, events: bytes, path: str, version: str
    ) -> None:
        endpoint = UnframedEndpoint(head + events)
        answer = trio.run(answer_of, endpoint, path, version)
        assert answer.whole
        assert (answer.status, answer.body) == (200, events)
        assert b'server-stamp: 3e1b.07' in answer.headers
        assert endpoint.requests == 1


FIRST_END: Final = EVENTS.index(b'\n\n') + 2
CRLF_FIRST_END: Final = CRLF_EVENTS.index(b'\r\n\r\n') + 4
# Streams that end before the end of an event.
CUT_STREAMS: Final = {
    **{
        f'LF, after {size} bytes': EVENTS[:size]
        for size in range(FIRST_END + 1, 2 * FIRST_END)
    },
    **{
        f'CR LF, after {size} bytes': CRLF_EVENTS[:size]
        for size in range(CRLF_FIRST_END + 1, 2 * CRLF_FIRST_END)
    },
}


class TestStreamWithoutNumbers:
    def test_is_delivered(self) -> None:
        endpoint = UnframedEndpoint(HEAD + UNNUMBERED)
        answer = trio.run(answer_of, endpoint, '/stream-both')
        assert (answer.body, answer.whole) == (UNNUMBERED, True)


class TestStreamThatEndsInsideAnEvent:
    @pytest.mark.parametrize('part', CUT_STREAMS.values(), ids=CUT_STREAMS)
    @pytest.mark.parametrize('version', ['1.1', '1.0'])
    def test_does_not_look_complete(self, part: bytes, version: str) -> None:
        endpoint = UnframedEndpoint(HEAD + part)
        answer = trio.run(answer_of, endpoint, '/stream-both', version)
        assert not answer.whole
        assert b'id: 2' not in answer.body

    @pytest.mark.parametrize('part', CUT_STREAMS.values(), ids=CUT_STREAMS)
    def test_is_resumed_where_allowed(self, part: bytes) -> None:
        endpoint = UnframedEndpoint(HEAD + part)
        answer = trio.run(answer_of, endpoint, '/resumable-both')
        assert answer.whole
        assert answer.body.replace(b'\r', b'') == EVENTS

    @pytest.mark.parametrize('size', range(1, FIRST_END))
    def test_first_event_fails_the_request(self, size: int) -> None:
        endpoint = UnframedEndpoint(HEAD + EVENTS[:size])
        answer = trio.run(answer_of, endpoint, '/stream-both')
        assert answer.status == 502


class TestStreamWithoutEvents:
    """May have been broken off before its first event."""

    @pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
    @pytest.mark.parametrize('blank', [b'', b'\n', b'\r\n'])
    def test_does_not_look_complete(self, head: bytes, blank: bytes) -> None:
        endpoint = UnframedEndpoint(head + blank)
        answer = trio.run(answer_of, endpoint, '/stream-both')
        assert (answer.status, answer.whole) == (502, True)
        endpoint = UnframedEndpoint(head + blank)
        answer = trio.run(answer_of, endpoint, '/resumable-both')
        assert (answer.status, answer.body) == (200, EVENTS)

    def test_is_delivered_if_it_has_a_length(self) -> None:
        framed = HEAD.replace(b'\r\n\r\n', b'\r\nContent-Length: 0\r\n\r\n')
        answer = trio.run(answer_of, UnframedEndpoint(framed), '/stream-both')
        assert (answer.status, answer.body, answer.whole) == (200, b'', True)


class TestResetAnswer:
    @pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
    @pytest.mark.parametrize('body', [b'', BODY])
    def test_is_a_failure_or_retried(self, head: bytes, body: bytes) -> None:
        endpoint = UnframedEndpoint(head + body, reset=True)
        answer = trio.run(answer_of, endpoint, '/unsafe-both')
        assert (answer.status, answer.whole) == (502, True)
        endpoint = UnframedEndpoint(head + body, reset=True)
        answer = trio.run(answer_of, endpoint, '/safe-both')
        assert (answer.status, answer.body) == (200, b'ok')

    @pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
    @pytest.mark.parametrize('events', [EVENTS, CRLF_EVENTS])
    @pytest.mark.parametrize('version', ['1.1', '1.0'])
    def test_stream_does_not_look_complete(
        self, head: bytes, events: bytes, version: str
    ) -> None:
        endpoint = UnframedEndpoint(head + events, reset=True)
        answer = trio.run(answer_of, endpoint, '/stream-both', version)
        assert not answer.whole

    @pytest.mark.parametrize('events', [b'', EVENTS[:FIRST_END], EVENTS])
    def test_stream_is_resumed_where_allowed(self, events: bytes) -> None:
        endpoint = UnframedEndpoint(HEAD + events, reset=True)
        answer = trio.run(answer_of, endpoint, '/resumable-both')
        assert answer.whole
        assert answer.body == EVENTS

    def test_stream_without_an_event_fails(self) -> None:
        endpoint = UnframedEndpoint(HEAD, reset=True)
        answer = trio.run(answer_of, endpoint, '/stream-both')
        assert answer.status == 502


class TestAnswerToAnotherRequest:
    """Ends with the connection, so that ours cannot follow."""

    @pytest.mark.parametrize('reset', [False, True])
    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('/unsafe-both', (502, b'')),
            ('/safe-both', (200, b'ok')),
            ('/stream-both', (502, b'')),
            ('/resumable-both', (200, EVENTS)),
        ],
    )
    def test_is_never_delivered(
        self, path: str, expected: tuple[int, bytes], reset: bool
    ) -> None:
        endpoint = UnframedEndpoint(
            b'%b\r\n%b%b' % (FOREIGN, HEAD, BODY), reset=reset
        )
        answer = trio.run(answer_of, endpoint, path)
        assert (answer.status, answer.body) == expected
        assert b'other' not in answer.headers


class TestConnection:
    @pytest.mark.parametrize(
        'head',
        [head for head in HEADS.values() if b'Content-Length' not in head],
    )
    def test_is_not_used_again(self, head: bytes) -> None:
        endpoint = UnframedEndpoint(head + BODY)

        assert trio.run(self.bodies, endpoint, 3) == [BODY, BODY, BODY]
        assert endpoint.on_connections == [1, 1, 1]

    def test_carries_an_unframed_answer_after_another_one(self) -> None:
        framed = HEAD.replace(b'\r\n\r\n', b'\r\nContent-Length: 1\r\n\r\nf')
        endpoint = UnframedEndpoint(HEAD + BODY, framed=framed)
        assert trio.run(self.bodies, endpoint, 3) == [b'f', BODY, BODY]
        assert sorted(endpoint.on_connections) == [1, 2]

    async def bodies(
        self, endpoint: UnframedEndpoint, count: int
    ) -> list[bytes]:
        """Return the first bodies that the endpoint sends."""
        bodies: list[bytes] = []
        with trio.fail_after(5):
            async with application.serving_application(endpoint) as running:
                while len(bodies) < count:
                    answer = await ask(running, '/unsafe-both')
                    assert (answer.status, answer.whole) == (200, True)
                    # The sound endpoint may be chosen as well.
                    bodies += [answer.body] if answer.body != b'ok' else []
        return bodies
