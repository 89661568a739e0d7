"""Tests of the store reader, against a fake store on loopback."""

import base64
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import _http_server, _published, _store

LIMITS = serving.CallLimits(10_000, 10_000, 5, 5)
CHANGE_INTERVAL_S = 0.02
CHANGE_COUNT = 20
# Longest time for a page of a listing, beside any load.
PAGE_LIMIT_S = 5


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
        body = self.page(events)
        length = str(len(body)).encode()
        await reply.write_complete(200, [(b'content-length', length)], body)

    def page(self, entries: list[dict[str, object]]) -> bytes:
        """Return the answer to a read or watch."""
        return msgspec.json.encode(
            {'current_rev': self.revision, 'items': [], 'events': entries}
        )

    def event(self, revision: int) -> dict[str, object]:
        entry = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'version': 'v1',
            'slots': 1,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
            'born': 1,
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


class LateStore(FakeStore):
    """Store that answers every read later than the reader first waits."""

    late_s = 0.25

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        await trio.sleep(self.late_s)
        await super().serve(request, reply)


class TestLateStore:
    def test_is_read_though_it_answers_after_the_first_limit(self) -> None:
        async def check() -> None:
            store = LateStore()
            published = _published.PublishedState()
            async with trio.open_nursery() as nursery:
                server = _http_server.Server(
                    '127.0.0.1:0', store.serve, lambda: LIMITS
                )
                await nursery.start(server.serve)
                own = settings.StoreSettings(
                    f'127.0.0.1:{server.port}',
                    read_timeout_s=0.1,
                    retry_s=0.02,
                )
                reader = _store.StoreReader(
                    platform.ENDPOINT_PREFIX, own, published
                )
                nursery.start_soon(reader.serve)
                with trio.fail_after(5):
                    await self.watched(store)
                nursery.cancel_scope.cancel()

        trio.run(check)

    async def watched(self, store: LateStore) -> None:
        while not store.watches:
            await trio.sleep(CHANGE_INTERVAL_S)


class RestoredStore:
    """Store that comes back from an older copy when it is told to."""

    def __init__(self, watch_s: float) -> None:
        self._watch_s = watch_s
        # State of the reader, which hears of eras from other gateways too.
        self.published = _published.PublishedState()
        self.era: bytes | None = b'1'
        self.revision = 50
        self.version = 5
        self.changed = trio.Event()

    def restore(self) -> None:
        self.era = b'2'
        self.revision = 10
        self.version = 4

    def write(self, version: int) -> None:
        self.revision += 1
        self.version = version
        self.changed.set()
        self.changed = trio.Event()

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        watches = request.target.startswith(b'/kv-watch')
        if watches:
            with trio.move_on_after(self._watch_s):
                await self.changed.wait()
        content = msgspec.json.encode(
            {'version': self.version, 'routes': [], 'services': []}
        )
        item = {
            'key': platform.CONFIGURATION_KEY,
            'value': base64.b64encode(content).decode(),
            'rev': self.revision,
        }
        after = int(request.target.partition(b'after=')[2].split(b'&')[0] or 0)
        items = [item] if self.revision > after else []
        kind = 'events' if watches else 'items'
        body = msgspec.json.encode({'current_rev': self.revision, kind: items})
        headers = [(b'content-length', str(len(body)).encode())]
        if self.era is not None:
            headers.append((b'Store-Era', self.era))
        await reply.write_complete(200, headers, body)


async def until_version(
    published: _published.PublishedState, version: int
) -> None:
    with trio.fail_after(5):
        while published.version != version:
            await trio.sleep(0.01)


