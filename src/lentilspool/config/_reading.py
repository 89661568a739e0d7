"""Calls of this process to the configuration service, while it is a reader."""

import logging
import random
from typing import Final

from lentilspool.config import (
    _events,
    _messages,
    _reader_election,
    _service_calls,
    _view,
)

_LOGGER: Final = logging.getLogger(__name__)
_FIRST_VIEW_TIMEOUT_S: Final = 3.0
_NO_VIEW_MAX_DELAY_S: Final = 30.0

_Actions = list[_messages.Action]


class ServiceReader:
    """Decides on calls to the service while this process is a reader.

    A process that has no view of the others yet waits some seconds for one.
    It then becomes a reader anyway, but delays its first call at random,
    because the whole fleet may be starting without a view.
    """

    def __init__(
        self, member: _view.Member, rng: random.Random, now: float
    ) -> None:
        self._reader_election = _reader_election.ReaderElection(member)
        self._service_calls = _service_calls.ServiceCallScheduler(rng)
        self._view_deadline: float | None = now + _FIRST_VIEW_TIMEOUT_S
        self._is_reader = False

    @property
    def is_reader(self) -> bool:
        """Whether this process reads the service."""
        return self._is_reader

    @property
    def successors(self) -> tuple[str, ...]:
        """Processes that take over if this one falls silent."""
        return self._reader_election.successors

    @property
    def failures(self) -> int:
        """Calls that failed since the last reply."""
        return self._service_calls.failures

    @property
    def due(self) -> float:
        """Time of the next call, if this process is a reader."""
        return self._service_calls.due

    def update_view(self, now: float, view: _view.View) -> None:
        """Apply a new view of the live processes."""
        if self._view_deadline is not None:
            self._view_deadline = None
            self._is_reader = False
        self._reader_election.update_view(now, view)
        self.update_role(now)

    def mark_seen(self, now: float, peer: str) -> None:
        """Record that a peer sent a message."""
        self._reader_election.mark_seen(now, peer)

    def mark_all_seen(self, now: float) -> None:
        """Count every predecessor as seen, after this process was paused."""
        self._reader_election.mark_all_seen(now)

    def update_role(self, now: float) -> None:
        """Start or stop being a reader, as the election demands."""
        awaits_view = (
            self._view_deadline is not None and now < self._view_deadline
        )
        is_reader = not awaits_view and self._reader_election.must_read(now)
        if is_reader == self._is_reader:
            return
        self._is_reader = is_reader
        if not is_reader:
            _events.READER_STOPPED.log(_LOGGER)
            return
        _events.READER_STARTED.log(_LOGGER)
        has_no_view = self._view_deadline is not None
        self._service_calls.start(
            now, _NO_VIEW_MAX_DELAY_S if has_no_view else 0
        )

    def next_call(self, now: float, number: int) -> _Actions:
        """Return the call that is due, if any."""
        return (
            self._service_calls.next_call(now, number)
            if self._is_reader
            else []
        )

    def on_read(self, now: float) -> None:
        """Record the reply to a read."""
        self._service_calls.read_ended(now)

    def on_watch(
        self, now: float, number: int, has_new_entries: bool
    ) -> _Actions:
        """Record the reply to a watch; new entries are read at once."""
        self._service_calls.watch_ended(now, has_new_entries)
        return self.next_call(now, number) if has_new_entries else []

    def on_failure(self, now: float) -> None:
        """Record a call without a reply."""
        if not self._service_calls.failures:
            _events.SOURCE_UNREACHABLE.log(_LOGGER)
        self._service_calls.call_failed(now)
