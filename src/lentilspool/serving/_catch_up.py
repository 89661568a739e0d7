"""When to ask another gateway for published state.

Answers a large configuration that many gateways with narrow links read at
once: each of them hears from all its neighbours that it is behind, and asks
one at a time, after its own reader of the store had time to bring the state.
"""


class CatchUp:
    """Watches one kind of published state; call ``told`` for each beat."""

    def __init__(self, grace_s: float, answer_timeout_s: float) -> None:
        self._grace_s = grace_s
        self._answer_timeout_s = answer_timeout_s
        self._own_version = 0
        self._newest_peer_version = 0
        self._behind_since: float | None = None
        self._requested_at: float | None = None

    def told(self, own_version: int, peer_version: int, now: float) -> bool:
        """Take in what a neighbour holds; return whether to ask it.

        ``held`` and ``told`` are versions of this process and of the
        neighbour. A process that holds nothing asks without delay.
        """
        if (
            own_version != self._own_version
            or own_version >= self._newest_peer_version
        ):
            self._own_version = own_version
            self._behind_since = None
        if peer_version <= own_version:
            return False
        self._newest_peer_version = max(self._newest_peer_version, peer_version)
        if self._behind_since is None:
            self._behind_since = now
        if own_version and now - self._behind_since < self._grace_s:
            return False
        requested_at = self._requested_at
        if (
            requested_at is not None
            and now - requested_at < self._answer_timeout_s
        ):
            return False
        self._requested_at = now
        return True
