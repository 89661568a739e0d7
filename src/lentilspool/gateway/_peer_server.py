"""The server for connections that other gateways open."""

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
    _stream_records,
)

_logger: Final = logging.getLogger(__name__)
_PLAN_REQUEST_DECODER: Final = msgspec.msgpack.Decoder(serving.PlanRequest)


class PeerServer:
    """Serves connections that other gateways open."""

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        cluster: _peers.ClusterState,
        planning: _local_planning.LocalPlanning,
    ) -> None:
        self._settings = gateway_settings
        self._cluster = cluster
        self._planning = planning

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled."""
        listener = _sockets.listen(self._settings.peers)
        task_status.started()
        await trio.serve_listeners(self._serve_connection, [listener])

    async def _serve_connection(self, raw_stream: trio.SocketStream) -> None:
        stream = wire.MessageStream(
            _sockets.configure_accepted(raw_stream),
            self._settings.link.max_frame_bytes,
        )
        session = _PeerSession(self._cluster, self._planning)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.send_to, stream)
                nursery.start_soon(session.share_suspicions)
                await session.receive_from(stream)
                nursery.cancel_scope.cancel()
        finally:
            session.close()
            await stream.aclose()


class _PeerSession:
    """Serves one connection: answers heartbeats and plans requests."""

    def __init__(
        self,
        cluster: _peers.ClusterState,
        planning: _local_planning.LocalPlanning,
    ) -> None:
        self._cluster = cluster
        self._planning = planning
        self._request_keys: dict[int, str] = {}
        self._outbox = _peers.Outbox()
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            wire.GatewayBeat: self._handle_heartbeat,
            wire.PublishedAsk: self._send_published,
            wire.Published: cluster.merge_published,
            wire.Suspicions: cluster.quarantine.merge,
            wire.PlanCall: self._handle_plan_call,
            wire.PlanNote: self._handle_plan_note,
        }

    async def send_to(self, stream: wire.MessageStream) -> None:
        """Send queued messages until the stream is broken."""
        await self._outbox.send_to(stream)

    async def share_suspicions(self) -> None:
        """Send suspicions as they change, until cancelled."""
        await self._cluster.quarantine.share(self._enqueue)

    async def receive_from(self, stream: wire.MessageStream) -> None:
        """Handle messages until the stream ends."""
        message = await stream.receive()
        while not isinstance(message, (wire.Closed, wire.Malformed)):
            if not self._handle(message):
                return
            message = await stream.receive()

    def close(self) -> None:
        """Cancel the plans of a gateway that has disconnected."""
        for key in self._request_keys.values():
            self._planning.record_event(key, 'cancelled')
        self._request_keys = {}

    def _handle(self, message: wire.Message) -> bool:
        """Handle a message; return False if its content is unreadable."""
        handler = self._handlers.get(type(message))
        problem = 'no handler for this type of message'
        if handler:
            try:
                handler(message)
            except msgspec.MsgspecError as error:
                problem = str(error)
            else:
                return True
        _events.PEER_MESSAGE.log(
            _logger, kind=type(message).__name__, problem=problem
        )
        return handler is None

    def _handle_heartbeat(self, heartbeat: wire.GatewayBeat) -> None:
        for request in self._cluster.apply_heartbeat(heartbeat):
            self._enqueue(request)
        view = self._cluster.view(heartbeat.number)
        self._enqueue(wire.GatewayBeat(heartbeat.number, view, answer=True))

    def _send_published(self, request: wire.PublishedAsk) -> None:
        self._enqueue(self._cluster.export_published(request))

    def _handle_plan_call(self, call: wire.PlanCall) -> None:
        plan_request = _PLAN_REQUEST_DECODER.decode(call.ask)
        if not self._planning.can_serve(plan_request):
            refusal = serving.Refuse(
                plan_request.key,
                'unknown_service',
                _local_planning.CONFIGURATION_RETRY_AFTER_S,
            )
            self._send_decision(call.call_id, refusal)
            return
        self._request_keys[call.call_id] = plan_request.key
        self._planning.submit(
            plan_request, partial(self._send_decision, call.call_id)
        )

    def _handle_plan_note(self, note: wire.PlanNote) -> None:
        if note.call_id == _stream_records.NOTES_CALL:
            self._cluster.streams.handle(note.event, self._enqueue)
            return
        key = self._request_keys.get(note.call_id)
        if key is None:
            return
        if note.event != 'started':
            self._request_keys.pop(note.call_id)
        self._planning.record_event(key, note.event)

    def _send_decision(
        self, call_id: int, decision: _local_planning.PlanDecision
    ) -> None:
        if isinstance(decision, serving.Refuse):
            self._request_keys.pop(call_id, None)
            reply = _peers.PlanReply(refuse=decision)
        else:
            reply = _peers.PlanReply(run=decision)
        self._enqueue(wire.PlanAnswer(call_id, msgspec.msgpack.encode(reply)))

    def _enqueue(self, message: wire.Message) -> None:
        if not self._outbox.put(message):
            _events.PEER_LOST.log(_logger, reason='the outbox is full')
