"""Tests of what gateways tell each other of streams that have begun."""

import dataclasses
import json
from collections.abc import Callable

import msgspec
import pytest
import trio
from trio import testing

from lentilspool import serving, wire
from lentilspool.gateway import _clock, _published, _stream_records
from lentilspool.platform.tests import stand_ins

BEGUN = serving.StreamVersion('model', 'v1.2')
SERVICES = ('model',)
# Far longer than streams live without a configuration.
LONG_S = 1000.0


def published(
    *versions: str, followed_s: float = 0
) -> _published.PublishedState:
    """Return a listing with engines of versions."""
    state = _published.PublishedState()
    entry = stand_ins.encode_entry('model', '127.0.0.1:9', 8, 1, ready=True)
    items = [
        _published.StoredItem(
            f'servers/e{index}', stand_ins.with_version(entry, version), index
        )
        for index, version in enumerate(versions, 1)
    ]
    position = (0, len(items))
    state.apply_listing(items, position, 0)
    state.versions.begin(position, _clock.now() - followed_s)
    return state


class StoredListing:
    """A listing that the store confirms, with what it lists in addition."""

    def __init__(
        self, state: _published.PublishedState, *missed: str, answers: bool
    ) -> None:
        self._state = state
        self._missed = missed
        self._answers = answers

    async def confirm(self) -> bool:
        await trio.lowlevel.checkpoint()
        for version in self._missed:
            self._state.versions.add(
                serving.Endpoint(
                    'missed',
                    'model',
                    '127.0.0.1',
                    9,
                    'a',
                    8,
                    ready=True,
                    born_ms=1,
                    version=version,
                )
            )
        return self._answers


class Node:
    """Records of one gateway, linked to others without a network."""

    def __init__(
        self,
        state: _published.PublishedState,
        *missed: str,
        answers: bool = True,
    ) -> None:
        self.records = _stream_records.StreamRecords(
            state, StoredListing(state, *missed, answers=answers)
        )
        state.versions.update(state.endpoint_index.endpoints, _clock.now())
        self.links: list[_stream_records.Link] = []

    def linked(self) -> list[_stream_records.Link]:
        return self.links


class NodeLink:
    """Passes notes to another gateway, and its answers back."""

    def __init__(self, own: Node, other: Node) -> None:
        self._own = own
        self._other = other
        self.notes: list[str] = []

    def send_note(self, text: str) -> None:
        self.notes.append(text)
        self._other.records.handle(text, self._reply)

    def _reply(self, message: wire.Message) -> None:
        assert isinstance(message, wire.PlanNote)
        assert message.call_id == _stream_records.NOTES_CALL
        self._own.records.handle(message.event, self._refuse)

    def _refuse(self, message: wire.Message) -> None:
        raise AssertionError(message)


class SilentLink:
    """A connection to a gateway that does not answer, or is older."""

    def __init__(self) -> None:
        self.notes: list[str] = []

    def send_note(self, text: str) -> None:
        self.notes.append(text)


@dataclasses.dataclass(frozen=True, slots=True)
class OlderRequest:
    """The fields that matter here of a plan request without a version."""

    key: str
    zone: str


def link(own: Node, *others: Node) -> None:
    own.links.extend(NodeLink(own, other) for other in others)


def find(node: Node, *begin: Callable[[], None]) -> _stream_records.Found:
    """Return what a gateway finds after something has happened."""

    async def check() -> _stream_records.Found:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.records.share, node.linked)
            await testing.wait_all_tasks_blocked()
            for one in begin:
                one()
            with trio.fail_after(0.5):
                found = await node.records.find('s', SERVICES)
            nursery.cancel_scope.cancel()
        return found

    return trio.run(check)


