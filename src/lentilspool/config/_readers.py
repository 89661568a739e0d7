"""Who reads the configuration service, and takeover of silent readers."""

from typing import Final

from lentilspool.config import _view

_READERS_PER_ZONE: Final = 2
_WATCHED_RANKS: Final = 3
_SILENCE_S: Final = 6.0


class Readers:
    """Tells whether this process reads the service.

    The processes of a zone are ranked by hash. A process sends digests to
    the few that follow it, and reads if too few of the few before it have
    been heard. Call ``heard`` with each message and ``follow`` with each
    view.
    """

    def __init__(self, me: _view.Member) -> None:
        self._me = me
        self._before: tuple[str, ...] = ()
        self._after: tuple[str, ...] = ()
        self._heard_at: dict[str, float] = {}

    @property
    def successors(self) -> tuple[str, ...]:
        """Processes that watch this one."""
        return self._after

    def follow(self, now: float, view: _view.View) -> None:
        """Take the ranks of a new view; a new predecessor counts as heard."""
        before, after = view.around(self._me, _WATCHED_RANKS)
        self._before = before
        self._after = after
        self._heard_at = {
            peer: self._heard_at.get(peer, now) for peer in self._before
        }

    def heard(self, now: float, peer: str) -> None:
        """Record that a peer has sent something."""
        if peer in self._before:
            self._heard_at[peer] = now

    def forgive(self, now: float) -> None:
        """Count every predecessor as heard, after a pause of our own."""
        self._heard_at = dict.fromkeys(self._before, now)

    def reads(self, now: float) -> bool:
        """Tell whether this process has to read the service."""
        alive = sum(
            1 for at in self._heard_at.values() if now - at <= _SILENCE_S
        )
        return alive < _READERS_PER_ZONE
