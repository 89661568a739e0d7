"""When a reader calls the configuration service."""

import random
from typing import Final

from lentilspool.config import _messages

_WAIT_S: Final = 3.0
_LONE_WAIT_S: Final = 30.0
_CALL_SPACING_S: Final = 1.0
_RETRY_S: Final = 0.75
_VERIFY_S: Final = 60.0
_CALL_TIMEOUT_S: Final = 1.0


class ServiceCalls:
    """Schedules reads and watches; one call is open at a time.

    A read repeats the last entry that is held, so a service that was
    rewound or replaced is found out. A watch only tells that there is news;
    a read follows. Call ``next_call`` often, and ``ended`` with each answer.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._open_until = 0.0
        self._not_before = 0.0
        self._verify_at = 0.0
        self._failures = 0
        self._wait_s = _WAIT_S

    @property
    def due(self) -> float:
        """Time of the next call, unless an answer comes before."""
        return max(self._open_until, self._not_before)

    @property
    def failures(self) -> int:
        """Calls that failed since the last answer."""
        return self._failures

    def next_call(self, now: float, number: int) -> list[_messages.Action]:
        """Return the call to make now, or nothing."""
        if now < self.due:
            return []
        self._not_before = now + _CALL_SPACING_S
        if now >= self._verify_at:
            self._open_until = now + _CALL_TIMEOUT_S
            return [_messages.ReadService(max(0, number - 1))]
        self._open_until = now + self._wait_s + _CALL_TIMEOUT_S
        return [_messages.WatchService(number, self._wait_s)]

    def read_ended(self, now: float) -> None:
        """Record the answer of a read; a watch comes next."""
        self._open_until = now
        self._failures = 0
        self._verify_at = now + _VERIFY_S * self._rng.uniform(1 / 2, 1)

    def watch_ended(self, now: float, has_news: bool) -> None:
        """Record the answer of a watch; news are read at once."""
        self._open_until = now
        self._failures = 0
        if has_news:
            self._verify_at = now
            self._not_before = min(self._not_before, now)

    def failed(self, now: float) -> None:
        """Record a call without an answer; a read is tried later."""
        self._open_until = now
        self._failures += 1
        self._verify_at = now
        self._not_before = now + self._rng.uniform(_RETRY_S / 2, _RETRY_S)

    def begin(self, now: float, delay_s: float) -> None:
        """Begin to read; with a delay, calls are few, for a fleet of readers.

        The first call comes after a random part of the delay. Without one, a
        watch is short, because its answer can be lost.
        """
        self._wait_s = _LONE_WAIT_S if delay_s else _WAIT_S
        self._not_before = now + self._rng.uniform(0, delay_s)
