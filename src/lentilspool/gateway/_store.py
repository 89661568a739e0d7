"""Reader of the platform's store, by listings and watches."""

import logging
from collections.abc import Callable, Sequence
from typing import Final

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import _clock, _events, _published, _store_connection

_logger: Final = logging.getLogger(__name__)
_OK: Final = 200
_GONE: Final = 410
_MAX_LISTED_BYTES: Final = 33_554_432
# Memory that an item takes beside its key and content.
_ITEM_BYTES: Final = 512
_WATCH_MARGIN_S: Final = 1.0
ListingListener = Callable[[str, int, Sequence[platform.Item]], None]
"""Takes prefix, revision and items of a listing that was read anew."""


class StoreReader:
    """Keeps the published state of one store prefix up to date.

    ``on_listing`` is called after each listing has been applied.
    """

    def __init__(
        self,
        prefix: str,
        store_settings: settings.StoreSettings,
        published: _published.PublishedState,
        on_listing: ListingListener | None = None,
    ) -> None:
        self._prefix = prefix
        self._on_listing = on_listing
        self._settings = store_settings
        self._published = published
        self._connection = _store_connection.StoreConnection(
            store_settings.address, self._accepts
        )
        self._revision: int | None = None
        # Eras of the last listing and of the last answer.
        self._era: int | None = None
        self._answered_era = 0
        # Until then, endpoints that the store lacks after its return are kept.
        self._restored_at = 0.0
        self._relist_at: float | None = None
        self._lost_at: float | None = None
        self._recovered_at = 0.0
        self._patience = serving.StorePatience()

    @property
    def calls(self) -> int:
        """Number of calls to the store so far."""
        return self._patience.calls

    async def serve(self) -> None:
        """List, then watch; list again when a watch cannot continue."""
        while True:
            answered = await self._read_once()
            self._record_answer(answered=answered)
            if not answered:
                await trio.sleep(self._settings.retry_s)

    async def _read_once(self) -> bool:
        if self._revision is None or self._is_relist_due():
            return await self._list()
        answer = await self._watch(self._revision)
        if answer == _GONE or self._era != self._answered_era:
            self._revision = None
            return True
        if isinstance(answer, int):
            # Changes may have been missed while the store did not answer.
            return False
        self._apply_changes(answer)
        if answer.items and self._prefix == platform.ENDPOINT_PREFIX:
            await trio.sleep(self._settings.gather_s)
        return True

    async def _watch(self, revision: int) -> platform.Page | int:
        """Wait for changes; return 410 if a new era may have begun."""
        watch_s = self._settings.watch_s
        if self._relist_at is not None:
            watch_s = min(watch_s, max(self._relist_at - _clock.now(), 0))
        if self._lost_at is not None:
            # The answer states the era; a long watch would state it too late.
            watch_s = 0
        target = platform.watch_target(self._prefix, revision, watch_s)
        answer: platform.Page | int | None = None
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._stop_at_era, scope)
                answer = await self._get(target, _WATCH_MARGIN_S, watch_s)
                nursery.cancel_scope.cancel()
        if isinstance(answer, platform.Page) and answer.revision <= revision:
            # Nothing has changed, or it is an earlier answer once more.
            return platform.Page((), revision, more=False)
        if answer is not None:
            return answer
        await self._connection.close()
        return _GONE

    async def _stop_at_era(self, scope: trio.CancelScope) -> None:
        await self._published.store_era.wait_for_news()
        scope.cancel()

    def _is_relist_due(self) -> bool:
        return self._relist_at is not None and self._relist_at <= _clock.now()

    async def _list(self) -> bool:
        items: list[platform.Item] = []
        # On a new connection the first page is no earlier answer.
        await self._connection.close()
        # Pages are not one snapshot, so the watch starts at the revision of
        # the first page.
        position: serving.Position | None = None
        after = ''
        while True:
            page = await self._get(
                platform.range_target(self._prefix, after),
                self._settings.read_timeout_s,
            )
            if isinstance(page, int):
                return False
            position = position or (self._answered_era, page.revision)
            if position[0] != self._answered_era:
                # The pages before belong to the former era.
                return await self._list()
            items.extend(page.items)
            if not page.more or not page.items:
                break
            if self._is_endless(items, after):
                return False
            after = page.items[-1].key
        self._apply_listing(items, position)
        return True

    def _is_endless(self, items: list[platform.Item], after: str) -> bool:
        """Whether pages repeat keys, or hold more than any store does."""
        size = sum(
            _ITEM_BYTES + len(item.key) + len(item.payload or b'')
            for item in items
        )
        endless = items[-1].key <= after or size > _MAX_LISTED_BYTES
        if endless:
            _events.STORE_LOST.log(
                _logger, prefix=self._prefix, problem='a listing without end'
            )
        return endless

    def _apply_listing(
        self, items: list[platform.Item], position: serving.Position
    ) -> None:
        now = _clock.now()
        self._relist_at = None
        restored = self._era is not None and position[0] != self._era
        self._era = position[0]
        if restored and self._prefix == platform.ENDPOINT_PREFIX:
            self._restored_at = now + self._settings.restore_s
            # By then the endpoints have written again what the copy lacks.
            self._relist_at = self._restored_at
        self._revision = position[1]
        stored = [_stored_item(item, position[0]) for item in items]
        if self._prefix == platform.ENDPOINT_PREFIX:
            until = self._keep_missing_until()
            self._published.apply_listing(stored, position, until)
            self._published.versions.begin(position, now)
        else:
            self._configure(stored)
        if self._on_listing:
            self._on_listing(self._prefix, position[1], items)

    def _apply_changes(self, page: platform.Page) -> None:
        self._revision = page.revision
        era = self._answered_era
        stored = [_stored_item(item, era) for item in page.items]
        if self._prefix == platform.ENDPOINT_PREFIX:
            until = self._keep_missing_until()
            position = (era, page.revision)
            self._published.apply_changes(stored, position, until)
            self._published.versions.follow(position)
        else:
            self._configure(stored)

    def _configure(self, stored: list[_published.StoredItem]) -> None:
        for item in stored:
            if item.key == platform.CONFIGURATION_KEY:
                self._published.apply_configuration(item, 'store')

    def _keep_missing_until(self) -> float:
        """Return until when missing endpoints are kept; 0 for not at all.

        Entries that lapsed during an outage of the store, or within
        ``lapse_s`` after it, are kept for another ``lapse_s``. Those that the
        store lacks after it came back from a copy are kept for ``restore_s``.
        """
        now = _clock.now()
        if now < self._restored_at:
            return self._restored_at
        if (
            self._lost_at is not None
            or now - self._recovered_at < self._settings.lapse_s
        ):
            return now + self._settings.lapse_s
        return 0

    def _record_answer(self, *, answered: bool) -> None:
        now = _clock.now()
        if answered and self._lost_at is not None:
            _events.STORE_BACK.log(
                _logger,
                prefix=self._prefix,
                after_ms=round((now - self._lost_at) * 1000),
            )
            self._lost_at = None
            self._recovered_at = now
        elif not answered and self._lost_at is None:
            self._lost_at = now
            _events.STORE_LOST.log(_logger, prefix=self._prefix)

    async def _get(
        self, target: str, limit_s: float, wait_s: float = 0
    ) -> platform.Page | int:
        """Return a page, or the status if it is not 200; 0 if no answer came.

        The store is asked to wait for ``wait_s`` and may take ``limit_s``
        more, or longer if it has been late before.
        """
        status = 0
        body = b''
        due_at = _clock.now() + wait_s
        timeout_s = wait_s + self._patience.factor * limit_s
        scope = trio.CancelScope(deadline=trio.current_time() + timeout_s)
        with scope:
            status, body = await self._connection.exchange(target)
        late_s = _clock.now() - due_at
        ended = not scope.cancelled_caught
        self._patience.record(late_s, limit_s, ended=ended)
        page = self._decode(status, body)
        with trio.CancelScope(shield=True):
            await self._connection.close_if_spent()
        return page

    def _decode(self, status: int, body: bytes) -> platform.Page | int:
        """Return a page, or the status; 0 if it is not readable.

        The connection carries another request if no answer before it was the
        same.
        """
        if status != _OK:
            return status
        try:
            page = platform.decode_page(body)
        except platform.FormatError as error:
            _events.STORE_LOST.log(
                _logger, prefix=self._prefix, problem=str(error)
            )
            return 0
        first = page.items[0].key if page.items else ''
        self._connection.recognize(
            f'{self._answered_era}/{page.revision}/{first}'
        )
        return page

    def _accepts(self, head: serving.AnswerHead) -> bool:
        """Record the era of an answer; an older one is late or stale."""
        era: int | None = None
        problem = ''
        try:
            era = platform.decode_era(head.headers)
        except platform.FormatError as error:
            problem = str(error)
        known = self._published.store_era.number
        if era is None and known and not problem:
            problem = 'not stated'
        order = self._published.store_era.observe(era)
        if order is serving.EraOrder.older:
            problem = f'era {era} after {self._published.store_era.number}'
        if problem:
            _events.ERA_INVALID.log(
                _logger, prefix=self._prefix, problem=problem
            )
        self._answered_era = self._published.store_era.number
        return order is not serving.EraOrder.older


def _stored_item(item: platform.Item, era: int) -> _published.StoredItem:
    return _published.StoredItem(item.key, item.payload, item.revision, era)
