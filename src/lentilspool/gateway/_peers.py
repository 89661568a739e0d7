"""Connections with other gateways: signs of life, plans, published state."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

import msgspec
import trio

from lentilspool import serving, settings, wire
from lentilspool.gateway import (
    _clock,
    _events,
    _local_planning,
    _published,
    _sockets,
)

_logger: Final = logging.getLogger(__name__)
_QUEUE: Final = 1000
Settle = Callable[[_local_planning.Settled | None], None]
_KINDS: Final = (_published.CONFIGURATION, _published.ENDPOINTS)
# Beats of which one tells of all gateways known; the others are short.
_GOSSIP_BEATS: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a gateway says in a beat."""

    own: serving.Member
    """The gateway itself."""

    others: tuple[tuple[serving.Member, float], ...]
    """Others that it has heard of, and seconds since their last sign; not
    told in each beat."""

    version: int
    """Version of its configuration."""

    revision: int
    """Revision of its listing of endpoints."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlanReply:
    """What a planner has decided; one of the two is set."""

    run: serving.RunAt | None = None
    """Engine that is to run the request."""

    refuse: serving.Refuse | None = None
    """Why the request is given up."""


_VIEWS: Final = msgspec.msgpack.Decoder(View)
_ANSWERS: Final = msgspec.msgpack.Decoder(PlanReply)


class Knowledge:
    """Roster and published state, kept up to date by beats."""

    def __init__(
        self,
        roster: serving.Roster,
        published: _published.Published,
        own: settings.PeerSettings,
    ) -> None:
        self.roster = roster
        self.published = published
        self._catch_ups = [
            serving.CatchUp(own.catch_up_after_s, own.catch_up_limit_s)
            for _ in _KINDS
        ]

    def view(self, number: int) -> bytes:
        """Return what this process says in a beat with this number."""
        now = _clock.now()
        others: tuple[tuple[serving.Member, float], ...] = ()
        if number % _GOSSIP_BEATS == 1:
            others = tuple(self.roster.members(now))
        self.roster.set_ready(self.published.ready)
        view = View(
            self.roster.own,
            others,
            self.published.version,
            self.published.revision,
        )
        return msgspec.msgpack.encode(view)

    def hear(self, beat: wire.GatewayBeat) -> list[wire.PublishedAsk]:
        """Take in a beat; return what is to be asked of its sender."""
        view = _VIEWS.decode(beat.view)
        now = _clock.now()
        self.roster.record_heartbeat(view.own, 0, now)
        for member, age_s in view.others:
            self.roster.record_heartbeat(member, age_s, now)
        own = (self.published.version, self.published.revision)
        told = (view.version, view.revision)
        return [
            wire.PublishedAsk(kind, own[index])
            for index, kind in enumerate(_KINDS)
            if self._catch_ups[index].should_request(
                own[index], told[index], now
            )
        ]

    def share(self, ask: wire.PublishedAsk) -> wire.Published:
        """Return the published state that another gateway asks for."""
        revision, content = self.published.share(ask.kind)
        return wire.Published(ask.kind, revision, content)

    def learn(self, published: wire.Published) -> None:
        """Take in the published state of another gateway."""
        self.published.learn(
            published.kind, published.revision, published.content
        )


class Queue:
    """Messages that wait to be sent on one connection."""

    def __init__(self) -> None:
        channels = trio.open_memory_channel[wire.Message](_QUEUE)
        self._outgoing = channels[0]
        self._to_send = channels[1]

    def put(self, message: wire.Message) -> bool:
        """Queue a message; False if too many wait."""
        try:
            self._outgoing.send_nowait(message)
        except trio.WouldBlock:
            return False
        return True

    async def send_to(self, stream: wire.MessageStream) -> None:
        """Send messages until the stream is broken."""
        async for message in self._to_send:
            if not await stream.send(message):
                return


class Link:
    """A connection that this process opened to another gateway."""

    def __init__(
        self,
        address: str,
        own: settings.PeerSettings,
        knowledge: Knowledge,
        lost: Callable[['Link'], None],
    ) -> None:
        self.address = address
        self._own = own
        self._knowledge = knowledge
        self._lost = lost
        self._stream: wire.MessageStream | None = None
        self._queue = Queue()
        self._plans: dict[int, Settle] = {}
        # Calls whose requests have not ended; the planner holds results of
        # theirs for as long as the connection is there.
        self._open: set[int] = set()
        self._calls = 0
        self._heard_at = 0.0
        self.scope = trio.CancelScope()

    @property
    def up(self) -> bool:
        """Whether the other gateway answers."""
        return self._stream is not None

    @property
    def busy(self) -> bool:
        """Whether the other gateway plans requests that have not ended."""
        return self.up and bool(self._open)

    def plan(
        self,
        ask: serving.PlanRequest,
        answer: Settle,
    ) -> int:
        """Ask the other gateway for a plan; return the number of the call.

        The answer is called once, with None if the connection is lost.
        """
        self._calls += 1
        self._plans[self._calls] = answer
        self._open.add(self._calls)
        self._put(wire.PlanCall(self._calls, msgspec.msgpack.encode(ask)))
        return self._calls

    def note(self, call: int, event: str) -> None:
        """Tell the other gateway what became of a request."""
        self._plans.pop(call, None)
        if event != 'started':
            self._open.discard(call)
        if self.up:
            self._put(wire.PlanNote(call, event))

    async def serve(self) -> None:
        """Keep the connection up until cancelled."""
        with self.scope:
            while True:
                await self._connected()
                await trio.sleep(self._own.beat_s)

    def _put(self, message: wire.Message) -> None:
        if not self._queue.put(message):
            self._drop('too many messages wait')

    def _drop(self, reason: str) -> None:
        if self._stream is None:
            return
        self._stream = None
        _events.PEER_LOST.log(_logger, peer=self.address, reason=reason)
        plans = self._plans
        self._plans = {}
        self._open.clear()
        for answer in plans.values():
            answer(None)
        self._lost(self)

    async def _connected(self) -> None:
        host, port = _sockets.split(self.address)
        plain = await _sockets.connect(host, port, self._own.connect_s)
        if plain is None:
            self._lost(self)
            return
        stream = wire.MessageStream(plain, self._own.max_frame_bytes)
        self._queue = Queue()
        self._heard_at = _clock.now()
        try:
            async with trio.open_nursery() as nursery:
                cancel = nursery.cancel_scope
                nursery.start_soon(self._receive, stream, cancel)
                nursery.start_soon(self._send, stream, cancel)
                nursery.start_soon(self._beat, stream, cancel)
        finally:
            self._drop('closed')
            await stream.aclose()

    async def _beat(
        self, stream: wire.MessageStream, cancel: trio.CancelScope
    ) -> None:
        number = 0
        while True:
            number += 1
            view = self._knowledge.view(number)
            beat = wire.GatewayBeat(number, view, False)
            self._put(beat)
            await trio.sleep(self._own.beat_s)
            heard_at = max(self._heard_at, stream.heard_at)
            if _clock.now() - heard_at > self._own.silent_s:
                self._drop('silent')
                cancel.cancel()

    async def _send(
        self, stream: wire.MessageStream, cancel: trio.CancelScope
    ) -> None:
        await self._queue.send_to(stream)
        cancel.cancel()

    async def _receive(
        self, stream: wire.MessageStream, cancel: trio.CancelScope
    ) -> None:
        message = await stream.receive()
        while not isinstance(message, (wire.Closed, wire.Malformed)):
            self._heard_at = _clock.now()
            if self._stream is None:
                self._stream = stream
                _events.PEER_BACK.log(_logger, peer=self.address)
            if not self._readable(message):
                break
            message = await stream.receive()
        cancel.cancel()

    def _readable(self, message: wire.Message) -> bool:
        """Take a message; False if its content cannot be read."""
        try:
            self._take(message)
        except msgspec.MsgspecError as error:
            _events.PEER_MESSAGE.log(
                _logger,
                peer=self.address,
                kind=type(message).__name__,
                problem=str(error),
            )
            return False
        return True

    def _take(self, message: wire.Message) -> None:
        match message:
            case wire.GatewayBeat():
                self._hear(message)
            case wire.PublishedAsk():
                self._put(self._knowledge.share(message))
            case wire.Published():
                self._knowledge.learn(message)
            case wire.PlanAnswer():
                self._answered(message)
            case _:
                _events.PEER_MESSAGE.log(
                    _logger, peer=self.address, kind=type(message).__name__
                )

    def _hear(self, beat: wire.GatewayBeat) -> None:
        for ask in self._knowledge.hear(beat):
            self._put(ask)

    def _answered(self, answer: wire.PlanAnswer) -> None:
        settle = self._plans.pop(answer.call_id, None)
        if settle:
            reply = _ANSWERS.decode(answer.answer)
            if reply.run is None:
                self._open.discard(answer.call_id)
            settle(reply.run or reply.refuse)
