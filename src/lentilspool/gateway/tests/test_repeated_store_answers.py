"""Tests of a store reader whose store writes earlier answers once more."""

from functools import partial

import pytest
import trio

from lentilspool import platform, settings
from lentilspool.gateway import _http_server, _published, _store
from lentilspool.gateway.tests import repeating_endpoints, test_store

Fault = repeating_endpoints.Fault
Moment = repeating_endpoints.Moment
# Time after the last change within which it is known.
KNOWN_WITHIN_S = 2.0


@pytest.mark.parametrize(
    'fault',
    [
        Fault(('200',)),
        Fault(('200',), Moment.after_request),
        Fault(('200',), Moment.idle),
        Fault(('200',), copies=2),
    ],
    ids=lambda fault: f'{fault.moment.value}, {fault.copies}',
)
class TestRepeatedStoreAnswers:
    def test_changes_are_known_in_time(
        self, fault: repeating_endpoints.Fault
    ) -> None:
        assert trio.run(self.listed_after, fault, 0) == test_store.CHANGE_COUNT

    def test_store_is_listed_again_on_a_new_connection(
        self, fault: repeating_endpoints.Fault
    ) -> None:
        # The first listing, once more, would show no endpoint.
        again = trio.run(self.listed_after, fault, 1)
        assert again == test_store.CHANGE_COUNT

    async def listed_after(
        self, fault: repeating_endpoints.Fault, listings: int
    ) -> int:
        """Return how many endpoints are known some time after all changes."""
        store = ListedStore()
        published = _published.PublishedState()
        async with trio.open_nursery() as nursery:
            server = _http_server.Server(
                '127.0.0.1:0', store.serve, lambda: test_store.LIMITS
            )
            await nursery.start(server.serve)
            relay = partial(repeating_endpoints.relay, fault, server)
            listeners = await nursery.start(
                partial(trio.serve_tcp, relay, 0, host='127.0.0.1')
            )
            port = listeners[0].socket.getsockname()[1]
            own = settings.StoreSettings(
                f'127.0.0.1:{port}', gather_s=0.01, retry_s=0.01
            )
            reader = _store.StoreReader(
                platform.ENDPOINT_PREFIX, own, published
            )
            nursery.start_soon(reader.serve)
            await store.make_changes()
            store.discards = listings
            with trio.move_on_after(KNOWN_WITHIN_S):
                while store.discards or not self.all_known(published):
                    await trio.sleep(test_store.CHANGE_INTERVAL_S)
            # What is known stays known.
            await trio.sleep(test_store.CHANGE_INTERVAL_S)
            nursery.cancel_scope.cancel()
        return len(published.endpoint_index.ready('s'))

    def all_known(self, published: _published.PublishedState) -> bool:
        known = published.endpoint_index.ready('s')
        return len(known) == test_store.CHANGE_COUNT


class ListedStore(test_store.FakeStore):
    """Store that lists its changes, and discards its history when told."""

    def __init__(self) -> None:
        super().__init__()
        # Watches that it still answers with 410.
        self.discards = 0

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        if request.target.startswith(b'/kv-watch'):
            if self.discards:
                self.discards -= 1
                headers = [(b'content-length', b'0')]
                await reply.write_complete(410, headers, b'')
                return
            await super().serve(request, reply)
            return
        await self.list_(reply)

    async def list_(self, reply: _http_server.Reply) -> None:
        """Answer a listing."""
        items = [
            self.event(revision) for revision in range(2, self.revision + 1)
        ]
        body = self.page(items)
        length = str(len(body)).encode()
        await reply.write_complete(200, [(b'content-length', length)], body)
