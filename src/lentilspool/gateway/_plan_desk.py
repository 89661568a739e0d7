"""The end of a connection that another gateway has opened."""

import logging
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import msgspec
import trio

from lentilspool import serving, settings, wire
from lentilspool.gateway import (
    _events,
    _local_planning,
    _peers,
    _sockets,
)

_logger: Final = logging.getLogger(__name__)
_ASKS: Final = msgspec.msgpack.Decoder(serving.PlanRequest)


class PeerServer:
    """Serves connections that other gateways open."""

    def __init__(
        self,
        own: settings.GatewaySettings,
        knowledge: _peers.Knowledge,
        planning: _local_planning.LocalPlanning,
    ) -> None:
        self._own = own
        self._knowledge = knowledge
        self._planning = planning

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled."""
        listener = _sockets.listen(self._own.peers)
        task_status.started()
        await trio.serve_listeners(self._connected, [listener])

    async def _connected(self, plain: trio.SocketStream) -> None:
        stream = wire.MessageStream(
            _sockets.accepted(plain), self._own.link.max_frame_bytes
        )
        desk = _Desk(self._knowledge, self._planning)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(desk.send_to, stream)
                await desk.receive_from(stream)
                nursery.cancel_scope.cancel()
        finally:
            desk.close()
            await stream.aclose()


class _Desk:
    """Answers one other gateway, and plans its requests."""

    def __init__(
        self,
        knowledge: _peers.Knowledge,
        planning: _local_planning.LocalPlanning,
    ) -> None:
        self._knowledge = knowledge
        self._planning = planning
        self._keys: dict[int, str] = {}
        self._queue = _peers.Queue()
        self._takers: dict[type[Any], Callable[[Any], None]] = {
            wire.GatewayBeat: self._hear,
            wire.PublishedAsk: self._share,
            wire.Published: knowledge.learn,
            wire.PlanCall: self._plan,
            wire.PlanNote: self._note,
        }

    async def send_to(self, stream: wire.MessageStream) -> None:
        """Send what was put until the stream is broken."""
        await self._queue.send_to(stream)

    async def receive_from(self, stream: wire.MessageStream) -> None:
        """Take messages until the stream ends."""
        message = await stream.receive()
        while not isinstance(message, (wire.Closed, wire.Malformed)):
            if not self._take(message):
                return
            message = await stream.receive()

    def close(self) -> None:
        """Drop all plans of a gateway that is gone."""
        for key in self._keys.values():
            self._planning.note(key, 'cancelled')
        self._keys = {}

    def _take(self, message: wire.Message) -> bool:
        """Take a message; False if its content cannot be read."""
        taker = self._takers.get(type(message))
        problem = 'it has no use here'
        if taker:
            try:
                taker(message)
            except msgspec.MsgspecError as error:
                problem = str(error)
            else:
                return True
        _events.PEER_MESSAGE.log(
            _logger, kind=type(message).__name__, problem=problem
        )
        return taker is None

    def _hear(self, beat: wire.GatewayBeat) -> None:
        for ask in self._knowledge.hear(beat):
            self._put(ask)
        view = self._knowledge.view(beat.number)
        self._put(wire.GatewayBeat(beat.number, view, answer=True))

    def _share(self, ask: wire.PublishedAsk) -> None:
        self._put(self._knowledge.share(ask))

    def _plan(self, call: wire.PlanCall) -> None:
        ask = _ASKS.decode(call.ask)
        if not self._planning.can_serve(ask):
            refusal = serving.Refuse(
                ask.key, 'unknown_service', _local_planning.CONFIGURING_S
            )
            self._answered(call.call_id, refusal)
            return
        self._keys[call.call_id] = ask.key
        self._planning.submit(ask, partial(self._answered, call.call_id))

    def _note(self, note: wire.PlanNote) -> None:
        key = self._keys.get(note.call_id)
        if key is None:
            return
        if note.event != 'started':
            self._keys.pop(note.call_id)
        self._planning.note(key, note.event)

    def _answered(self, call: int, answer: _local_planning.Settled) -> None:
        if isinstance(answer, serving.Refuse):
            self._keys.pop(call, None)
            reply = _peers.PlanReply(refuse=answer)
        else:
            reply = _peers.PlanReply(run=answer)
        self._put(wire.PlanAnswer(call, msgspec.msgpack.encode(reply)))

    def _put(self, message: wire.Message) -> None:
        if not self._queue.put(message):
            _events.PEER_LOST.log(_logger, reason='too many messages wait')
