"""Tests of length-prefixed messages over byte streams."""

from collections.abc import Awaitable, Callable

import trio
from trio import testing

from lentilspool import wire
from lentilspool.wire import _codec as codec

LIMIT = 1_000_000
FIRST = wire.StageChunk(call_id=1, sequence=0, text='a' * 1000)
SECOND = wire.StageChunk(call_id=1, sequence=1, text='b')


def run(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main, clock=testing.MockClock(autojump_threshold=0.01))


class TestSend:
    def test_cancelled_send_still_writes_whole_frame(self) -> None:
        async def main() -> None:
            slow = _SlowStream()
            sender = wire.MessageStream(slow, LIMIT)
            with trio.move_on_after(0.25):
                await sender.send(FIRST)
            await sender.send(SECOND)
            reader = wire.MessageStream(
                _ReplayStream(bytes(slow.written)), LIMIT
            )
            assert await reader.receive() == FIRST
            assert await reader.receive() == SECOND

        run(main)

    def test_receiver_that_stops_reading_breaks_stream(self) -> None:
        async def main() -> None:
            near, _far = testing.lockstep_stream_pair()
            sender = wire.MessageStream(near, LIMIT)
            assert not await sender.send(FIRST)
            assert not await sender.send(SECOND)

        run(main)


class TestReceive:
    def test_frame_longer_than_the_limit_ends_stream(self) -> None:
        async def main() -> None:
            reader = wire.MessageStream(
                _ReplayStream(b'\xff\xff\xff\xff'), LIMIT
            )
            assert isinstance(await reader.receive(), wire.Closed)

        run(main)

    def test_stream_ending_inside_a_frame_is_reported(self) -> None:
        async def main() -> None:
            reader = wire.MessageStream(
                _ReplayStream(b'\x00\x00\x00\x09abc'), LIMIT
            )
            assert await reader.receive() == wire.Closed(
                'end of stream inside a frame'
            )

        run(main)

    def test_other_tasks_run_while_frames_are_read(self) -> None:
        payload = codec.encode(SECOND)
        frame = len(payload).to_bytes(4) + payload
        turns = 0

        async def take_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        async def main() -> None:
            reader = wire.MessageStream(_ReplayStream(frame * 2000), LIMIT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_turns)
                message = await reader.receive()
                while message == SECOND:
                    message = await reader.receive()
                nursery.cancel_scope.cancel()

        run(main)
        assert turns >= 20


class _ReplayStream(trio.abc.Stream):
    """Stream that returns recorded bytes once, then ends."""

    def __init__(self, recorded: bytes) -> None:
        self._recorded = recorded

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        received = self._recorded
        self._recorded = b''
        return received

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        raise trio.BrokenResourceError

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def aclose(self) -> None:
        """Do nothing; there are no resources to release."""


class _SlowStream(_ReplayStream):
    """Stream that writes 100 bytes every 0.1 s."""

    def __init__(self) -> None:
        super().__init__(b'')
        self.written = bytearray()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        for begin in range(0, len(data), 100):
            self.written += data[begin : begin + 100]
            await trio.sleep(0.1)
