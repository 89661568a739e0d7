"""Fake of an endpoint with its sidecar's queue, in virtual time."""

import dataclasses
from collections.abc import Callable

from bench import _events
from lentilspool import limits


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A stage call with the fake's knowledge of it."""

    queued: limits.QueuedCall
    """The call as the queue sees it."""

    service_s: float
    """Time that it will take, in seconds."""

    ended: Callable[[], None]
    """Called when the call has been served."""

    dropped: Callable[[], None]
    """Called when the queue drops the call."""


class QueuedEndpoint:
    """Serves calls in a fixed number of slots, in the queue's order."""

    def __init__(
        self,
        events: _events.EventQueue,
        queue: limits.QueuePolicy,
        slots: int,
    ) -> None:
        self._events = events
        self._queue = queue
        self._slots = slots
        self._calls: dict[int, Call] = {}
        self._running: dict[int, float] = {}
        self._runs: list[tuple[float, float]] = []

    @property
    def queued_s(self) -> float:
        """Expected cost of the waiting calls, in seconds of one slot."""
        return self._queue.cost

    @property
    def outstanding_s(self) -> float:
        """Expected cost of all calls that have not ended."""
        return self._queue.cost + sum(self._running.values())

    def busy_s(self, begin: float, end: float) -> float:
        """Return the seconds of slots used in an interval."""
        return sum(
            max(0, min(stopped, end) - max(started, begin))
            for started, stopped in self._runs
        )

    def send(self, call: Call) -> None:
        """Queue a call, and start what can start."""
        self._calls[call.queued.call_id] = call
        self._drop(self._queue.offer(call.queued, self._events.now))
        self._start()

    def _start(self) -> None:
        while len(self._running) < self._slots and len(self._queue):
            taken = self._queue.take(self._events.now)
            if taken.call is not None:
                self._run(self._calls.pop(taken.call.call_id))
            self._drop(taken.dropped)

    def _run(self, call: Call) -> None:
        self._running[call.queued.call_id] = call.queued.cost
        now = self._events.now
        self._runs.append((now, now + call.service_s))

        def end() -> None:
            self._running.pop(call.queued.call_id)
            call.ended()
            self._start()

        self._events.after(call.service_s, end)

    def _drop(self, dropped: tuple[limits.Dropped, ...]) -> None:
        for gone in dropped:
            self._calls.pop(gone.call.call_id).dropped()
