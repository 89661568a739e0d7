"""Tests of clients whose server writes an earlier answer once more."""

import contextlib
from functools import partial

import pytest
import trio

from lentilspool import dialects

REFUSED = b'HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull'
ANSWERED = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class RepeatingServer:
    """Writes the earlier answers of a connection ahead of the next one."""

    def __init__(self, *answers: bytes) -> None:
        self._answers = iter(answers)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of a connection."""
        written = b''
        with contextlib.suppress(trio.BrokenResourceError):
            async for received in stream:
                if b'\r\n\r\n' in received:
                    answer = next(self._answers)
                    await stream.send_all(b'%b%b' % (written, answer))
                    written = b'%b%b' % (written, answer)


@pytest.mark.parametrize('answers', [(REFUSED, ANSWERED), (ANSWERED, REFUSED)])
class TestRepeatedAnswers:
    def test_each_call_gets_its_own_answer(
        self, answers: tuple[bytes, bytes]
    ) -> None:
        statuses = trio.run(self.statuses, answers)
        assert statuses == [int(one.split()[1]) for one in answers]

    async def statuses(self, answers: tuple[bytes, bytes]) -> list[int]:
        """Return the statuses that two calls in turn get."""
        found = []
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(
                    trio.serve_tcp,
                    RepeatingServer(*answers).serve,
                    0,
                    host='127.0.0.1',
                )
            )
            port = listeners[0].socket.getsockname()[1]
            http = dialects.HttpClient(f'http://127.0.0.1:{port}', 2)
            for number in ('1', '2'):
                call = dialects.EndpointCall('', b'{}', 1, 0, 2, number)
                response = await http.post('/', call)
                assert isinstance(response, tuple)
                found.append(response[0])
            await http.aclose()
            nursery.cancel_scope.cancel()
        return found
