"""Framed messages over a trio byte stream."""

import dataclasses
import math
import struct
import time
from typing import Final

import trio

from lentilspool.wire import _codec

_LENGTH: Final = struct.Struct('>I')
_RECEIVE_BYTES: Final = 65536
_SEND_LIMIT_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The stream has ended; no message follows."""

    reason: str
    """Why it ended."""


class MessageStream:
    """Sends and receives messages as frames with a four-byte length.

    ``receive`` is for one task; ``send`` may be called from many. A frame
    above ``max_frame_bytes`` ends the stream, since what follows it cannot
    be trusted; any other malformed frame is returned as a value.
    """

    def __init__(self, stream: trio.abc.Stream, max_frame_bytes: int) -> None:
        self._stream = stream
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._send_lock = trio.Lock()
        self._broken = False
        self._heard_at = -math.inf

    @property
    def heard_at(self) -> float:
        """When bytes came last, a part of a long frame too.

        In seconds since the host started, with suspended time.
        """
        return self._heard_at

    async def send(self, message: _codec.Message) -> bool:
        """Send a message whole; return False if the stream is broken.

        A frame that was begun is finished even if the sender is cancelled;
        a receiver that takes nothing for a while breaks the stream.
        """
        payload = _codec.encode(message)
        frame = _LENGTH.pack(len(payload)) + payload
        async with self._send_lock:
            if self._broken:
                return False
            deadline = trio.current_time() + _SEND_LIMIT_S
            scope = trio.CancelScope(shield=True, deadline=deadline)
            with scope:
                self._broken = not await self._write(frame)
            if scope.cancelled_caught:
                self._broken = True
            if self._broken:
                await trio.aclose_forcefully(self._stream)
        return not self._broken

    async def receive(self) -> _codec.Message | _codec.Malformed | Closed:
        """Return the next message, a malformed frame, or the end."""
        if not await self._fill(_LENGTH.size):
            return Closed('end of stream')
        length = int.from_bytes(self._buffer[: _LENGTH.size])
        if length > self._max_frame_bytes:
            return Closed(f'frame of {length} bytes is above the limit')
        if not await self._fill(_LENGTH.size + length):
            return Closed('end of stream inside a frame')
        payload = bytes(self._buffer[_LENGTH.size : _LENGTH.size + length])
        del self._buffer[: _LENGTH.size + length]
        return _codec.decode(payload)

    async def aclose(self) -> None:
        """Close the stream without waiting for the other end."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._stream.aclose()

    async def _write(self, frame: bytes) -> bool:
        try:
            await self._stream.send_all(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _fill(self, size: int) -> bool:
        """Read until the buffer holds ``size`` bytes; False at the end."""
        while len(self._buffer) < size:
            try:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
            if not received:
                return False
            self._heard_at = time.clock_gettime(time.CLOCK_BOOTTIME)
            self._buffer += received
        return True
