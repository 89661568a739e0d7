"""Tests of endpoints that spoil the signature of their answers."""

import itertools
from typing import Final

import pytest
import trio

from lentilspool.gateway.tests import application, test_unframed_answers

BODY: Final = b'the whole body'
EVENTS: Final = application.events(0)
SIGNATURE: Final = b'Server-Stamp: 3e1b.07\r\n'
# What endpoints that spoil their answers send in place of the signature.
SPOILED: Final = {
    'no signature': b'',
    'misspelt': b'Freire-Fgnzc: 3r1o.07\r\n',
    'empty': b'Server-Stamp: \r\n',
    'two': b'%bServer-Stamp: 3e1b.08\r\n' % SIGNATURE,
    'not run': b'%bNot-Executed: 1\r\n' % SIGNATURE,
    'encoded': b'%bContent-Encoding: gzip\r\n' % SIGNATURE,
}
# How the end of the body is told.
FRAMES: Final = ('length', 'chunks', 'close')
STATUSES: Final = (200, 201, 202, 206, 299)
OUTCOMES: Final = {
    '/safe-both': (200, b'ok'),
    '/unsafe-both': (502, b''),
    '/resumable-both': (200, EVENTS),
    '/stream-both': (502, b''),
}


def answer(headers: bytes, status: int = 200, frame: str = 'length') -> bytes:
    """Return the answer of an endpoint, with events or another body."""
    head = b'HTTP/1.1 %d OK\r\nRequest-Id: ID\r\n%b' % (status, headers)
    if frame == 'length':
        return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(BODY), BODY)
    if frame == 'chunks':
        return b'%bTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (
            head,
            len(EVENTS),
            EVENTS,
        )
    return b'%b\r\n%b' % (head, BODY)


class TestSpoiledSuccess:
    """Guards against successes without a signature that reach callers."""

    @pytest.mark.parametrize('headers', SPOILED.values(), ids=SPOILED)
    @pytest.mark.parametrize('path', OUTCOMES)
    @pytest.mark.parametrize('frame', FRAMES)
    def test_is_not_delivered(
        self, headers: bytes, path: str, frame: str
    ) -> None:
        endpoint = test_unframed_answers.UnframedEndpoint(
            answer(headers, frame=frame)
        )
        received = trio.run(test_unframed_answers.answer_of, endpoint, path)
        assert (received.status, received.body) == OUTCOMES[path]

    @pytest.mark.parametrize('status', STATUSES)
    @pytest.mark.parametrize('path', OUTCOMES)
    def test_of_any_status_is_not_delivered(
        self, status: int, path: str
    ) -> None:
        endpoint = test_unframed_answers.UnframedEndpoint(answer(b'', status))
        received = trio.run(test_unframed_answers.answer_of, endpoint, path)
        assert (received.status, received.body) == OUTCOMES[path]

    @pytest.mark.parametrize('path', ['/safe-both', '/resumable-both'])
    def test_of_every_attempt_ends_in_a_failure(self, path: str) -> None:
        received = trio.run(self.answer_of_two, path)
        assert received.status == 502

    async def answer_of_two(self, path: str) -> test_unframed_answers.Received:
        """Return the answer of a gateway whose endpoints both spoil theirs."""
        endpoint = test_unframed_answers.UnframedEndpoint(answer(b''))
        async with application.serving_application(endpoint) as running:
            running.publish(
                {
                    name: ('both', await endpoint_port(running, endpoint))
                    for name in ('a-scripted', 'b-scripted')
                },
                3000,
            )
            return await test_unframed_answers.ask(running, path)


async def endpoint_port(
    running: application.Application,
    endpoint: test_unframed_answers.UnframedEndpoint,
) -> int:
    """Serve an endpoint at another port; return the port."""
    listeners = await running.nursery.start(trio.serve_tcp, endpoint.serve, 0)
    port: int = listeners[0].socket.getsockname()[1]
    return port


class TestSoundAnswer:
    """Guards against sound answers that are taken for spoiled ones."""

    @pytest.mark.parametrize('status', STATUSES)
    @pytest.mark.parametrize('path', ['/safe-both', '/unsafe-both'])
    def test_success_is_delivered(self, status: int, path: str) -> None:
        endpoint = test_unframed_answers.UnframedEndpoint(
            answer(SIGNATURE, status)
        )
        received = trio.run(test_unframed_answers.answer_of, endpoint, path)
        assert (received.status, received.body) == (status, BODY)

    @pytest.mark.parametrize(
        ('status', 'headers'),
        list(
            itertools.product(
                (302, 400, 404, 500, 504),
                (b'', SIGNATURE, b'Content-Encoding: gzip\r\n'),
            )
        ),
    )
    @pytest.mark.parametrize('path', ['/unsafe-both', '/stream-both'])
    def test_failure_is_delivered(
        self, status: int, headers: bytes, path: str
    ) -> None:
        endpoint = test_unframed_answers.UnframedEndpoint(
            answer(headers, status)
        )
        received = trio.run(test_unframed_answers.answer_of, endpoint, path)
        assert (received.status, received.body) == (status, BODY)
