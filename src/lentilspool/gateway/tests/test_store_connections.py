"""Tests of the store reader whose connections end after each answer."""

import logging
from functools import partial
from typing import Final

import msgspec
import pytest
import trio

from lentilspool import platform, settings
from lentilspool.gateway import _events, _published, _store
from lentilspool.gateway.tests import application, test_store

CHANGES: Final = 5
HEADS: Final = {
    'without a length': b'HTTP/1.1 200 OK\r\n\r\n',
    'HTTP/1.0': b'HTTP/1.0 200 OK\r\n\r\n',
    'keep-alive': (
        b'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n'
        b'Keep-Alive: timeout=9\r\n\r\n'
    ),
    'with a length': b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n',
}


class ClosingStore(test_store.FakeStore):
    """Store that ends the connection after each answer."""

    def __init__(self, head: bytes, *, reset: bool) -> None:
        super().__init__()
        self._head = head
        self._reset = reset
        self.calls = 0

    async def answer(self, stream: trio.SocketStream) -> None:
        request = await application.read_request(stream)
        self.calls += 1
        events: list[dict[str, object]] = []
        if b'/kv-watch' in request:
            await trio.sleep(test_store.CHANGE_INTERVAL_S)
            if self.revision <= CHANGES:
                self.revision += 1
                events.append(self.event(self.revision))
        body = msgspec.json.encode(
            {'current_rev': self.revision, 'items': [], 'events': events}
        )
        head = self._head
        if b'%d' in head:
            head %= len(body)
        await stream.send_all(head + body)
        if self._reset:
            await trio.sleep(test_store.CHANGE_INTERVAL_S)
            application.reset(stream)
        await stream.aclose()


class TestClosedConnections:
    async def read(
        self, store: ClosingStore, published: _published.PublishedState
    ) -> None:
        """Read from a store for half a second."""
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, store.answer, 0, host='127.0.0.1')
            )
            port = listeners[0].socket.getsockname()[1]
            own = settings.StoreSettings(
                f'127.0.0.1:{port}', gather_s=0, retry_s=0.01
            )
            reader = _store.StoreReader(
                platform.ENDPOINT_PREFIX, own, published
            )
            nursery.start_soon(reader.serve)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
    def test_store_is_not_lost(
        self, head: bytes, caplog: pytest.LogCaptureFixture
    ) -> None:
        store = ClosingStore(head, reset=False)
        published = _published.PublishedState()
        with caplog.at_level(logging.INFO):
            trio.run(self.read, store, published)
        assert len(published.endpoint_index.ready('s')) == CHANGES
        assert _losses(caplog) == 0

    def test_reset_answer_is_not_used(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        store = ClosingStore(HEADS['without a length'], reset=True)
        published = _published.PublishedState()
        with caplog.at_level(logging.INFO):
            trio.run(self.read, store, published)
        assert store.calls > 2
        assert published.revision == 0
        assert _losses(caplog) == 1


def _losses(caplog: pytest.LogCaptureFixture) -> int:
    return sum(
        record.__dict__.get('event') == _events.STORE_LOST.number
        for record in caplog.records
    )
