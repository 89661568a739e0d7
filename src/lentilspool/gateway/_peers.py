"""Connections to other gateways.

They carry heartbeats, plan requests and published state.
"""

import contextlib
import dataclasses
import logging
from collections.abc import Callable
from typing import Final

import msgspec
import trio

from lentilspool import serving, settings, wire
from lentilspool.gateway import (
    _clock,
    _content_quarantine,
    _events,
    _local_planning,
    _published,
    _sockets,
    _statements,
    _stream_records,
)

_logger: Final = logging.getLogger(__name__)
_OUTBOX_CAPACITY: Final = 1000
PlanCallback = Callable[
    [_local_planning.PlanDecision | serving.Begun | None], None
]
# Event that a planner reports when it sends the first pieces of a request.
BEGUN: Final = 'begun'
_KINDS: Final = (_published.CONFIGURATION, _published.ENDPOINTS)
# One heartbeat in this many lists all known gateways; the others are short.
_HEARTBEATS_PER_GOSSIP: Final = 4
_REVISION_BITS: Final = 40


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Content of a heartbeat."""

    own: serving.Member
    """The sender."""

    others: tuple[tuple[serving.Member, float], ...]
    """Other gateways that the sender knows, each with the seconds since its
    last heartbeat; empty in most heartbeats."""

    version: int
    """Version of the sender's configuration."""

    revision: int
    """Revision of the sender's listing of endpoints."""

    era: int = 0
    """Era of the store in which that revision was given out; 0 from gateways
    of an older release."""

    limits: tuple[serving.LimitReport, ...] = ()
    """Limits that endpoints have stated lately; all in some heartbeats."""

    leaving: tuple[str, ...] = ()
    """Incarnations of endpoints that have stated lately that they leave; all in
    some heartbeats."""

    backoffs: tuple[tuple[str, float], ...] = ()
    """Incarnations of endpoints that want nothing from the sender, with the
    seconds left."""

    granted: tuple[tuple[str, int], ...] = ()
    """Requests that the sender has sent or granted to endpoints with limits, by
    incarnation."""

    @property
    def listing(self) -> int:
        """Position of the listing as one number."""
        return _listing_number((self.era, self.revision))


@dataclasses.dataclass(frozen=True, slots=True)
class PlanReply:
    """Decision of a planner; exactly one field is set."""

    run: serving.RunAt | None = None
    """Engine that must run the request."""

    refuse: serving.Refuse | None = None
    """Reason why the request is refused."""


_VIEW_DECODER: Final = msgspec.msgpack.Decoder(View)
_PLAN_REPLY_DECODER: Final = msgspec.msgpack.Decoder(PlanReply)


def _listing_number(position: serving.Position) -> int:
    era, revision = position
    return (era << _REVISION_BITS) + revision


class ClusterState:
    """What gateways tell each other: roster, published state, quarantine."""

    def __init__(
        self,
        roster: serving.Roster,
        published: _published.PublishedState,
        quarantine: _content_quarantine.ContentQuarantine,
        peer_settings: settings.PeerSettings,
        statements: _statements.StatementRecorder,
        streams: _stream_records.StreamRecords,
    ) -> None:
        self.quarantine = quarantine
        self.statements = statements
        self.roster = roster
        self.published = published
        self.streams = streams
        self._catch_ups = [
            serving.CatchUp(
                peer_settings.catch_up_after_s, peer_settings.catch_up_limit_s
            )
            for _ in _KINDS
        ]

    def view(self, number: int) -> bytes:
        """Return the encoded view for the heartbeat with this number."""
        now = _clock.now()
        others: tuple[tuple[serving.Member, float], ...] = ()
        gossips = number % _HEARTBEATS_PER_GOSSIP == 1
        if gossips:
            others = tuple(self.roster.members(now))
        self.roster.set_ready(self.published.ready)
        view = View(
            self.roster.own,
            others,
            self.published.version,
            self.published.revision,
            self.published.position[0],
            self.statements.known.reports(now, everything=gossips),
            self.statements.known.leaving.told(now, everything=gossips),
            self.statements.known.own_backoffs(now),
            self.statements.known.totals(),
        )
        return msgspec.msgpack.encode(view)

    def apply_heartbeat(
        self, heartbeat: wire.GatewayBeat
    ) -> list[wire.PublishedAsk]:
        """Record a heartbeat; return requests for newer published state.

        Raises ``msgspec.MsgspecError`` if its view cannot be decoded.
        """
        view = _VIEW_DECODER.decode(heartbeat.view)
        now = _clock.now()
        self.roster.record_heartbeat(view.own, 0, now)
        for member, age_s in view.others:
            self.roster.record_heartbeat(member, age_s, now)
        self.published.store_era.hear(view.era)
        process = f'{view.own.name}/{view.own.incarnation}'
        self.statements.merge(process, view.limits, view.granted, view.leaving)
        self.statements.known.backoffs.merge(view.own.name, view.backoffs, now)
        own = (
            self.published.version,
            _listing_number(self.published.position),
        )
        theirs = (view.version, view.listing)
        known = (self.published.version, self.published.revision)
        return [
            wire.PublishedAsk(kind, known[index])
            for index, kind in enumerate(_KINDS)
            if self._catch_ups[index].should_request(
                own[index], theirs[index], now
            )
        ]

    def export_published(self, request: wire.PublishedAsk) -> wire.Published:
        """Return the published state that another gateway requests."""
        revision, content = self.published.export(request.kind)
        return wire.Published(request.kind, revision, content)

    def merge_published(self, published: wire.Published) -> None:
        """Merge the published state of another gateway.

        Raises ``msgspec.MsgspecError`` if it cannot be decoded.
        """
        self.published.merge(
            published.kind, published.revision, published.content
        )


