"""Reads of the store that show which endpoints were listed until now.

The reader of the store follows the listing, but what it knows may be old: this
host may have been suspended, or be cut off without having noticed it yet.
"""

import logging
from typing import Final

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import _events, _published, _store_connection

_logger: Final = logging.getLogger(__name__)
_OK: Final = 200


class _Read:
    """A read that has not begun, and those who wait for it."""

    def __init__(self) -> None:
        self.confirmed = False
        self.done = trio.Event()


class ListingCheck:
    """Confirms that all changes of the listing until now are known.

    ``confirm`` waits for a read that begins after the call; calls that come
    meanwhile share one. Run ``serve`` beside it.
    """

    def __init__(
        self,
        store_settings: settings.StoreSettings,
        published: _published.PublishedState,
    ) -> None:
        self._settings = store_settings
        self._published = published
        self._connection = _store_connection.StoreConnection(
            store_settings.address, self._accepts
        )
        self._waiting: _Read | None = None
        self._requested = trio.Event()

    async def confirm(self) -> bool:
        """Return whether all changes are known that precede this call."""
        if self._waiting is None:
            self._waiting = _Read()
            self._requested.set()
        read = self._waiting
        await read.done.wait()
        return read.confirmed

    async def serve(self) -> None:
        """Read when asked to, until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            read = self._waiting
            self._waiting = None
            if read:
                read.confirmed = await self._read_changes()
                read.done.set()

    async def _read_changes(self) -> bool:
        """Record the changes since the position that is known."""
        history = self._published.versions
        era, revision = history.followed
        if not revision:
            return False
        page = await self._read_changes_after(revision)
        if page is None or era != self._published.store_era.number:
            return False
        # The reader of the store applies them; here their versions count.
        for item in page.items:
            endpoint = _endpoint(item)
            if endpoint:
                history.add(endpoint)
        history.follow((era, page.revision))
        return True

    async def _read_changes_after(self, revision: int) -> platform.Page | None:
        """Return the changes of entries; None if the store does not tell."""
        target = platform.watch_target(platform.ENDPOINT_PREFIX, revision, 0)
        status = 0
        body = b''
        with trio.move_on_after(self._settings.read_timeout_s):
            status, body = await self._connection.exchange(target)
        # Answers state no identity, so each has a connection of its own.
        with trio.CancelScope(shield=True):
            await self._connection.close()
        if status != _OK:
            return None
        try:
            return platform.decode_page(body)
        except platform.FormatError as error:
            _events.STORE_LOST.log(
                _logger, prefix=platform.ENDPOINT_PREFIX, problem=str(error)
            )
            return None

    def _accepts(self, head: serving.AnswerHead) -> bool:
        """Whether an answer belongs to the current era of the store."""
        try:
            era = platform.decode_era(head.headers)
        except platform.FormatError as error:
            _events.ERA_INVALID.log(
                _logger, prefix=platform.ENDPOINT_PREFIX, problem=str(error)
            )
            return False
        order = self._published.store_era.observe(era)
        return order is serving.EraOrder.current


def _endpoint(item: platform.Item) -> serving.Endpoint | None:
    if item.payload is None:
        return None
    name = item.key.removeprefix(platform.ENDPOINT_PREFIX)
    try:
        return platform.decode_endpoint(name, item.payload)
    except platform.FormatError as error:
        # The entry of another writer names no endpoint.
        _events.ENTRY_REFUSED.log(_logger, endpoint=name, problem=str(error))
        return None
