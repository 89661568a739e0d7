"""Schedule of the calls to the configuration service."""

import random
from typing import Final

from lentilspool.config import _messages

_WATCH_WAIT_S: Final = 3.0
_NO_VIEW_WATCH_WAIT_S: Final = 30.0
_MIN_CALL_INTERVAL_S: Final = 1.0
_MAX_RETRY_DELAY_S: Final = 0.75
_MAX_READ_INTERVAL_S: Final = 60.0
_CALL_TIMEOUT_S: Final = 1.0


class ServiceCallScheduler:
    """Schedules reads and watches; at most one call is in flight.

    A read also requests the last entry held, so that a service that was
    rewound or replaced is detected. A watch reports only whether there are
    new entries, and a read follows. Call ``next_call`` often, and
    ``read_ended``, ``watch_ended`` or ``call_failed`` when a call ends.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight_until = 0.0
        self._earliest_call_at = 0.0
        self._next_read_at = 0.0
        self._failures = 0
        self._watch_wait_s = _WATCH_WAIT_S

    @property
    def due(self) -> float:
        """Time of the next call, unless a reply arrives before."""
        return max(self._in_flight_until, self._earliest_call_at)

    @property
    def failures(self) -> int:
        """Calls that failed since the last reply."""
        return self._failures

    def next_call(self, now: float, number: int) -> list[_messages.Action]:
        """Return the call to make now, if any."""
        if now < self.due:
            return []
        self._earliest_call_at = now + _MIN_CALL_INTERVAL_S
        if now >= self._next_read_at:
            self._in_flight_until = now + _CALL_TIMEOUT_S
            return [_messages.ReadService(max(0, number - 1))]
        self._in_flight_until = now + self._watch_wait_s + _CALL_TIMEOUT_S
        return [_messages.WatchService(number, self._watch_wait_s)]

    def read_ended(self, now: float) -> None:
        """Record the reply to a read; a watch comes next."""
        self._in_flight_until = now
        self._failures = 0
        self._next_read_at = now + _MAX_READ_INTERVAL_S * self._rng.uniform(
            1 / 2, 1
        )

    def watch_ended(self, now: float, has_new_entries: bool) -> None:
        """Record the reply to a watch; new entries are read at once."""
        self._in_flight_until = now
        self._failures = 0
        if has_new_entries:
            self._next_read_at = now
            self._earliest_call_at = min(self._earliest_call_at, now)

    def call_failed(self, now: float) -> None:
        """Record a call without a reply; a read is tried after a delay."""
        self._in_flight_until = now
        self._failures += 1
        self._next_read_at = now
        self._earliest_call_at = now + self._rng.uniform(
            _MAX_RETRY_DELAY_S / 2, _MAX_RETRY_DELAY_S
        )

    def start(self, now: float, max_delay_s: float) -> None:
        """Schedule the first call at a random time within the delay.

        A positive delay means that the whole fleet may be reading, so watches
        are long to keep calls few. Otherwise watches are short, because a
        lost reply is noticed only when the watch times out.
        """
        self._watch_wait_s = (
            _NO_VIEW_WATCH_WAIT_S if max_delay_s else _WATCH_WAIT_S
        )
        self._earliest_call_at = now + self._rng.uniform(0, max_delay_s)
