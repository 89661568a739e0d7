"""Fake endpoint for experiments that slows down or fails."""

import collections
import dataclasses
import functools
import random
from collections.abc import Callable

from bench import _events

SERVICE_S = 0.2
SLOTS = 4
SLOWDOWN = 10
_ERROR_S = 0.05
_MAX_QUEUED = 64


@dataclasses.dataclass(slots=True)
class Job:
    """A call that an endpoint holds."""

    done: Callable[[bool], None]
    open: bool = True


class Endpoint:
    """A queue in order of arrival before a few slots."""

    def __init__(self, queue: _events.EventQueue, rng: random.Random) -> None:
        self.slow = False
        self.fails = False
        self._queue = queue
        self._rng = rng
        self._running = 0
        self._waiting: collections.deque[Job] = collections.deque()

    def offer(self, job: Job) -> bool:
        """Queue a job; return whether there was room."""
        if len(self._waiting) >= _MAX_QUEUED:
            return False
        self._waiting.append(job)
        self._fill()
        return True

    def cancel(self, job: Job) -> None:
        """Stop a job that runs or waits."""
        job.open = False
        if job in self._waiting:
            self._waiting.remove(job)
        else:
            self._running -= 1
            self._fill()

    def _fill(self) -> None:
        while self._waiting and self._running < SLOTS:
            job = self._waiting.popleft()
            self._running += 1
            service_s = self._rng.gammavariate(4, SERVICE_S / 4)
            if self.slow:
                service_s *= SLOWDOWN
            if self.fails:
                service_s = _ERROR_S
            failed = self.fails
            self._queue.after(
                service_s,
                functools.partial(self._end, job, failed),
            )

    def _end(self, job: Job, failed: bool) -> None:
        if not job.open:
            return
        job.open = False
        self._running -= 1
        job.done(not failed)
        self._fill()
