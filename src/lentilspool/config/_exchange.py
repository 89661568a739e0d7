"""Gossip of log entries between processes: digest, pull and push."""

import random
from typing import Final

from lentilspool.config import (
    _log_replica,
    _messages,
    _offers,
    _pulls,
    _upload_budget,
)

_FANOUT: Final = 4
_MAX_EAGER_PUSH_BYTES: Final = 4_000

_Actions = list[_messages.Action]


class Exchange:
    """Answers the messages of peers and announces new entries.

    Small updates are pushed to a few neighbours immediately. For larger ones
    only the digest is sent, and each peer pulls the entries from one source
    at a time.
    """

    def __init__(
        self, replica: _log_replica.LogReplica, rng: random.Random, now: float
    ) -> None:
        self._replica = replica
        self._rng = rng
        self._pulls = _pulls.PullScheduler()
        self._upload_budget = _upload_budget.UploadBudget(now)
        self._neighbours: tuple[str, ...] = ()

    @property
    def digest(self) -> _messages.ConfigDigest:
        """Position and digest of the entries that this process holds."""
        return _messages.ConfigDigest(
            self._replica.number, self._replica.digest
        )

    @property
    def due(self) -> float:
        """Time at which ``due_pull`` may have something to send."""
        return self._pulls.due

    def update_neighbours(self, neighbours: tuple[str, ...]) -> None:
        """Replace the peers to which new entries are announced."""
        self._neighbours = neighbours

    def due_pull(self, now: float) -> _Actions:
        """Return the pull that is due, if any."""
        return self._pulls.next_pull(now, self.digest)

    def on_message(
        self, now: float, peer: str, message: _messages.Message
    ) -> _Actions:
        """Return the replies to a peer's message."""
        if isinstance(message, _messages.ConfigPush):
            return self._on_push(now, peer, message)
        if not self._replica.check_peer_digest(
            message.number, message.digest, peer
        ):
            self._pulls.remove_source(peer)
            return []
        if isinstance(message, _messages.ConfigPull):
            return self._on_pull(now, peer, message)
        return self._on_digest(now, peer, message)

    def announce(self, now: float, number: int, source: str) -> _Actions:
        """Send the entries after ``number``, or a digest, to random neighbours.

        ``source`` is the peer that sent them, which is left out.
        """
        update = self._update_since(number)
        if isinstance(update, _messages.ConfigPush):
            self._upload_budget.try_spend(
                now, _FANOUT * _upload_budget.push_bytes(update)
            )
        others = [peer for peer in self._neighbours if peer != source]
        chosen = self._rng.sample(others, min(_FANOUT, len(others)))
        return [_messages.Send(peer, update) for peer in chosen]

    def _on_digest(
        self, now: float, peer: str, digest: _messages.ConfigDigest
    ) -> _Actions:
        own_number = self._replica.number
        if digest.number > own_number:
            self._pulls.add_source(peer, digest.number)
            return self.due_pull(now)
        if digest.number < own_number:
            return [_messages.Send(peer, self._update_since(digest.number))]
        return []

    def _on_pull(
        self, now: float, peer: str, pull: _messages.ConfigPull
    ) -> _Actions:
        push = _upload_budget.push_after(self._replica, pull.number)
        if push is None:
            return [_messages.Send(peer, self.digest)]
        if not self._upload_budget.try_spend(
            now, _upload_budget.push_bytes(push)
        ):
            return []
        return [_messages.Send(peer, push)]

    def _on_push(
        self, now: float, peer: str, push: _messages.ConfigPush
    ) -> _Actions:
        before = self._replica.number
        outcome = self._replica.offer(push.entries, push.digest, peer)
        if isinstance(outcome, _offers.Adopted):
            self._pulls.on_entries(now)
            return self.announce(now, before, peer) + self.due_pull(now)
        if isinstance(outcome, _offers.Unchanged):
            return []
        if outcome.fault is _offers.Fault.gap:
            self._pulls.add_source(peer, push.number)
            return self.due_pull(now)
        self._pulls.remove_source(peer)
        return []

    def _update_since(
        self, number: int
    ) -> _messages.ConfigDigest | _messages.ConfigPush:
        push = _upload_budget.push_after(self._replica, number)
        if push is None or push.number < self._replica.number:
            return self.digest
        return (
            push
            if _upload_budget.push_bytes(push) <= _MAX_EAGER_PUSH_BYTES
            else self.digest
        )
