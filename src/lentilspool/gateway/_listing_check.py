"""Reads of the store that show which endpoints were listed until now.

The reader of the store follows the listing, but what it knows may be old: this
host may have been suspended, or be cut off without having noticed it yet.
"""

import logging
from collections.abc import Sequence
from typing import Final

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import _clock, _events, _published, _store_connection

_logger: Final = logging.getLogger(__name__)
_OK: Final = 200
_GONE: Final = 410
_PREFIXES: Final = frozenset(
    (platform.CONFIGURATION_KEY, platform.ENDPOINT_PREFIX)
)


_Writes = tuple[int, list[serving.Write]]
"""A revision and writes up to it."""


class _Read:
    """A read that has not begun, and those who wait for it."""

    def __init__(self) -> None:
        self.confirmed = False
        self.done = trio.Event()


class ListingCheck:
    """Confirms that all changes of the listing until now are known.

    ``confirm`` waits for a read that begins after the call; calls that come
    meanwhile share one. Run ``serve`` beside it.

    Pass each listing that was read anew to ``note_listing``. The check then
    looks whether the store accounts for all entries that were ever written, see
    ``serving.ever_listed``. If so, the history of versions is complete.
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
        # Revision and items of the last listing of each prefix.
        self._listings: dict[str, _Writes] = {}
        # Position of the last listing whose history was examined.
        self._examined: serving.Position = (0, 0)

    def note_listing(
        self, prefix: str, revision: int, items: Sequence[platform.Item]
    ) -> None:
        """Record the items of a prefix, complete at a revision."""
        self._listings[prefix] = (revision, list(map(_write, items)))
        # The store may drop its history soon.
        self._requested.set()

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
            if self._may_examine:
                await self._examine_history()
            if read:
                read.done.set()

    async def _read_changes(self) -> bool:
        """Record the changes since the position that is known."""
        history = self._published.versions
        era, revision = history.followed
        if not revision:
            return False
        found = await self._read_writes_after(revision)
        if isinstance(found, int) or era != self._published.store_era.number:
            return False
        # The reader of the store applies them; here their versions count.
        current, writes = found
        for write in writes:
            if write.endpoint:
                history.add(write.endpoint)
        history.follow((era, current))
        return True

    @property
    def _may_examine(self) -> bool:
        """Whether there is a new listing whose history is worth a look.

        A store that came back from a copy has lost some writes.
        """
        began = self._published.versions.began
        return (
            began not in {self._examined, (0, 0)}
            and not began[0]
            and self._listings.keys() >= _PREFIXES
        )

    async def _examine_history(self) -> None:
        """Complete the history of versions if the store accounts for it."""
        history = self._published.versions
        began = history.began
        listed = [
            write for _, writes in self._listings.values() for write in writes
        ]
        # What changed between the two listings counts as unknown.
        current = min(revision for revision, _ in self._listings.values())
        unknown = serving.first_unknown_revision(listed, current)
        found: _Writes | int = (current, [])
        if unknown is not None:
            found = await self._read_writes_after(unknown - 1)
        is_answered = found == _GONE or not isinstance(found, int)
        if not is_answered or history.began != began:
            # The next call, or the next listing, tries again.
            return
        self._examined = began
        if not isinstance(found, int):
            endpoints = serving.ever_listed(listed, found[1])
            if endpoints is not None:
                history.complete(endpoints, _clock.now())
        _events.HISTORY_EXAMINED.log(
            _logger,
            revision=current,
            unknown=unknown,
            complete=history.is_complete,
        )

    async def _read_writes_after(self, revision: int) -> _Writes | int:
        """Return the revision now and the writes of entries after another.

        Returns a status, or 0, if the store does not tell.
        """
        target = platform.watch_target(platform.ENDPOINT_PREFIX, revision, 0)
        status = 0
        body = b''
        with trio.move_on_after(self._settings.read_timeout_s):
            status, body = await self._connection.exchange(target)
        # Answers state no identity, so each has a connection of its own.
        with trio.CancelScope(shield=True):
            await self._connection.close()
        if status != _OK:
            return status
        try:
            page = platform.decode_page(body)
        except platform.FormatError as error:
            _events.STORE_LOST.log(
                _logger, prefix=platform.ENDPOINT_PREFIX, problem=str(error)
            )
            return 0
        return page.revision, list(map(_write, page.items))

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


def _write(item: platform.Item) -> serving.Write:
    name = item.key.removeprefix(platform.ENDPOINT_PREFIX)
    is_entry = name != item.key
    return serving.Write(
        item.key,
        item.revision,
        item.created,
        _endpoint(name, item.payload) if is_entry else None,
        is_entry=is_entry,
        removes=item.removed,
    )


def _endpoint(name: str, payload: bytes | None) -> serving.Endpoint | None:
    if payload is None:
        return None
    try:
        return platform.decode_endpoint(name, payload)
    except platform.FormatError as error:
        # The entry of another writer names no endpoint.
        _events.ENTRY_REFUSED.log(_logger, endpoint=name, problem=str(error))
        return None
