"""Tests of the outgoing messages of a connection between gateways."""

import trio

from lentilspool import wire
from lentilspool.gateway import _peers

LIMIT = 1_000_000
# Turns of the event loop within which a queue must have been written.
TURNS = 10
MESSAGES = 100


class RecordedStream(trio.abc.Stream):
    """Keeps what is written to it."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.writes: list[int] = []

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.lowlevel.checkpoint()
        self.written += data
        self.writes.append(len(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Never waits."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        received = bytes(self.written)
        self.written.clear()
        return received

    async def aclose(self) -> None:
        """Nothing to close."""


def notes(count: int, size: int = 1) -> list[wire.Message]:
    return [wire.PlanNote(number, 'x' * size) for number in range(count)]


async def written_after_turns(
    queued: list[wire.Message],
) -> tuple[list[wire.Message], list[int]]:
    """Return the messages that are written, and the size of each write."""
    outbox = _peers.Outbox()
    raw_stream = RecordedStream()
    for message in queued:
        assert outbox.put(message)
    async with trio.open_nursery() as nursery:
        stream = wire.MessageStream(raw_stream, LIMIT)
        nursery.start_soon(outbox.send_to, stream)
        for _ in range(TURNS):
            await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()
    reader = wire.MessageStream(raw_stream, LIMIT)
    written: list[wire.Message] = []
    received = await reader.receive()
    while not isinstance(received, wire.Closed):
        assert not isinstance(received, wire.Malformed)
        written.append(received)
        received = await reader.receive()
    return written, raw_stream.writes


class TestOutbox:
    def test_queue_is_written_within_a_few_turns_of_the_loop(self) -> None:
        """A busy loop turns seldom; messages must not queue up meanwhile."""
        queued = notes(MESSAGES)
        written, _ = trio.run(written_after_turns, queued)
        assert written == queued

    def test_writes_of_a_long_queue_are_bounded(self) -> None:
        queued = notes(MESSAGES, size=10_000)
        written, writes = trio.run(written_after_turns, queued)
        assert written == queued[: len(written)]
        assert len(writes) > 1
        assert max(writes) < 2 * 65_536