class TestFind:
    def test_own_record_is_enough(self) -> None:
        node = Node(published('v1.1', 'v1.2'))
        node.links.append(SilentLink())
        found = find(node, lambda: node.records.record('s', BEGUN))
        assert found == _stream_records.Found(BEGUN, 'own')

    def test_one_linked_gateway_that_knows_is_enough(self) -> None:
        node, knows, other = (Node(published('v1.1', 'v1.2')) for _ in range(3))
        knows.records.record('s', BEGUN)
        node.links.append(SilentLink())
        link(node, other, knows)
        assert find(node) == _stream_records.Found(BEGUN, 'peer')

    def test_answer_of_a_gateway_is_kept(self) -> None:
        node, knows = (Node(published('v1.1', 'v1.2')) for _ in range(2))
        knows.records.record('s', BEGUN)
        link(node, knows)
        find(node)
        node.links.clear()
        assert find(node) == _stream_records.Found(BEGUN, 'own')

    @pytest.mark.parametrize('silent', [0, 1, 6])
    def test_stream_that_nobody_knows_is_unknown_in_bounded_time(
        self, silent: int
    ) -> None:
        node = Node(published('v1.1', 'v1.2', followed_s=LONG_S))
        node.links.extend(SilentLink() for _ in range(silent))
        assert find(node).begun is None

    def test_sole_version_is_enough_if_it_was_followed_for_long(self) -> None:
        node = Node(published('v1.2', followed_s=LONG_S))
        found = find(node)
        assert found.source == 'sole'
        assert found.begun == serving.StreamVersion('', 'v1.2')

    def test_sole_version_is_enough_if_another_gateway_followed_it(
        self,
    ) -> None:
        node = Node(published('v1.2'))
        link(node, Node(published('v1.2', followed_s=LONG_S)))
        assert find(node).source == 'sole'

    def test_version_is_not_guessed_by_a_gateway_that_has_just_started(
        self,
    ) -> None:
        node = Node(published('v1.2', followed_s=1))
        link(node, Node(published('v1.2', followed_s=1)))
        assert find(node).begun is None

    def test_version_that_only_another_gateway_lists_counts(self) -> None:
        node = Node(published('v1.2', followed_s=LONG_S))
        link(node, Node(published('v1.1', 'v1.2')))
        assert find(node).begun is None

    def test_version_that_is_listed_meanwhile_counts(self) -> None:
        """Guards against streams joined by a gateway that is out of step."""
        node = Node(published('v1.2', followed_s=LONG_S), 'v1.3')
        assert find(node) == _stream_records.Found(None, 'unknown')

    def test_listing_that_the_store_does_not_confirm_shows_nothing(
        self,
    ) -> None:
        node = Node(published('v1.2', followed_s=LONG_S), answers=False)
        assert find(node) == _stream_records.Found(None, 'unconfirmed')

    def test_record_needs_no_store(self) -> None:
        node, knows = (
            Node(published('v1.1', 'v1.2'), answers=False) for _ in range(2)
        )
        knows.records.record('s', BEGUN)
        link(node, knows)
        assert find(node) == _stream_records.Found(BEGUN, 'peer')

    def test_history_of_a_gateway_that_stopped_following_leaves_a_gap(
        self,
    ) -> None:
        """Its listing ends before the one here begins."""
        behind = published('v1.2', followed_s=LONG_S)
        state = published('v1.2')
        state.versions.begin((0, 5), _clock.now())
        node = Node(state)
        link(node, Node(behind))
        assert find(node).begun is None
        behind.versions.follow((0, 5))
        assert find(node).source == 'sole'

    def test_service_without_versions_has_a_single_one(self) -> None:
        node = Node(published('', followed_s=LONG_S))
        assert find(node).begun == serving.StreamVersion('', '')


class TestRecord:
    def test_record_goes_to_three_gateways_at_once(self) -> None:
        node = Node(published('v1.2'))
        silent = [SilentLink() for _ in range(6)]
        node.links.extend(silent)
        find(node, lambda: node.records.record('s', BEGUN))

        async def check() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.records.share, node.linked)
                node.records.record('t', BEGUN)
                await testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        trio.run(check)
        assert all(one.notes for one in silent[:3])
        assert not any(one.notes for one in silent[3:])

    def test_records_that_come_together_share_notes(self) -> None:
        node = Node(published('v1.2'))
        silent = SilentLink()
        node.links.append(silent)

        async def check() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.records.share, node.linked)
                await testing.wait_all_tasks_blocked()
                for number in range(1200):
                    node.records.record(f's{number}', BEGUN)
                await testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        trio.run(check)
        counts = [len(json.loads(one)['streams']) for one in silent.notes]
        assert sum(counts) == 1200
        assert len(counts) == 3

    def test_new_connection_gets_streams_of_other_gateways_too(self) -> None:
        """Guards against records that are lost when gateways stop in turn."""
        began, holds = (Node(published('v1.1', 'v1.2')) for _ in range(2))
        link(began, holds)
        find(began, lambda: began.records.record('s', BEGUN))
        back = Node(published('v1.1', 'v1.2'))
        holds.records.greet(NodeLink(holds, back))
        assert find(back) == _stream_records.Found(BEGUN, 'own')

    def test_new_connection_gets_the_latest_streams_in_one_note(self) -> None:
        node = Node(published('v1.2'))
        silent = SilentLink()
        node.records.greet(silent)
        assert not silent.notes
        for number in range(1200):
            node.records.record(f's{number}', BEGUN)
        node.records.greet(silent)
        (note,) = silent.notes
        streams = json.loads(note)['streams']
        assert len(streams) == 500
        assert streams[-1] == ['s1199', 'model', 'v1.2']


class TestHandle:
    @pytest.mark.parametrize(
        'text', ['', 'started', '{"type":"later"}', '{"type":"begun"}', '[1]']
    )
    def test_note_that_cannot_be_read_is_ignored(self, text: str) -> None:
        Node(published('v1.2')).records.handle(text, self.refuse)

    def test_late_answer_is_ignored(self) -> None:
        node = Node(published('v1.2'))
        note = {
            'type': 'answered',
            'number': 7,
            'begun': None,
            'versions': [],
            'covers': True,
        }
        node.records.handle(json.dumps(note), self.refuse)

    def refuse(self, message: wire.Message) -> None:
        raise AssertionError(message)


class TestOlderRelease:
    def test_plan_request_with_a_version_can_be_read(self) -> None:
        request = {'key': 'k', 'zone': 'a', 'version': 'v1.2'}
        encoded = msgspec.msgpack.encode(request)
        assert msgspec.msgpack.decode(
            encoded, type=OlderRequest
        ) == OlderRequest('k', 'a')
