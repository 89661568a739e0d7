"""Exchange of entries between processes: digest, pull and push."""

import random
from typing import Final

from lentilspool.config import (
    _holder,
    _messages,
    _offers,
    _pulls,
    _uploads,
)

_FANOUT: Final = 4
_EAGER_BYTES: Final = 4_000

_Actions = list[_messages.Action]


class Exchange:
    """Answers the messages of peers and passes on what is new.

    Small news are pushed to a few neighbours at once. Of anything larger
    only the digest is sent, and each peer pulls it from one source.
    """

    def __init__(
        self, holder: _holder.Holder, rng: random.Random, now: float
    ) -> None:
        self._holder = holder
        self._rng = rng
        self._pulls = _pulls.Pulls()
        self._uploads = _uploads.Uploads(now)
        self._neighbours: tuple[str, ...] = ()

    @property
    def digest(self) -> _messages.ConfigDigest:
        """What is held."""
        return _messages.ConfigDigest(self._holder.number, self._holder.digest)

    @property
    def due(self) -> float:
        """Time at which ``retry`` may have something to send."""
        return self._pulls.due

    def follow(self, neighbours: tuple[str, ...]) -> None:
        """Take the peers to which news are sent."""
        self._neighbours = neighbours

    def retry(self, now: float) -> _Actions:
        """Return the pull that is due, if any."""
        return self._pulls.next_pull(now, self.digest)

    def on_message(
        self, now: float, peer: str, message: _messages.Message
    ) -> _Actions:
        """Return the answers to a message of a peer."""
        if isinstance(message, _messages.ConfigPush):
            return self._on_push(now, peer, message)
        if not self._holder.compare(message.number, message.digest, peer):
            self._pulls.refused(peer)
            return []
        if isinstance(message, _messages.ConfigPull):
            return self._on_pull(now, peer, message)
        return self._on_digest(now, peer, message)

    def announce(self, now: float, number: int, source: str) -> _Actions:
        """Send what is new since ``number`` to some neighbours."""
        news = self._news(number)
        if isinstance(news, _messages.ConfigPush):
            self._uploads.spend(now, _FANOUT * _uploads.size(news))
        others = [peer for peer in self._neighbours if peer != source]
        chosen = self._rng.sample(others, min(_FANOUT, len(others)))
        return [_messages.Send(peer, news) for peer in chosen]

    def _on_digest(
        self, now: float, peer: str, digest: _messages.ConfigDigest
    ) -> _Actions:
        held = self._holder.number
        if digest.number > held:
            self._pulls.offered(peer, digest.number)
            return self.retry(now)
        if digest.number < held:
            return [_messages.Send(peer, self._news(digest.number))]
        return []

    def _on_pull(
        self, now: float, peer: str, pull: _messages.ConfigPull
    ) -> _Actions:
        push = _uploads.chunk(self._holder, pull.number)
        if push is None:
            return [_messages.Send(peer, self.digest)]
        if not self._uploads.spend(now, _uploads.size(push)):
            return []
        return [_messages.Send(peer, push)]

    def _on_push(
        self, now: float, peer: str, push: _messages.ConfigPush
    ) -> _Actions:
        before = self._holder.number
        outcome = self._holder.offer(push.entries, push.digest, peer)
        if isinstance(outcome, _offers.Adopted):
            self._pulls.answered(now)
            return self.announce(now, before, peer) + self.retry(now)
        if isinstance(outcome, _offers.Unchanged):
            return []
        if outcome.fault is _offers.Fault.gap:
            self._pulls.offered(peer, push.number)
            return self.retry(now)
        self._pulls.refused(peer)
        return []

    def _news(
        self, number: int
    ) -> _messages.ConfigDigest | _messages.ConfigPush:
        push = _uploads.chunk(self._holder, number)
        if push is None or push.number < self._holder.number:
            return self.digest
        return push if _uploads.size(push) <= _EAGER_BYTES else self.digest
