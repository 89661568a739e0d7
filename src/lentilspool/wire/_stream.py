"""Length-prefixed messages over a trio byte stream."""

import dataclasses
import math
import struct
import time
from collections.abc import Iterable
from typing import Final

import trio

from lentilspool.wire import _codec

_LENGTH_PREFIX: Final = struct.Struct('>I')
_RECEIVE_CHUNK_BYTES: Final = 65536
_SEND_TIMEOUT_S: Final = 5.0
_MESSAGES_PER_TURN: Final = 64
# Frames are written together until they have this size.
_WRITE_BYTES: Final = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Returned by ``receive`` once the stream has ended."""

    reason: str
    """Why the stream ended."""


class MessageStream:
    """Sends and receives messages as frames with a four-byte length prefix.

    Only one task may call ``receive``; any number may call ``send``. A frame
    longer than ``max_frame_bytes`` ends the stream, because the bytes after
    it cannot be trusted; any other malformed frame is returned as
    ``Malformed``.
    """

    def __init__(self, stream: trio.abc.Stream, max_frame_bytes: int) -> None:
        self._stream = stream
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._received = 0
        self._send_lock = trio.Lock()
        self._broken = False
        self._last_received_at = -math.inf

    @property
    def last_received_at(self) -> float:
        """Time at which bytes were last received, even part of a frame.

        In seconds since the host booted, including time suspended; minus
        infinity before the first bytes.
        """
        return self._last_received_at

    async def send(self, message: _codec.Message) -> bool:
        """Send a message; return False if the stream is broken.

        A started frame is completed even if the sending task is cancelled,
        so that the receiver never gets part of one. A receiver that does
        not read the frame before the send timeout breaks the stream.
        """
        return await self._send_frames(_frame(message))

    async def send_together(self, messages: Iterable[_codec.Message]) -> bool:
        """Send messages in few writes; return False if the stream is broken.

        Each write is completed or breaks the stream, as ``send`` does.
        """
        frames = bytearray()
        for message in messages:
            frames += _frame(message)
            if len(frames) >= _WRITE_BYTES:
                if not await self._send_frames(bytes(frames)):
                    return False
                frames.clear()
        return not frames or await self._send_frames(bytes(frames))

    async def receive(self) -> _codec.Message | _codec.Malformed | Closed:
        """Return the next message, ``Malformed``, or ``Closed`` at the end."""
        self._received += 1
        if not self._received % _MESSAGES_PER_TURN:
            # One read may bring thousands of small frames.
            await trio.lowlevel.checkpoint()
        if not await self._fill(_LENGTH_PREFIX.size):
            return Closed('end of stream')
        length = int.from_bytes(self._buffer[: _LENGTH_PREFIX.size])
        if length > self._max_frame_bytes:
            return Closed(f'frame of {length} bytes is above the limit')
        if not await self._fill(_LENGTH_PREFIX.size + length):
            return Closed('end of stream inside a frame')
        payload = bytes(
            self._buffer[_LENGTH_PREFIX.size : _LENGTH_PREFIX.size + length]
        )
        del self._buffer[: _LENGTH_PREFIX.size + length]
        return _codec.decode(payload)

    async def aclose(self) -> None:
        """Close the stream; wait at most 1 s for a clean shutdown."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._stream.aclose()

    async def _send_frames(self, frames: bytes) -> bool:
        async with self._send_lock:
            if self._broken:
                return False
            deadline = trio.current_time() + _SEND_TIMEOUT_S
            scope = trio.CancelScope(shield=True, deadline=deadline)
            with scope:
                self._broken = not await self._write(frames)
            if scope.cancelled_caught:
                self._broken = True
            if self._broken:
                await trio.aclose_forcefully(self._stream)
        return not self._broken

    async def _write(self, frames: bytes) -> bool:
        try:
            await self._stream.send_all(frames)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _fill(self, size: int) -> bool:
        """Read until the buffer has ``size`` bytes; False if the stream ends."""
        while len(self._buffer) < size:
            try:
                received = await self._stream.receive_some(_RECEIVE_CHUNK_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            if not received:
                return False
            self._last_received_at = time.clock_gettime(time.CLOCK_BOOTTIME)
            self._buffer += received
        return True


def _frame(message: _codec.Message) -> bytes:
    payload = _codec.encode(message)
    return _LENGTH_PREFIX.pack(len(payload)) + payload
