"""Distribution of the configuration, from the service and between peers."""

import random
from typing import Final

from lentilspool.config import (
    _exchange,
    _log_replica,
    _messages,
    _offers,
    _readiness,
    _reading,
    _view,
)

_NEAR_PEERS: Final = 4
_FAR_PEERS: Final = 4
_DIGEST_PERIOD_S: Final = 2.0
_DIGEST_JITTER_SHARE: Final = 0.1
_PAUSE_THRESHOLD_S: Final = 6.0

_Actions = list[_messages.Action]


class Synchronizer:
    """Decides which messages and calls keep one process up to date.

    The caller invokes ``update_view`` for each view of live processes,
    ``tick`` a few times a second, ``on_message`` for each message of a peer,
    and ``on_read``, ``on_watch`` or ``on_service_failure`` when a call to the
    service ends. It performs the actions that these return, and serves while
    ``ready``. Messages may be lost, duplicated and reordered.
    """

    def __init__(
        self,
        member: _view.Member,
        replica: _log_replica.LogReplica,
        rng: random.Random,
        now: float,
    ) -> None:
        self._member = member
        self._replica = replica
        self._rng = rng
        self._exchange = _exchange.Exchange(replica, rng, now)
        self._reading = _reading.ServiceReader(member, rng, now)
        self._readiness = _readiness.Readiness()
        self._peers: tuple[str, ...] = ()
        self._next_digest_at = now + rng.uniform(0, _DIGEST_PERIOD_S)
        self._last_tick_at = now
        self._has_view = False

    @property
    def ready(self) -> bool:
        """Whether the process may serve."""
        return self._readiness.ready

    @property
    def is_reader(self) -> bool:
        """Whether this process reads the service."""
        return self._reading.is_reader

    @property
    def due(self) -> float:
        """Time until which ``tick`` has nothing to do."""
        times = [self._next_digest_at, self._exchange.due, self._readiness.due]
        if self._reading.is_reader and not self._asks_peers_first():
            times.append(self._reading.due)
        return min(times)

    def update_view(self, now: float, view: _view.View) -> None:
        """Apply a new view of the live processes."""
        self._peers = view.neighbours(self._member, _NEAR_PEERS, _FAR_PEERS)
        self._reading.update_view(now, view)
        self._exchange.update_neighbours(self._peers)
        if not self._has_view:
            self._has_view = True
            self._readiness.start_probing(now, self._peers)

    def tick(self, now: float) -> _Actions:
        """Return the messages and calls that are due."""
        self._detect_pause(now)
        digest = self._exchange.digest
        actions = self._probe_actions(now, digest)
        actions.extend(
            _messages.Send(peer, digest) for peer in self._digest_peers(now)
        )
        actions.extend(self._exchange.due_pull(now))
        if not self._asks_peers_first() or self._may_call_service(now):
            actions.extend(self._reading.next_call(now, self._replica.number))
        self._readiness.update(now, self._replica.number)
        return actions

    def on_message(
        self, now: float, peer: str, message: _messages.Message
    ) -> _Actions:
        """Return the replies to a peer's message."""
        self._reading.mark_seen(now, peer)
        if self._replica.is_consistent(message.number, message.digest):
            self._readiness.record_number(now, peer, message.number)
        else:
            self._readiness.ignore_forked(peer)
        actions = self._exchange.on_message(now, peer, message)
        self._readiness.update(now, self._replica.number)
        return actions

    def on_read(self, now: float, entries: tuple[bytes, ...]) -> _Actions:
        """Apply the reply to ``ReadService``: the entries after a number.

        If the service has a base after that number, the base comes first.
        """
        self._reading.on_read(now)
        before = self._replica.number
        outcome = self._replica.offer_service_entries(entries)
        self._readiness.update(now, self._replica.number)
        if isinstance(outcome, _offers.Adopted):
            return self._exchange.announce(now, before, '')
        return []

    def on_watch(self, now: float, has_new_entries: bool) -> _Actions:
        """Apply the reply to ``WatchService``; new entries are read at once."""
        return self._reading.on_watch(
            now, self._replica.number, has_new_entries
        )

    def on_service_failure(self, now: float) -> None:
        """Record that a call to the service failed; it is retried later."""
        self._reading.on_failure(now)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'ready': self.ready,
            'reads_service': self.is_reader,
            'service_failures': self._reading.failures,
            'peers': list(self._peers),
            'watched_by': list(self._reading.successors),
        }

    def _asks_peers_first(self) -> bool:
        return self._has_view and not self._replica.number

    def _may_call_service(self, now: float) -> bool:
        """Return whether a process that holds nothing may call the service.

        Peers that hold a configuration are preferred, because the service
        may be forked.
        """
        if not self._has_view:
            return True
        no_peer_ahead = self._readiness.highest_peer_number(now) == 0
        return no_peer_ahead and self._readiness.is_probing_done(now)

    def _probe_actions(
        self, now: float, own_digest: _messages.ConfigDigest
    ) -> _Actions:
        peers = self._readiness.next_probes(now)
        message: _messages.Message = own_digest
        if self._readiness.needs_pull:
            message = _messages.ConfigPull(own_digest.number, own_digest.digest)
        return [_messages.Send(peer, message) for peer in peers]

    def _digest_peers(self, now: float) -> tuple[str, ...]:
        if now < self._next_digest_at:
            return ()
        jitter_s = _DIGEST_PERIOD_S * _DIGEST_JITTER_SHARE
        period_s = _DIGEST_PERIOD_S + self._rng.uniform(-jitter_s, jitter_s)
        self._next_digest_at = now + period_s
        self._reading.update_role(now)
        sampled = (self._rng.choice(self._peers),) if self._peers else ()
        return (*self._reading.successors, *sampled)

    def _detect_pause(self, now: float) -> None:
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s > _PAUSE_THRESHOLD_S and self._has_view:
            self._reading.mark_all_seen(now)
            self._readiness.start_probing(now, self._peers)
