"""Tests of the store reader, against a fake store on loopback."""

import base64

import msgspec
import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import _http_server, _published, _store

LIMITS = serving.CallLimits(10_000, 10_000, 5, 5)
CHANGE_INTERVAL_S = 0.02
CHANGE_COUNT = 20


class FakeStore:
    """Fake store that answers each watch with all changes since then."""

    def __init__(self) -> None:
        self.revision = 1
        self.watches = 0

    async def make_changes(self) -> None:
        for _ in range(CHANGE_COUNT):
            await trio.sleep(CHANGE_INTERVAL_S)
            self.revision += 1

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        target = request.target.decode()
        events: list[dict[str, object]] = []
        if target.startswith('/kv-watch'):
            self.watches += 1
            after = int(target.partition('after=')[2].partition('&')[0])
            while self.revision <= after:
                await trio.sleep(CHANGE_INTERVAL_S / 4)
            events = [
                self.event(revision)
                for revision in range(after + 1, self.revision + 1)
            ]
        answer = {'current_rev': self.revision, 'items': [], 'events': events}
        body = msgspec.json.encode(answer)
        length = str(len(body)).encode()
        await reply.write_complete(200, [(b'content-length', length)], body)

    def event(self, revision: int) -> dict[str, object]:
        entry = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'slots': 1,
            'state': 'ready',
        }
        content = base64.b64encode(msgspec.json.encode(entry)).decode()
        return {
            'key': f'servers/e{revision}',
            'value': content,
            'rev': revision,
        }


class TestStoreReader:
    """Watches while the endpoints of a service are replaced in turn."""

    def test_changes_are_gathered_into_few_watches(self) -> None:
        async def check() -> None:
            store = FakeStore()
            published = _published.PublishedState()
            async with trio.open_nursery() as nursery:
                reader = await self.reader(store, published, nursery)
                nursery.start_soon(reader.serve)
                with trio.fail_after(5):
                    await store.make_changes()
                    await self.all_listed(published)
                nursery.cancel_scope.cancel()
            assert store.watches <= CHANGE_COUNT / 2

        trio.run(check)

    async def reader(
        self,
        store: FakeStore,
        published: _published.PublishedState,
        nursery: trio.Nursery,
    ) -> _store.StoreReader:
        server = _http_server.Server('127.0.0.1:0', store.serve, lambda: LIMITS)
        await nursery.start(server.serve)
        own = settings.StoreSettings(f'127.0.0.1:{server.port}', gather_s=0.1)
        return _store.StoreReader(platform.ENDPOINT_PREFIX, own, published)

    async def all_listed(self, published: _published.PublishedState) -> None:
        while len(published.endpoint_index.ready('s')) < CHANGE_COUNT:
            await trio.sleep(CHANGE_INTERVAL_S)
