"""Reading of the configuration service by this process, if it is chosen."""

import logging
import random
from typing import Final

from lentilspool.config import _events, _messages, _readers, _service, _view

_LOGGER: Final = logging.getLogger(__name__)
_VIEW_WAIT_S: Final = 3.0
_LONE_DELAY_S: Final = 30.0

_Actions = list[_messages.Action]


class Reading:
    """Makes the calls to the service while this process is a reader.

    A process without any view of the others waits for one; after that it
    reads the service on its own, at a random time, because the whole fleet
    may be in the same state.
    """

    def __init__(
        self, me: _view.Member, rng: random.Random, now: float
    ) -> None:
        self._readers = _readers.Readers(me)
        self._service = _service.ServiceCalls(rng)
        self._view_due: float | None = now + _VIEW_WAIT_S
        self._chosen = False

    @property
    def chosen(self) -> bool:
        """Whether this process reads the service."""
        return self._chosen

    @property
    def successors(self) -> tuple[str, ...]:
        """Processes that take over if this one falls silent."""
        return self._readers.successors

    @property
    def failures(self) -> int:
        """Calls that failed since the last answer."""
        return self._service.failures

    @property
    def due(self) -> float:
        """Time of the next call, if this process is chosen."""
        return self._service.due

    def follow(self, now: float, view: _view.View) -> None:
        """Take a view of the live processes."""
        if self._view_due is not None:
            self._view_due = None
            self._chosen = False
        self._readers.follow(now, view)
        self.choose(now)

    def heard(self, now: float, peer: str) -> None:
        """Record that a peer has sent something."""
        self._readers.heard(now, peer)

    def forgive(self, now: float) -> None:
        """Count every process as heard, after a pause of our own."""
        self._readers.forgive(now)

    def choose(self, now: float) -> None:
        """Begin or end reading, as the others are heard or silent."""
        waits = self._view_due is not None and now < self._view_due
        chosen = not waits and self._readers.reads(now)
        if chosen == self._chosen:
            return
        self._chosen = chosen
        if not chosen:
            _events.READER_STOPPED.log(_LOGGER)
            return
        _events.READER_STARTED.log(_LOGGER)
        is_lone = self._view_due is not None
        self._service.begin(now, _LONE_DELAY_S if is_lone else 0)

    def next_call(self, now: float, number: int) -> _Actions:
        """Return the call that is due, if any."""
        return self._service.next_call(now, number) if self._chosen else []

    def on_read(self, now: float) -> None:
        """Record the answer of a read."""
        self._service.read_ended(now)

    def on_watch(self, now: float, number: int, has_news: bool) -> _Actions:
        """Record the answer of a watch; news are read at once."""
        self._service.watch_ended(now, has_news)
        return self.next_call(now, number) if has_news else []

    def on_failure(self, now: float) -> None:
        """Record a call without an answer."""
        if not self._service.failures:
            _events.SOURCE_UNREACHABLE.log(_LOGGER)
        self._service.failed(now)
