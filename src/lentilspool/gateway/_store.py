"""Follows the platform's store: a listing first, then changes."""

import logging
from typing import Final

import trio

from lentilspool import platform, serving, settings
from lentilspool.gateway import (
    _clock,
    _connection,
    _events,
    _published,
    _sockets,
)

_logger: Final = logging.getLogger(__name__)
_OK: Final = 200
_GONE: Final = 410
_MAX_BYTES: Final = 16_777_216
_CONNECT_S: Final = 0.5
_SLACK_S: Final = 1.0


class StoreReader:
    """Reads one prefix of the store for as long as the process runs."""

    def __init__(
        self,
        prefix: str,
        own: settings.StoreSettings,
        published: _published.Published,
    ) -> None:
        self._prefix = prefix
        self._own = own
        self._published = published
        self._connection: _connection.Connection | None = None
        self._revision: int | None = None
        self._lost_at: float | None = None
        self._back_at = 0.0
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls to the store so far."""
        return self._calls

    async def serve(self) -> None:
        """List, then watch; list again whenever a watch cannot go on."""
        while True:
            answered = await self._step()
            self._note(answered=answered)
            if not answered:
                await trio.sleep(self._own.retry_s)

    async def _step(self) -> bool:
        if self._revision is None:
            return await self._list()
        target = platform.watch_target(
            self._prefix, self._revision, self._own.watch_s
        )
        answer = await self._get(target, self._own.watch_s + _SLACK_S)
        if answer == _GONE:
            self._revision = None
            return True
        if isinstance(answer, int):
            # Changes may have been missed while the store did not answer.
            return False
        self._changes(answer)
        if answer.items and self._prefix == platform.ENDPOINT_PREFIX:
            await trio.sleep(self._own.gather_s)
        return True

    async def _list(self) -> bool:
        items: list[platform.Item] = []
        revision: int | None = None
        after = ''
        while True:
            page = await self._get(
                platform.range_target(self._prefix, after),
                self._own.read_timeout_s,
            )
            if isinstance(page, int):
                return False
            # Pages are no snapshot; the watch begins with the first one.
            revision = page.revision if revision is None else revision
            items.extend(page.items)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        self._listed(items, revision)
        return True

    def _listed(self, items: list[platform.Item], revision: int) -> None:
        self._revision = revision
        stored = [_stored(item) for item in items]
        if self._prefix == platform.ENDPOINT_PREFIX:
            until = self._missing_until()
            self._published.list_endpoints(stored, revision, until)
        else:
            self._configure(stored)

    def _changes(self, page: platform.Page) -> None:
        self._revision = page.revision
        stored = [_stored(item) for item in page.items]
        if self._prefix == platform.ENDPOINT_PREFIX:
            until = self._missing_until()
            self._published.change_endpoints(stored, page.revision, until)
        else:
            self._configure(stored)

    def _configure(self, stored: list[_published.Stored]) -> None:
        for item in stored:
            if item.key == platform.CONFIGURATION_KEY:
                self._published.configure(item, 'store')

    def _missing_until(self) -> float:
        """Return until when endpoints that lapsed in an outage are kept."""
        now = _clock.now()
        if self._lost_at is not None or now - self._back_at < self._own.lapse_s:
            return now + self._own.lapse_s
        return 0

    def _note(self, *, answered: bool) -> None:
        now = _clock.now()
        if answered and self._lost_at is not None:
            _events.STORE_BACK.log(
                _logger,
                prefix=self._prefix,
                after_ms=round((now - self._lost_at) * 1000),
            )
            self._lost_at = None
            self._back_at = now
        elif not answered and self._lost_at is None:
            self._lost_at = now
            _events.STORE_LOST.log(_logger, prefix=self._prefix)

    async def _get(self, target: str, limit_s: float) -> platform.Page | int:
        """Return a page, or the status; 0 if no answer came."""
        self._calls += 1
        status = 0
        body = b''
        with trio.move_on_after(limit_s):
            connection = self._connection or await self._connect()
            self._connection = connection
            if connection:
                status, body = await self._ask(connection, target)
        if self._connection and not self._connection.reusable:
            with trio.CancelScope(shield=True):
                await self._connection.close()
            self._connection = None
        if status != _OK:
            return status
        try:
            return platform.page(body)
        except platform.FormatError as error:
            _events.STORE_LOST.log(
                _logger, prefix=self._prefix, problem=str(error)
            )
            return 0

    async def _ask(
        self, connection: _connection.Connection, target: str
    ) -> tuple[int, bytes]:
        if connection.reusable:
            connection.next_request()
        broken = await connection.send(
            _connection.Outgoing('GET', target.encode(), list(_HEADERS), b'')
        )
        head = broken or await connection.head()
        if not isinstance(head, serving.AnswerHead):
            return 0, b''
        body = await connection.body(_MAX_BYTES)
        if isinstance(body, _connection.Broken):
            return 0, b''
        return head.status, body

    async def _connect(self) -> _connection.Connection | None:
        host, port = _sockets.split(self._own.address)
        stream = await _sockets.connect(host, port, _CONNECT_S)
        return _connection.Connection(stream) if stream else None


_HEADERS: Final = ((b'host', b'store'),)


def _stored(item: platform.Item) -> _published.Stored:
    return _published.Stored(item.key, item.payload, item.revision)
