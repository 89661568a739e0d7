"""Tests of stage calls whose answers end with their connection."""

from functools import partial
from typing import Final

import h11
import pytest
import trio

from lentilspool import platform, settings
from lentilspool.gateway import _published
from lentilspool.gateway.tests import application, builders, works
from lentilspool.platform.tests import stand_ins

STAGES: Final = [{'service': builders.STAGE, 'after': [], 'bytes': 10}]
ALL_EVENTS: Final = b''.join(
    works.event(number) for number in range(1, works.EVENTS + 1)
)
HEADS: Final = {
    'bare': b'HTTP/1.1 200 OK\r\n\r\n',
    'HTTP/1.0': b'HTTP/1.0 200 OK\r\n\r\n',
    'keep-alive': (
        b'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n'
        b'Keep-Alive: timeout=9\r\n\r\n'
    ),
}


async def read_call(stream: trio.SocketStream) -> tuple[bytes, bytes]:
    """Return target and body; nothing at the end of the stream."""
    server = h11.Connection(h11.SERVER)
    target = b''
    body = b''
    while True:
        event = server.next_event()
        if event is h11.NEED_DATA:
            server.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            target = event.target
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return target, body


class StageEndpoint(builders.Endpoint):
    """Answers stage calls without a length; ends or resets the connection."""

    def __init__(self, head: bytes, reset: bool) -> None:
        super().__init__('s', builders.STAGE, works.staging(0))
        self._head = head
        self._reset = reset
        self._port = 0
        self.targets: list[bytes] = []

    def entry(self, revision: int) -> _published.StoredItem:
        """Return its entry in the store, with the address of ``serve``."""
        address = f'127.0.0.1:{self._port}'
        payload = stand_ins.encode_entry(
            self.service, address, 8, 1, ready=True
        )
        key = f'{platform.ENDPOINT_PREFIX}{self.name}'
        return _published.StoredItem(key, payload, revision)

    async def listen(self, nursery: trio.Nursery) -> None:
        """Serve calls at a free port."""
        listeners = await nursery.start(
            partial(trio.serve_tcp, self.answer, 0, host='127.0.0.1')
        )
        self._port = listeners[0].socket.getsockname()[1]

    async def answer(self, stream: trio.SocketStream) -> None:
        target, body = await read_call(stream)
        if not target:
            return
        self.targets.append(target)
        answer = b''
        if stand_ins.is_stage_run(target):
            handles = [
                f'127.0.0.1:{self._port}/{one.request_id}-{one.piece}'
                for one in stand_ins.decode_pieces(body)
            ]
            answer = stand_ins.encode_stage_answer(handles)
        await stream.send_all(self._head + answer)
        if self._reset:
            # The bytes before a reset are read first.
            await trio.sleep(0.05)
            application.reset(stream)
        await stream.aclose()


async def received_with(stages: StageEndpoint) -> builders.Received:
    """Return the answer to a request with a stage; wait for later calls."""
    route = builders.route('draft', 'streaming', builders.ENGINE, stages=STAGES)
    engine = builders.Endpoint('e', builders.ENGINE, works.streaming({}))
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            gateway = builders.Gateway(
                nursery, settings.SendSettings(), settings.StopSettings()
            )
            await stages.listen(nursery)
            await gateway.start([engine, stages], [route])
            received = await gateway.request('/draft/', '1')
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
    return received


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
class TestStageCalls:
    def test_whole_answers_are_used(self, head: bytes) -> None:
        stages = StageEndpoint(head, reset=False)
        received = trio.run(received_with, stages)
        assert received == builders.Received(200, ALL_EVENTS, whole=True)
        runs = [stand_ins.is_stage_run(one) for one in stages.targets]
        assert runs == [True, False]

    def test_reset_answers_are_not_used(self, head: bytes) -> None:
        stages = StageEndpoint(head, reset=True)
        received = trio.run(received_with, stages)
        assert received == builders.Received(503, b'', whole=True)
        assert all(map(stand_ins.is_stage_run, stages.targets))
