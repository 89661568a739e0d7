"""Model check: no gateway ever states another version than began a stream."""

import dataclasses
from typing import Final

import trio
from hypothesis import settings, stateful
from hypothesis import strategies as st
from trio import testing

from lentilspool import serving
from lentilspool.gateway import _clock, _published, _stream_records
from lentilspool.platform.tests import stand_ins

NODES: Final = 3
VERSIONS: Final = ('v1.1', 'v1.2')
# Longest time of an attempt without a configuration.
TIMEOUT_S: Final = 30.0
# Time after which a gateway notices that the store is out of reach.
NOTICED_S: Final = 14.0
_ENTRY: Final = stand_ins.encode_entry('m', '127.0.0.1:9', 8, 1, ready=True)
node_numbers = st.integers(0, NODES - 1)


class Node:
    """One start of a gateway."""

    def __init__(self) -> None:
        self.published = _published.PublishedState()
        self.records = _stream_records.StreamRecords(self.published)
        self.cut = False


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream that a caller may take up again."""

    key: str
    """Identity."""

    version: str
    """Version that began it."""

    last_at: float
    """When it was last running at an endpoint."""


class NodeLink:
    """Passes notes to another gateway, and its answers back."""

    def __init__(self, own: Node, other: Node) -> None:
        self._own = own
        self._other = other

    def send_note(self, text: str) -> None:
        self._other.records.handle(
            text,
            lambda note: self._own.records.handle(
                getattr(note, 'event', ''), lambda _: None
            ),
        )


class Machine(stateful.RuleBasedStateMachine):
    """Gateways that restart and are cut off while versions come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.usual_now = _clock.now
        setattr(_clock, 'now', lambda: self.now)  # noqa: B010
        self.revision = 0
        self.listed = {VERSIONS[0]}
        self.nodes = [Node() for _ in range(NODES)]
        self.streams: list[Stream] = []
        self.publish()

    def teardown(self) -> None:
        setattr(_clock, 'now', self.usual_now)  # noqa: B010

    def publish(self) -> None:
        """Let all gateways that reach the store read the listing."""
        self.revision += 1
        items = [
            _published.StoredItem(
                f'servers/e{version}',
                stand_ins.with_version(_ENTRY, version),
                self.revision,
            )
            for version in sorted(self.listed)
        ]
        for node in self.nodes:
            if not node.cut:
                node.published.apply_listing(items, (0, self.revision), 0)
                node.published.versions.confirm(self.now)

    def pass_time(self, seconds: float) -> None:
        """Let time pass while the store answers watches."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 10, end)
            self.publish()

    def links(self, number: int) -> list[_stream_records.Link]:
        own = self.nodes[number]
        if own.cut:
            return []
        others = [one for one in self.nodes if one is not own and not one.cut]
        return [NodeLink(own, other) for other in others]

    def run(self, number: int, stream: Stream, *, find: bool) -> None:
        """Begin a stream, or take it up, if an engine of its version lives."""

        async def play() -> None:
            records = self.nodes[number].records
            async with trio.open_nursery() as nursery:
                nursery.start_soon(records.share, lambda: self.links(number))
                await testing.wait_all_tasks_blocked()
                if not find or await self.is_found(number, stream):
                    begun = serving.StreamVersion('m', stream.version)
                    records.record(stream.key, begun)
                    stream.last_at = self.now
                await testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        trio.run(play, clock=testing.MockClock(autojump_threshold=0))

    async def is_found(self, number: int, stream: Stream) -> bool:
        """Whether a stream is found and may go on here."""
        found = await self.nodes[number].records.find(stream.key, ['m'])
        if found.begun is None:
            return False
        assert found.begun.version == stream.version, found
        return self.is_listed(number, stream.version)

    def is_listed(self, number: int, version: str) -> bool:
        """Whether an engine of a version lives and is known to a gateway."""
        endpoints = self.nodes[number].published.endpoint_index.endpoints
        known = {one.version for one in endpoints}
        return version in known & self.listed

    @stateful.rule(
        number=node_numbers,
        version=st.sampled_from(VERSIONS),
        dies=st.booleans(),
    )
    def begin(self, number: int, version: str, dies: bool) -> None:
        """Begin a stream; its gateway may die before the record is sent."""
        if not self.is_listed(number, version):
            return
        stream = Stream(f's{len(self.streams)}', version, self.now)
        self.streams.append(stream)
        if dies:
            self.restart(number)
        else:
            self.run(number, stream, find=False)

    @stateful.rule(number=node_numbers, draws=st.data())
    def take_up(self, number: int, draws: st.DataObject) -> None:
        live = [
            one
            for one in self.streams
            if self.now - one.last_at <= 2 * TIMEOUT_S
        ]
        if live:
            stream = draws.draw(st.sampled_from(live))
            self.run(number, stream, find=True)

    @stateful.rule(versions=st.sampled_from((VERSIONS[:1], VERSIONS[1:])))
    def change(self, versions: tuple[str, ...]) -> None:
        self.listed = set(versions)
        self.publish()

    @stateful.rule()
    def list_all(self) -> None:
        self.listed = set(VERSIONS)
        self.publish()

    @stateful.rule(seconds=st.sampled_from((1.0, 20.0, 70.0, 200.0)))
    def wait(self, seconds: float) -> None:
        self.pass_time(seconds)

    @stateful.rule(number=node_numbers)
    def restart(self, number: int) -> None:
        self.nodes[number] = Node()
        self.publish()

    @stateful.rule()
    def restart_all(self) -> None:
        self.nodes = [Node() for _ in range(NODES)]
        self.publish()

    @stateful.rule(number=node_numbers)
    def cut(self, number: int) -> None:
        self.nodes[number].cut = True
        self.pass_time(NOTICED_S)

    @stateful.rule(number=node_numbers)
    def heal(self, number: int) -> None:
        self.nodes[number].cut = False
        self.publish()


TestMachine = Machine.TestCase
TestMachine.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