class Outbox:
    """Bounded queue of outgoing messages of one connection."""

    def __init__(self) -> None:
        channels = trio.open_memory_channel[wire.Message](_OUTBOX_CAPACITY)
        self._sender = channels[0]
        self._messages = channels[1]

    def put(self, message: wire.Message) -> bool:
        """Queue a message; return False if the queue is full."""
        try:
            self._sender.send_nowait(message)
        except trio.WouldBlock:
            return False
        return True

    async def send_to(self, stream: wire.MessageStream) -> None:
        """Send queued messages until the stream is broken."""
        async for first in self._messages:
            if not await stream.send_together([first, *self._take_queued()]):
                return

    def _take_queued(self) -> list[wire.Message]:
        queued: list[wire.Message] = []
        with contextlib.suppress(trio.WouldBlock):
            while len(queued) < _OUTBOX_CAPACITY:
                queued.append(self._messages.receive_nowait())
        return queued


class Link:
    """A connection that this process opened to another gateway."""

    def __init__(
        self,
        address: str,
        peer_settings: settings.PeerSettings,
        cluster: ClusterState,
        lost: Callable[['Link'], None],
    ) -> None:
        self.address = address
        self._settings = peer_settings
        self._cluster = cluster
        self._lost = lost
        self._stream: wire.MessageStream | None = None
        self._outbox = Outbox()
        self._waiting_plans: dict[int, PlanCallback] = {}
        # Plan calls whose requests have not ended. The planner holds their
        # stage results while the connection exists.
        self._open_calls: set[int] = set()
        self._last_call_id = 0
        self._last_received_at = 0.0
        self.scope = trio.CancelScope()

    @property
    def is_up(self) -> bool:
        """Whether the other gateway has answered on the connection."""
        return self._stream is not None

    @property
    def busy(self) -> bool:
        """Whether requests that the other gateway planned have not ended."""
        return self.is_up and bool(self._open_calls)

    def plan(
        self,
        plan_request: serving.PlanRequest,
        callback: PlanCallback,
    ) -> int:
        """Request a plan from the other gateway; return the call id.

        The callback is called once, with None if the connection is lost, and
        before that if the first pieces are sent.
        """
        self._last_call_id += 1
        self._waiting_plans[self._last_call_id] = callback
        self._open_calls.add(self._last_call_id)
        self._enqueue(
            wire.PlanCall(
                self._last_call_id, msgspec.msgpack.encode(plan_request)
            )
        )
        return self._last_call_id

    def report_event(self, call_id: int, event: str) -> None:
        """Report the progress or end of a request to its planner."""
        self._waiting_plans.pop(call_id, None)
        if event != 'started':
            self._open_calls.discard(call_id)
        if self.is_up:
            self._enqueue(wire.PlanNote(call_id, event))

    def send_note(self, text: str) -> None:
        """Send a note about streams, if the connection is up."""
        if self.is_up:
            self._enqueue(wire.PlanNote(_stream_records.NOTES_CALL, text))

    async def serve(self) -> None:
        """Keep the connection open, reconnecting until cancelled."""
        with self.scope:
            while True:
                await self._run_connection()
                await trio.sleep(self._settings.beat_s)

    def _enqueue(self, message: wire.Message) -> None:
        if not self._outbox.put(message):
            self._mark_lost('the outbox is full')

    def _mark_lost(self, reason: str) -> None:
        if self._stream is None:
            return
        self._stream = None
        _events.PEER_LOST.log(_logger, peer=self.address, reason=reason)
        plans = self._waiting_plans
        self._waiting_plans = {}
        self._open_calls.clear()
        for callback in plans.values():
            callback(None)
        self._lost(self)

    async def _run_connection(self) -> None:
        host, port = _sockets.split_address(self.address)
        raw_stream = await _sockets.connect(
            host, port, self._settings.connect_s
        )
        if raw_stream is None:
            self._lost(self)
            return
        stream = wire.MessageStream(raw_stream, self._settings.max_frame_bytes)
        self._outbox = Outbox()
        self._last_received_at = _clock.now()
        try:
            async with trio.open_nursery() as nursery:
                cancel = nursery.cancel_scope
                nursery.start_soon(self._receive, stream, cancel)
                nursery.start_soon(self._send, stream, cancel)
                nursery.start_soon(self._send_heartbeats, stream, cancel)
                nursery.start_soon(
                    self._cluster.quarantine.share, self._enqueue
                )
        finally:
            self._mark_lost('closed')
            await stream.aclose()

    async def _send_heartbeats(
        self, stream: wire.MessageStream, cancel: trio.CancelScope
    ) -> None:
        number = 0
        while True:
            number += 1
            view = self._cluster.view(number)
            heartbeat = wire.GatewayBeat(number, view, False)
            self._enqueue(heartbeat)
            await trio.sleep(self._settings.beat_s)
            last_received_at = max(
                self._last_received_at, stream.last_received_at
            )
            if _clock.now() - last_received_at > self._settings.silent_s:
                self._mark_lost('silent')
                cancel.cancel()

    async def _send(
        self, stream: wire.MessageStream, cancel: trio.CancelScope
    ) -> None:
        await self._outbox.send_to(stream)
        cancel.cancel()

    async def _receive(
        self, stream: wire.MessageStream, cancel: trio.CancelScope
    ) -> None:
        message = await stream.receive()
        while not isinstance(message, (wire.Closed, wire.Malformed)):
            self._last_received_at = _clock.now()
            if self._stream is None:
                self._stream = stream
                _events.PEER_BACK.log(_logger, peer=self.address)
                self._cluster.streams.greet(self)
            if not self._try_handle(message):
                break
            message = await stream.receive()
        cancel.cancel()

    def _try_handle(self, message: wire.Message) -> bool:
        """Handle a message; return False if its content is unreadable."""
        try:
            self._handle(message)
        except msgspec.MsgspecError as error:
            _events.PEER_MESSAGE.log(
                _logger,
                peer=self.address,
                kind=type(message).__name__,
                problem=str(error),
            )
            return False
        return True

    def _handle(self, message: wire.Message) -> None:
        match message:
            case wire.GatewayBeat():
                self._handle_heartbeat(message)
            case wire.PublishedAsk():
                self._enqueue(self._cluster.export_published(message))
            case wire.Published():
                self._cluster.merge_published(message)
            case wire.Suspicions():
                self._cluster.quarantine.merge(message)
            case wire.PlanAnswer():
                self._handle_plan_answer(message)
            case wire.PlanNote(_stream_records.NOTES_CALL, text):
                self._cluster.streams.handle(text, self._enqueue)
            case wire.PlanNote(event=event) if event == BEGUN:
                self._handle_begun(message)
            case _:
                _events.PEER_MESSAGE.log(
                    _logger, peer=self.address, kind=type(message).__name__
                )

    def _handle_heartbeat(self, heartbeat: wire.GatewayBeat) -> None:
        for request in self._cluster.apply_heartbeat(heartbeat):
            self._enqueue(request)

    def _handle_begun(self, note: wire.PlanNote) -> None:
        callback = self._waiting_plans.get(note.call_id)
        if callback:
            callback(serving.Begun(''))

    def _handle_plan_answer(self, answer: wire.PlanAnswer) -> None:
        callback = self._waiting_plans.pop(answer.call_id, None)
        if callback:
            reply = _PLAN_REPLY_DECODER.decode(answer.answer)
            if reply.run is None:
                self._open_calls.discard(answer.call_id)
            callback(reply.run or reply.refuse)
