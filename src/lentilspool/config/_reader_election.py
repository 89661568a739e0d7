"""Election of the processes that read the configuration service."""

from typing import Final

from lentilspool.config import _view

_READERS_PER_ZONE: Final = 2
# Also the number of successors that watch this process.
_WATCHED_PREDECESSORS: Final = 3
_SILENCE_TIMEOUT_S: Final = 6.0


class ReaderElection:
    """Decides whether this process has to read the service.

    The processes of a zone are ranked by hash. A process sends digests to
    its nearest successors, and reads if too few of its nearest predecessors
    have sent a message recently. It thus takes over from silent readers. Call
    ``mark_seen`` for each message and ``update_view`` for each view.
    """

    def __init__(self, member: _view.Member) -> None:
        self._member = member
        self._predecessors: tuple[str, ...] = ()
        self._successors: tuple[str, ...] = ()
        self._last_seen_at: dict[str, float] = {}

    @property
    def successors(self) -> tuple[str, ...]:
        """Processes that take over if this one falls silent."""
        return self._successors

    def update_view(self, now: float, view: _view.View) -> None:
        """Apply the ranks of a new view; a new predecessor counts as seen."""
        predecessors, successors = view.around(
            self._member, _WATCHED_PREDECESSORS
        )
        self._predecessors = predecessors
        self._successors = successors
        self._last_seen_at = {
            peer: self._last_seen_at.get(peer, now)
            for peer in self._predecessors
        }

    def mark_seen(self, now: float, peer: str) -> None:
        """Record that a peer sent a message."""
        if peer in self._predecessors:
            self._last_seen_at[peer] = now

    def mark_all_seen(self, now: float) -> None:
        """Count every predecessor as seen, after this process was paused."""
        self._last_seen_at = dict.fromkeys(self._predecessors, now)

    def must_read(self, now: float) -> bool:
        """Return whether too few predecessors are alive."""
        alive = sum(
            1
            for seen_at in self._last_seen_at.values()
            if now - seen_at <= _SILENCE_TIMEOUT_S
        )
        return alive < _READERS_PER_ZONE
