"""Decides when to request published state from another gateway.

When a large configuration is published, many gateways with narrow links read
it at once, and each of them learns from all its peers that it is behind. A
gateway therefore first leaves its own reader of the store time to fetch the
state, and then requests it from one peer at a time.
"""


class CatchUp:
    """Tracks one kind of published state.

    Call ``should_request`` for each heartbeat.
    """

    def __init__(self, grace_s: float, answer_timeout_s: float) -> None:
        self._grace_s = grace_s
        self._answer_timeout_s = answer_timeout_s
        self._own_version = 0
        self._newest_peer_version = 0
        self._behind_since: float | None = None
        self._requested_at: float | None = None

    def should_request(
        self, own_version: int, peer_version: int, now: float
    ) -> bool:
        """Record the version of a peer; return whether to request its state.

        The versions are those that this process and the peer hold. A process
        without any state (version 0) requests it without delay.
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
