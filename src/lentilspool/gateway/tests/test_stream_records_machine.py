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
_ENTRY: Final = stand_ins.encode_entry('m', '127.0.0.1:9', 8, 1, ready=True)
node_numbers = st.integers(0, NODES - 1)


class Store:
    """Entries of one endpoint a version, with all their changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.listed: set[str] = set()
        self.changes: list[_published.StoredItem] = []

    @property
    def items(self) -> list[_published.StoredItem]:
        """Entries that are there now."""
        last = {one.key: one for one in self.changes}
        return [one for one in last.values() if one.payload is not None]

    def list_only(self, versions: set[str]) -> None:
        """Write and remove entries until just some versions are listed."""
        for version in sorted(versions ^ self.listed):
            self.revision += 1
            payload = None
            if version in versions:
                payload = stand_ins.with_version(_ENTRY, version)
            self.changes.append(
                _published.StoredItem(
                    f'servers/e{version}', payload, self.revision
                )
            )
        self.listed = set(versions)


class Node:
    """One start of a gateway."""

    def __init__(self, store: Store, now: float) -> None:
        self.published = _published.PublishedState()
        self.records = _stream_records.StreamRecords(self.published, self)
        self.cut = False
        self._store = store
        position = (0, store.revision)
        self.published.apply_listing(store.items, position, 0)
        self.published.versions.begin(position, now)

    def follow(self) -> None:
        """Apply the changes of the store, as a watch brings them."""
        changes = self._store.changes[self.published.revision :]
        position = (0, self._store.revision)
        self.published.apply_changes(changes, position, 0)
        self.published.versions.follow(position)

    async def confirm(self) -> bool:
        """Read the changes until now, if the store can be reached."""
        await trio.lowlevel.checkpoint()
        if not self.cut:
            self.follow()
        return not self.cut


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
        self.store = Store()
        self.store.list_only({VERSIONS[0]})
        # They have followed the listing for long.
        self.nodes = [Node(self.store, 0) for _ in range(NODES)]
        self.streams: list[Stream] = []

    def teardown(self) -> None:
        setattr(_clock, 'now', self.usual_now)  # noqa: B010

    def publish(self) -> None:
        """Let all gateways that reach the store read its changes."""
        for node in self.nodes:
            if not node.cut:
                node.follow()

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
        return version in known & self.store.listed

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

    @stateful.rule(
        versions=st.sampled_from((VERSIONS[:1], VERSIONS[1:], VERSIONS)),
        passed_on=st.booleans(),
    )
    def change(self, versions: tuple[str, ...], passed_on: bool) -> None:
        """Change what is listed; gateways may not have read it yet."""
        self.store.list_only(set(versions))
        if passed_on:
            self.publish()

    @stateful.rule(seconds=st.sampled_from((1.0, 20.0, 70.0, 200.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass while the store answers watches."""
        self.now += seconds
        self.publish()

    @stateful.rule(number=node_numbers)
    def restart(self, number: int) -> None:
        self.nodes[number] = Node(self.store, self.now)

    @stateful.rule()
    def restart_all(self) -> None:
        for number in range(NODES):
            self.restart(number)

    @stateful.rule(number=node_numbers)
    def cut(self, number: int) -> None:
        """Cut a gateway off, which it does not notice."""
        self.nodes[number].cut = True

    @stateful.rule(number=node_numbers)
    def heal(self, number: int) -> None:
        self.nodes[number].cut = False


TestMachine = Machine.TestCase
TestMachine.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