class TestRestoredStore:
    def test_next_change_is_in_force_though_its_revision_is_lower(
        self,
    ) -> None:
        async def change(store: RestoredStore) -> None:
            store.restore()
            await trio.sleep(0.3)
            store.write(6)

        assert self.version_after(change) == 6

    def test_change_with_a_known_revision_is_in_force_after_a_hint(
        self,
    ) -> None:
        """A watch that the store still holds would wait for a higher one."""

        async def change(store: RestoredStore) -> None:
            store.era = b'2'
            store.version = 6
            await trio.sleep(0.1)
            store.published.store_era.hear(2)

        assert self.version_after(change, watch_s=5) == 6

    def test_older_copy_does_not_replace_the_configuration(self) -> None:
        async def change(store: RestoredStore) -> None:
            store.restore()

        assert self.version_after(change) == 5

    def test_answer_of_a_former_era_is_dropped(self) -> None:
        async def change(store: RestoredStore) -> None:
            store.era = b'0'
            store.write(6)

        assert self.version_after(change) == 5

    @pytest.mark.parametrize('era', [None, b'x', b'-1', b'9' * 30])
    def test_invalid_era_keeps_the_state(self, era: bytes | None) -> None:
        async def change(store: RestoredStore) -> None:
            store.era = era
            await trio.sleep(0.2)
            store.write(6)

        assert self.version_after(change) == 6

    def version_after(
        self,
        change: Callable[[RestoredStore], Awaitable[None]],
        watch_s: float = 0.1,
    ) -> int:
        """Return the version in force a second after a change."""

        async def run() -> int:
            store = RestoredStore(watch_s)
            published = store.published
            async with trio.open_nursery() as nursery:
                server = _http_server.Server(
                    '127.0.0.1:0', store.serve, lambda: LIMITS
                )
                await nursery.start(server.serve)
                own = settings.StoreSettings(f'127.0.0.1:{server.port}')
                reader = _store.StoreReader(
                    platform.CONFIGURATION_KEY, own, published
                )
                nursery.start_soon(reader.serve)
                await until_version(published, store.version)
                await change(store)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            return published.version

        return trio.run(run)


class EndlessStore:
    """Store whose listing always has another page."""

    def __init__(
        self, payload: bytes, *, advances: bool, most_pages: int
    ) -> None:
        self._payload = base64.b64encode(payload).decode()
        self._advances = advances
        self._most_pages = most_pages
        self.pages = 0
        self.asked = trio.Event()
        # Set when the listing begins again, or goes on for too long.
        self.ended = trio.Event()

    async def serve(
        self, request: _http_server.Request, reply: _http_server.Reply
    ) -> None:
        restarted = self.pages and b'after=' not in request.target
        if restarted or self.pages > self._most_pages:
            self.ended.set()
        self.pages += 1
        self.asked.set()
        self.asked = trio.Event()
        number = self.pages if self._advances else 1
        item = {'key': f'servers/e{number:09}', 'value': self._payload}
        body = msgspec.json.encode(
            {'current_rev': 1, 'items': [item], 'has_more': True}
        )
        length = str(len(body)).encode()
        await reply.write_complete(200, [(b'content-length', length)], body)

    async def wait_until_ended(self) -> None:
        """Wait for the end, and at most some time for each page."""
        while not self.ended.is_set():
            with trio.fail_after(PAGE_LIMIT_S):
                await self.asked.wait()


class TestEndlessListing:
    @pytest.mark.parametrize(
        ('payload', 'advances', 'most_pages'),
        [(b'x', False, 2), (b'x' * 1_000_000, True, 40)],
    )
    def test_listing_without_end_is_given_up(
        self,
        payload: bytes,
        advances: bool,
        most_pages: int,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        async def check() -> int:
            store = EndlessStore(
                payload, advances=advances, most_pages=most_pages
            )
            server = _http_server.Server(
                '127.0.0.1:0', store.serve, lambda: LIMITS
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                reader = _store.StoreReader(
                    platform.ENDPOINT_PREFIX,
                    settings.StoreSettings(
                        f'127.0.0.1:{server.port}',
                        # A page that is late would end the listing too.
                        read_timeout_s=2 * PAGE_LIMIT_S,
                        retry_s=0.01,
                    ),
                    _published.PublishedState(),
                )
                nursery.start_soon(reader.serve)
                await store.wait_until_ended()
                nursery.cancel_scope.cancel()
            return store.pages

        assert trio.run(check) <= most_pages + 1
        assert self.problems(caplog) == ['a listing without end']

    def problems(self, caplog: pytest.LogCaptureFixture) -> list[object]:
        """Return why answers of the store were not used."""
        fields = [getattr(one, 'fields', {}) for one in caplog.records]
        return [one['problem'] for one in fields if 'problem' in one]
