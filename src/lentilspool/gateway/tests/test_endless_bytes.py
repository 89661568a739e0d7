"""Tests of requests at an endpoint that sends bytes without end."""

import logging

import pytest
import trio

from lentilspool.gateway import _events
from lentilspool.gateway.tests import application

OK = b'HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: 1\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % OK
EVENT = b'10\r\nid: 1\ndata: x\n\n\n\r\n'
# Bytes before, and bytes that are repeated.
SCRIPTS = {
    'no HTTP': (b'', b'\x00\xff' * 20_000),
    'head line': (b'HTTP/1.1 200 ', b'x' * 40_000),
    'header': (b'%bX: ' % OK, b'y' * 40_000),
    'headers': (OK, b'a: b\r\n' * 5000),
    'informational': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
    'other answers': (
        b'',
        b'HTTP/1.1 200 OK\r\nRequest-Id: f\r\nContent-Length: 1\r\n\r\nx' * 99,
    ),
    'other body': (
        b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n',
        b'x' * 40_000,
    ),
    'body': (b'%b\r\n' % OK, b'x' * 40_000),
    'small chunks': (CHUNKED, b'1\r\nx\r\n' * 5000),
    'chunk extension': (b'%b1;' % CHUNKED, b' ' * 40_000),
    'trailers': (b'%b0\r\n' % CHUNKED, b'a: b\r\n' * 5000),
    'failure body': (
        b'HTTP/1.1 500 E\r\nRequest-Id: ID\r\n\r\n',
        b'x' * 40_000,
    ),
}
# Longer than the bounds on bytes take on a busy machine.
LIMIT_MS = 7000


async def ask_sound(
    running: application.Application, answers: list[bytes]
) -> None:
    """Add the answer of a sound service."""
    with trio.fail_after(2):
        answers.append(await running.exchange('/safe-sound'))


class TestEndlessBytes:
    async def answers(
        self, script: tuple[bytes, bytes], path: str, pause_s: float
    ) -> tuple[bytes, bytes]:
        """Return the answer at a path, and one of a sound service meanwhile."""
        endpoint = application.ScriptedEndpoint(*script, pause_s)
        answer = b''
        others: list[bytes] = []
        with trio.fail_after(8):
            async with application.serving_application(
                endpoint, LIMIT_MS
            ) as running:
                running.nursery.start_soon(ask_sound, running, others)
                while not endpoint.requests:
                    answer = await running.exchange(path)
                while not (endpoint.closed and others):
                    await trio.sleep(0.01)
        return answer, others[0]

    @pytest.mark.parametrize('script', SCRIPTS.values(), ids=SCRIPTS)
    @pytest.mark.parametrize(
        ('path', 'status'),
        [
            ('/safe-both', b'200'),
            ('/unsafe-both', b'502'),
            ('/resumable-both', b'200'),
            ('/stream-both', b'502'),
        ],
    )
    def test_request_gets_its_answer(
        self,
        script: tuple[bytes, bytes],
        path: str,
        status: bytes,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        with caplog.at_level(logging.INFO):
            answer, other = trio.run(self.answers, script, path, 0)
        assert answer.split()[1] == status
        assert other.endswith(b'ok')
        attempts = [
            record.__dict__['fields']
            for record in caplog.records
            if record.__dict__.get('event') == _events.ATTEMPT_ENDED.number
        ]
        failed = [one for one in attempts if one['endpoint'] == 'a-scripted']
        assert [one['end'] for one in failed] == ['unknown']
        assert 0 < len(failed[0]['detail']) < 500

    @pytest.mark.parametrize(
        'script',
        [
            (CHUNKED + EVENT, b'1\r\nx\r\n'),
            (CHUNKED, EVENT),
            (CHUNKED + EVENT, b'400\r\n%b\r\n' % (b'x' * 1024)),
        ],
        ids=['slow event', 'repeated event', 'large event'],
    )
    def test_stream_is_resumed_elsewhere(
        self, script: tuple[bytes, bytes]
    ) -> None:
        answer, other = trio.run(self.answers, script, '/resumable-both', 0.01)
        assert b'200' in answer
        assert [answer.count(b'id: %d' % number) for number in (1, 2, 3)] == [
            1,
            1,
            1,
        ]
        assert answer.endswith(b'0\r\n\r\n')
        assert other.endswith(b'ok')

    def test_stream_that_cannot_resume_is_aborted(self) -> None:
        script = (CHUNKED + EVENT, b'400\r\n%b\r\n' % (b'x' * 1024))
        answer, _ = trio.run(self.answers, script, '/stream-both', 0)
        assert answer.count(b'id: 1') == 1
        assert not answer.endswith(b'0\r\n\r\n')
