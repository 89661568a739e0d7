"""How processes that stop as planned make it known."""

import dataclasses
from collections.abc import Iterable
from typing import Final

_REPEAT_INTERVAL_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeLimits:
    """Times of the leaving notice, in seconds."""

    repeat_s: float = _REPEAT_INTERVAL_S
    """Time between two notices to the same lease holder."""

    lease_s: float = 30.0
    """Longest lease that any holder may have; see ``HeartbeatScheduler.lease_s``."""


class LeavingNotice:
    """Tracks which lease holders know that this sidecar is leaving.

    Create it when draining begins. In a periodic task send a full leaving
    heartbeat to each name that ``due`` returns, and call ``acknowledge``
    when a holder sends that heartbeat back. The sidecar refuses new work
    from the start of draining, so a lost notice costs a retry and not a
    request. The process may exit once ``can_exit`` returns true.
    """

    def __init__(
        self, holders: Iterable[str], now: float, limits: NoticeLimits
    ) -> None:
        self._limits = limits
        self._next_notice_at = dict.fromkeys(holders, now)
        self._ends_at = now + limits.lease_s

    @property
    def unacknowledged(self) -> tuple[str, ...]:
        """Holders that have not acknowledged the notice yet."""
        return tuple(self._next_notice_at)

    def due(self, now: float) -> tuple[str, ...]:
        """Return the holders to notify now, and schedule the repetition."""
        if now >= self._ends_at:
            return ()
        names = tuple(
            name for name, at in self._next_notice_at.items() if at <= now
        )
        for name in names:
            self._next_notice_at[name] = now + self._limits.repeat_s
        return names

    def acknowledge(self, holder: str) -> None:
        """Record that the holder knows and sends no new work."""
        self._next_notice_at.pop(holder, None)

    def add(self, holder: str, now: float) -> None:
        """Add a holder that appeared after draining began."""
        self._next_notice_at.setdefault(holder, now)

    def done(self, now: float) -> bool:
        """Tell whether every holder has acknowledged or its lease has ended."""
        return not self._next_notice_at or now >= self._ends_at

    def can_exit(self, in_flight: int, now: float) -> bool:
        """Tell whether the process can exit without interrupting a call."""
        return not in_flight and self.done(now)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessLimits:
    """Times for which a stopping entry goes on taking requests, in seconds."""

    least_s: float = 1.0
    """Two polls of a balancer that asks every half second."""

    quiet_s: float = 0.5
    """Time without a new request after which callers have noticed."""

    most_s: float = 5.0
    """Limit for callers that go on sending to an entry that is not ready."""

    step_s: float = 0.05
    """Time after which the entry asks again."""


class ReadinessNotice:
    """Decides how long an entry that is not ready any more takes requests.

    Call ``begin`` when the entry reports not ready, then ``wait_s`` until it
    returns 0, each time after waiting as long as it says. Call
    ``on_request`` for each new request. Callers that learn of it late, or
    are slow to connect, put off the end, up to the limit. Of each wait, no
    more than a step counts: while the process stood still, it took no
    requests and answered no balancer.
    """

    def __init__(self, limits: ReadinessLimits | None = None) -> None:
        self._limits = limits or ReadinessLimits()
        self._asked_at = 0.0
        self._run_s = 0.0
        self._quiet_s = 0.0
        self._requested = False

    def begin(self, now: float) -> None:
        """Record that the entry reports not ready from now on."""
        self._asked_at = now

    def on_request(self) -> None:
        """Record a new request."""
        self._requested = True

    def wait_s(self, now: float) -> float:
        """Return how long to wait; 0 once new requests are to be refused."""
        limits = self._limits
        counted_s = min(now - self._asked_at, limits.step_s)
        self._asked_at = now
        self._run_s += counted_s
        self._quiet_s = 0 if self._requested else self._quiet_s + counted_s
        self._requested = False
        noticed = (
            self._run_s >= limits.least_s and self._quiet_s >= limits.quiet_s
        )
        if noticed or self._run_s >= limits.most_s:
            return 0
        return limits.step_s
