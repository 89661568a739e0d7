"""Notice of leaving, repeated until each holder of a lease has it."""

import dataclasses
from collections.abc import Iterable
from typing import Final

_REPEAT_S: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeLimits:
    """Times of the notice, in seconds."""

    repeat_s: float = _REPEAT_S
    """Time between two notices to the same holder."""

    lease_s: float = 30.0
    """Longest lease that a holder may have; see ``Beat.lease_s``."""


class LeavingNotice:
    """Tells every holder of a lease that this sidecar takes no new work.

    Make one when draining begins. In a periodic task send a full leaving
    heartbeat to each name that ``due`` returns, and call ``acknowledge``
    when a holder sends that heartbeat back. From the start the sidecar
    refuses new work itself, so a lost notice costs a retry, not a request.
    The process may end when ``may_stop`` says so.
    """

    def __init__(
        self, holders: Iterable[str], now: float, limits: NoticeLimits
    ) -> None:
        self._limits = limits
        self._due = dict.fromkeys(holders, now)
        self._ends_at = now + limits.lease_s

    @property
    def unacknowledged(self) -> tuple[str, ...]:
        """Holders from which no acknowledgement came yet."""
        return tuple(self._due)

    def due(self, now: float) -> tuple[str, ...]:
        """Return the holders to notify now; each comes again later."""
        if now >= self._ends_at:
            return ()
        names = tuple(name for name, at in self._due.items() if at <= now)
        for name in names:
            self._due[name] = now + self._limits.repeat_s
        return names

    def acknowledge(self, holder: str) -> None:
        """Record that the holder sends no new work."""
        self._due.pop(holder, None)

    def add(self, holder: str, now: float) -> None:
        """Notify a holder that appeared after the start."""
        self._due.setdefault(holder, now)

    def done(self, now: float) -> bool:
        """Tell whether no holder can believe in a live lease any more."""
        return not self._due or now >= self._ends_at

    def may_stop(self, in_flight: int, now: float) -> bool:
        """Tell whether the process can end without cutting off a call."""
        return not in_flight and self.done(now)
