"""Spread of the configuration: from the service, and between processes."""

import random
from typing import Final

from lentilspool.config import (
    _exchange,
    _holder,
    _messages,
    _offers,
    _readiness,
    _reading,
    _view,
)

_NEAR_PEERS: Final = 4
_FAR_PEERS: Final = 4
_DIGEST_PERIOD_S: Final = 2.0
_JITTER: Final = 0.1
_PAUSE_S: Final = 6.0

_Actions = list[_messages.Action]


class Spread:
    """Decides what one process sends and reads to stay current.

    The shell calls ``follow`` with each view of live processes, ``tick``
    a few times a second, ``on_message`` with each message of a peer, and
    ``on_read``, ``on_watch`` or ``on_service_failure`` with the answer of a
    call to the service. It carries out the actions that each returns, and
    serves while ``ready``. Messages may be lost, doubled and reordered.
    """

    def __init__(
        self,
        me: _view.Member,
        holder: _holder.Holder,
        rng: random.Random,
        now: float,
    ) -> None:
        self._me = me
        self._holder = holder
        self._rng = rng
        self._exchange = _exchange.Exchange(holder, rng, now)
        self._reading = _reading.Reading(me, rng, now)
        self._readiness = _readiness.Readiness()
        self._peers: tuple[str, ...] = ()
        self._digest_at = now + rng.uniform(0, _DIGEST_PERIOD_S)
        self._ticked_at = now
        self._has_view = False

    @property
    def ready(self) -> bool:
        """Whether the process may serve."""
        return self._readiness.ready

    @property
    def reads(self) -> bool:
        """Whether this process reads the service."""
        return self._reading.chosen

    @property
    def due(self) -> float:
        """Time until which ``tick`` has nothing to do."""
        times = [self._digest_at, self._exchange.due, self._readiness.due]
        if self._reading.chosen and not self._asks_peers_first():
            times.append(self._reading.due)
        return min(times)

    def follow(self, now: float, view: _view.View) -> None:
        """Take a view of the live processes."""
        self._peers = view.neighbours(self._me, _NEAR_PEERS, _FAR_PEERS)
        self._reading.follow(now, view)
        self._exchange.follow(self._peers)
        if not self._has_view:
            self._has_view = True
            self._readiness.begin(now, self._peers)

    def tick(self, now: float) -> _Actions:
        """Return what is due."""
        self._note_pause(now)
        digest = self._exchange.digest
        actions = self._probes(now, digest)
        actions.extend(
            _messages.Send(peer, digest) for peer in self._digest_peers(now)
        )
        actions.extend(self._exchange.retry(now))
        if not self._asks_peers_first() or self._may_begin(now):
            actions.extend(self._reading.next_call(now, self._holder.number))
        self._readiness.update(now, self._holder.number)
        return actions

    def on_message(
        self, now: float, peer: str, message: _messages.Message
    ) -> _Actions:
        """Return the answers to a message of a peer."""
        self._reading.heard(now, peer)
        if self._holder.agrees(message.number, message.digest):
            self._readiness.heard(now, peer, message.number)
        else:
            self._readiness.forked(peer)
        actions = self._exchange.on_message(now, peer, message)
        self._readiness.update(now, self._holder.number)
        return actions

    def on_read(self, now: float, entries: tuple[bytes, ...]) -> _Actions:
        """Take the answer of ``ReadService``: the entries after a number.

        The base comes first where the service has one after that number.
        """
        self._reading.on_read(now)
        before = self._holder.number
        outcome = self._holder.offer_service(entries)
        self._readiness.update(now, self._holder.number)
        if isinstance(outcome, _offers.Adopted):
            return self._exchange.announce(now, before, '')
        return []

    def on_watch(self, now: float, has_news: bool) -> _Actions:
        """Take the answer of ``WatchService``; news are read at once."""
        return self._reading.on_watch(now, self._holder.number, has_news)

    def on_service_failure(self, now: float) -> None:
        """Record that a call to the service failed; it is tried later."""
        self._reading.on_failure(now)

    def dump(self) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {
            'ready': self.ready,
            'reads_service': self.reads,
            'service_failures': self._reading.failures,
            'peers': list(self._peers),
            'watched_by': list(self._reading.successors),
        }

    def _asks_peers_first(self) -> bool:
        return self._has_view and not self._holder.number

    def _may_begin(self, now: float) -> bool:
        """Tell whether a process that holds nothing may ask the service.

        What peers hold goes first, because the service may be forked.
        """
        if not self._has_view:
            return True
        unknown = self._readiness.claimed(now) == 0
        return unknown and self._readiness.settled(now)

    def _probes(self, now: float, held: _messages.ConfigDigest) -> _Actions:
        peers = self._readiness.probes(now)
        message: _messages.Message = held
        if self._readiness.insists:
            message = _messages.ConfigPull(held.number, held.digest)
        return [_messages.Send(peer, message) for peer in peers]

    def _digest_peers(self, now: float) -> tuple[str, ...]:
        if now < self._digest_at:
            return ()
        spread_s = _DIGEST_PERIOD_S * _JITTER
        period_s = _DIGEST_PERIOD_S + self._rng.uniform(-spread_s, spread_s)
        self._digest_at = now + period_s
        self._reading.choose(now)
        sampled = (self._rng.choice(self._peers),) if self._peers else ()
        return (*self._reading.successors, *sampled)

    def _note_pause(self, now: float) -> None:
        gap_s = now - self._ticked_at
        self._ticked_at = now
        if gap_s > _PAUSE_S and self._has_view:
            self._reading.forgive(now)
            self._readiness.begin(now, self._peers)
