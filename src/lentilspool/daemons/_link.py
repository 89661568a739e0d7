"""Client side of a connection that multiplexes calls to another process."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from lentilspool import settings, wire
from lentilspool.daemons import _events, _link_health

_LOG = logging.getLogger(__name__)

_MS: Final = 1000
_MAX_SILENCE_LEASE_SHARE: Final = 0.75
_CANCEL_TIMEOUT_S: Final = 1

OnChunk = Callable[[wire.StageChunk], None]
Listener = Callable[['Link', wire.Message], Awaitable[None]]
MakeCall = Callable[[int], wire.Message]
Answer = (
    wire.StageAnswer
    | wire.AdmitAnswer
    | wire.HeldAnswer
    | wire.RenewAnswer
    | wire.CollectAnswer
    | wire.Refusal
)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """Result of a call whose connection ended before the answer arrived."""

    sent: bool
    """Whether sending had started, so that the call may have run."""


@dataclasses.dataclass(slots=True)
class _PendingCall:
    on_chunk: OnChunk | None
    done: trio.Event
    answer: Answer | LinkLost | None = None


class Link:
    """One connection; it is opened once and never reopened.

    Start ``run`` in a nursery. ``call`` sends one call and waits for its
    answer; messages that answer no call go to the listener.

    The connection is closed if it is silent while an answer is outstanding
    and does not answer a probe either, or if nothing arrives for most of a
    lease. Its open calls then end with ``LinkLost``.
    """

    def __init__(
        self,
        target: tuple[str, int],
        hello: wire.Hello,
        link_settings: settings.LinkSettings,
        listener: Listener,
    ) -> None:
        self._target = target
        self._hello = hello
        self._settings = link_settings
        self._listener = listener
        self._stream: wire.MessageStream | None = None
        self._pending: dict[int, _PendingCall] = {}
        self._last_call_id = 0
        self._closed = False
        self._max_silence_s = link_settings.lease_s
        self._health: _link_health.LinkHealth | None = None
        self._scope = trio.CancelScope()
        self.peer: wire.Hello | None = None

    @property
    def usable(self) -> bool:
        """Whether the connection is open."""
        return self._stream is not None and not self._closed

    @property
    def open_calls(self) -> int:
        """Number of calls that wait for an answer."""
        return len(self._pending)

    async def run(self) -> None:
        """Connect and process messages until the connection ends."""
        tcp_stream = await self._connect()
        if tcp_stream is None:
            self._end_pending_calls()
            return
        stream = wire.MessageStream(tcp_stream, self._settings.max_frame_bytes)
        health = _link_health.LinkHealth(self._probe)
        self._health = health
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._close_when_silent, health)
                with self._scope:
                    await self._read(stream, health)
                nursery.cancel_scope.cancel()
        finally:
            self._end_pending_calls()
            await stream.aclose()

    async def call(
        self, make_call: MakeCall, on_chunk: OnChunk | None = None
    ) -> Answer | LinkLost:
        """Send a call and return its answer.

        If nothing has been received for a while, the connection must answer
        a probe before the call is written; otherwise it is closed.
        """
        stream = self._stream
        health = self._health
        if stream is None or health is None or self._closed:
            return LinkLost(sent=False)
        if not await health.confirm_usable():
            self._scope.cancel()
            return LinkLost(sent=False)
        self._last_call_id += 1
        call_id = self._last_call_id
        pending = _PendingCall(on_chunk, trio.Event())
        self._pending[call_id] = pending
        health.record_call_sent()
        try:
            await stream.send(make_call(call_id))
            await pending.done.wait()
        except trio.Cancelled:
            await self._cancel(call_id)
            raise
        finally:
            self._pending.pop(call_id, None)
            health.record_call_ended()
        return pending.answer or LinkLost(sent=True)

    async def send(self, message: wire.Message) -> bool:
        """Send a message that has no answer; return whether it was written."""
        if self._stream is None or self._closed:
            return False
        return await self._stream.send(message)

    async def _connect(self) -> trio.SocketStream | None:
        address, port = self._target
        with trio.move_on_after(self._settings.connect_timeout_s):
            try:
                return await trio.open_tcp_stream(address, port)
            except OSError:
                return None
        return None

    async def _probe(self) -> None:
        await self.send(wire.Probe(self._last_call_id))

    async def _close_when_silent(self, health: _link_health.LinkHealth) -> None:
        await health.wait_until_silent()
        _events.LINK_SILENT.log(_LOG, target=self._target)
        self._scope.cancel()

    async def _read(
        self, stream: wire.MessageStream, health: _link_health.LinkHealth
    ) -> None:
        await stream.send(self._hello)
        self._stream = stream
        _events.LINK_OPENED.log(_LOG, target=self._target)
        while True:
            message: Any = wire.Closed('silent')
            with trio.move_on_after(self._max_silence_s):
                message = await stream.receive()
            if isinstance(message, wire.Closed):
                _events.LINK_CLOSED.log(
                    _LOG, target=self._target, reason=message.reason
                )
                return
            health.record_received()
            await self._dispatch(message)

    async def _dispatch(self, message: wire.Message | wire.Malformed) -> None:
        match message:
            case wire.Malformed(reason=reason):
                _events.MALFORMED.log(_LOG, reason=reason)
            case wire.StageChunk():
                self._deliver_chunk(message)
            case wire.Hello():
                self.peer = message
            case wire.Probe():
                return
            case wire.Heartbeat():
                await self._on_heartbeat(message)
                await self._listener(self, message)
            case _ if isinstance(message, Answer):
                self._deliver_answer(message)
            case _:
                await self._listener(self, message)

    async def _on_heartbeat(self, heartbeat: wire.Heartbeat) -> None:
        """Set the silence limit from the lease; acknowledge a leaving peer."""
        self._max_silence_s = (
            heartbeat.lease_ms / _MS * _MAX_SILENCE_LEASE_SHARE
        )
        if heartbeat.leaving:
            await self.send(heartbeat)

    def _deliver_chunk(self, chunk: wire.StageChunk) -> None:
        pending = self._pending.get(chunk.call_id)
        if pending and pending.on_chunk:
            pending.on_chunk(chunk)

    def _deliver_answer(self, answer: Answer) -> None:
        pending = self._pending.get(answer.call_id)
        if pending is None:
            _events.ANSWER_DROPPED.log(_LOG, call_id=answer.call_id)
            return
        pending.answer = answer
        pending.done.set()

    async def _cancel(self, call_id: int) -> None:
        with trio.CancelScope(
            shield=True, deadline=trio.current_time() + _CANCEL_TIMEOUT_S
        ):
            await self.send(wire.Cancel(call_id))

    def _end_pending_calls(self) -> None:
        self._closed = True
        for pending in self._pending.values():
            pending.done.set()
