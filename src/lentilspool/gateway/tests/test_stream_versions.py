"""Tests of streams while engines of two software versions serve.

What two versions write does not fit together, and engines do not check it.
"""

from collections.abc import Awaitable, Callable

import pytest
import trio

from lentilspool.gateway.tests import stream_fleet

# Events that the caller has when the stream breaks.
BEGUN = 3
# Streams from which on their share that goes on is judged.
STREAMS = 12
# Planners wait for an engine until half a second past the target.
AT_ONCE_S = stream_fleet.TARGET_S
# Turns of the event loop in which a new connection carries the first records.
GREETING_TURNS = 5
# Three times the time limit of the route and a second more are followed.
SHORT_MS = 1000
FOLLOWED_S = 4.5
# Time in which gateways have read the history after their start.
HISTORY_READ_S = 0.3
Check = Callable[[stream_fleet.Fleet], Awaitable[None]]


def run(check: Check, timeout_ms: int = 5000) -> None:
    async def run_fleet() -> None:
        async with trio.open_nursery() as nursery:
            await check(stream_fleet.Fleet(nursery, timeout_ms))
            nursery.cancel_scope.cancel()

    trio.run(run_fleet)


async def take_up(
    begun: list[stream_fleet.Caller], nodes: list[stream_fleet.Node]
) -> list[stream_fleet.Caller]:
    """Take up streams at other gateways; return the callers that do."""
    again = [stream_fleet.Caller(f'{one.request_id}-2') for one in begun]
    async with trio.open_nursery() as nursery:
        for index, caller in enumerate(again):
            node = nodes[index % len(nodes)]
            nursery.start_soon(
                caller.take_up, node, begun[index].request_id, BEGUN
            )
    return again


async def begin(
    count: int, nodes: list[stream_fleet.Node]
) -> list[stream_fleet.Caller]:
    """Begin streams and leave them after some events."""
    begun = [stream_fleet.Caller(f'r{index}') for index in range(count)]
    async with trio.open_nursery() as nursery:
        for index, caller in enumerate(begun):
            node = nodes[index % len(nodes)]
            nursery.start_soon(caller.read_some, node, BEGUN)
    return begun


async def restart_all(fleet: stream_fleet.Fleet) -> None:
    """Kill all gateways at once and start as many again."""
    count = len(fleet.nodes)
    for node in tuple(fleet.nodes):
        fleet.kill(node)
    for index in range(count):
        await fleet.add_node(f'back{index}')


def engines(*versions: str) -> list[stream_fleet.Engine]:
    """Return engines that are chosen in this order, all else being equal."""
    return [
        stream_fleet.Engine(f'e{index}', version)
        for index, version in enumerate(versions)
    ]


class TestWithinOneAnswer:
    def test_stream_goes_on_at_the_version_that_began_it(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other, second = engines('v1.2', 'v1.1', 'v1.2')
            first.last_event = BEGUN
            await fleet.start(1, first, other, second)
            caller = stream_fleet.Caller('r1')
            await caller.read(fleet.nodes[0])
            assert first.runs == [('r1', 0)]
            assert not other.runs
            assert second.runs == [('r1', BEGUN)]
            assert caller.versions == {'v1.2'}
            assert len(caller.events) == stream_fleet.EVENTS
            assert caller.complete

        run(check)

    def test_answer_is_aborted_if_no_engine_of_its_version_is_left(
        self,
    ) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other = engines('v1.2', 'v1.1')
            first.last_event = BEGUN
            await fleet.start(1, first, other)
            caller = stream_fleet.Caller('r1')
            with trio.fail_after(AT_ONCE_S):
                await caller.read(fleet.nodes[0])
            assert len(caller.events) == BEGUN
            assert not caller.complete
            assert not other.runs

        run(check)

    def test_stream_without_events_may_begin_at_any_version(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other = engines('v1.2', 'v1.1')
            await fleet.start(1, first, other)
            first.scope.cancel()
            caller = stream_fleet.Caller('r1')
            await caller.read(fleet.nodes[0])
            assert caller.versions == {'v1.1'}
            assert caller.complete

        run(check)


class TestOverTries:
    def test_stream_goes_on_at_its_version_after_its_gateway_died(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other, second = engines('v1.2', 'v1.1', 'v1.2')
            await fleet.start(3, first, other, second)
            caller = stream_fleet.Caller('r1')
            await caller.read(fleet.nodes[0], stop_after=BEGUN)
            fleet.kill(fleet.nodes[0])
            first.scope.cancel()
            again = stream_fleet.Caller('r2')
            await again.read(fleet.nodes[0], resumes='r1', last_event=BEGUN)
            assert again.versions == {'v1.2'}
            assert again.complete
            assert not other.runs

        run(check)

    def test_most_streams_of_a_gateway_that_died_go_on(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            await fleet.start(4, *engines('v1.1', 'v1.2', 'v1.1', 'v1.2'))
            begun = [
                stream_fleet.Caller(f'r{number}') for number in range(STREAMS)
            ]
            async with trio.open_nursery() as nursery:
                for caller in begun:
                    nursery.start_soon(caller.read_some, fleet.nodes[0], BEGUN)
            fleet.kill(fleet.nodes[0])
            again = [
                stream_fleet.Caller(f'{one.request_id}-2') for one in begun
            ]
            async with trio.open_nursery() as nursery:
                for number, caller in enumerate(again):
                    node = fleet.nodes[number % len(fleet.nodes)]
                    nursery.start_soon(
                        caller.take_up, node, begun[number].request_id, BEGUN
                    )
            went_on = [one for one in again if one.status == 200]
            assert 2 * len(went_on) >= STREAMS
            for first, second in zip(begun, again):
                assert second.versions <= first.versions
            assert len({one for caller in begun for one in caller.versions}) > 1

        run(check)

    def test_gateway_that_starts_later_learns_of_streams(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other, second = engines('v1.2', 'v1.1', 'v1.2')
            await fleet.start(2, first, other, second)
            begun_at, spare = fleet.nodes
            await stream_fleet.Caller('r1').read(begun_at, stop_after=BEGUN)
            late = await fleet.add_node('late')
            for _ in range(GREETING_TURNS):
                await trio.lowlevel.checkpoint()
            fleet.kill(begun_at)
            fleet.kill(spare)
            first.scope.cancel()
            caller = stream_fleet.Caller('r2')
            await caller.read(late, resumes='r1', last_event=BEGUN)
            assert caller.versions == {'v1.2'}

        run(check)

    def test_third_try_names_the_first(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other, second = engines('v1.2', 'v1.1', 'v1.2')
            await fleet.start(3, first, other, second)
            last, *spare = reversed(fleet.nodes)
            await stream_fleet.Caller('r1').read(spare[0], stop_after=2)
            await stream_fleet.Caller('r2').read(
                spare[1], stop_after=2, resumes='r1', last_event=2
            )
            for node in spare:
                fleet.kill(node)
            first.scope.cancel()
            caller = stream_fleet.Caller('r3')
            await caller.read(last, resumes='r1', last_event=4)
            assert caller.versions == {'v1.2'}
            assert not other.runs

        run(check)

    def test_stream_that_no_gateway_knows_is_refused(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other = engines('v1.2', 'v1.1')
            await fleet.start(2, first, other)
            caller = stream_fleet.Caller('r2')
            with trio.fail_after(AT_ONCE_S):
                await caller.read(
                    fleet.nodes[0], resumes='r1', last_event=BEGUN
                )
            assert caller.status == 503
            assert b'retry-after' in caller.received.lower()
            assert not first.runs and not other.runs

        run(check)

    def test_callers_without_an_id_do_not_share_a_record(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other = engines('v1.2', 'v1.1')
            await fleet.start(1, first, other)
            await stream_fleet.Caller('').read(fleet.nodes[0], stop_after=BEGUN)
            caller = stream_fleet.Caller('')
            await caller.read(fleet.nodes[0], last_event=BEGUN)
            assert caller.status == 503

        run(check)

    def test_stream_whose_version_has_left_is_refused(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, other = engines('v1.2', 'v1.1')
            await fleet.start(2, first, other)
            await stream_fleet.Caller('r1').read(
                fleet.nodes[0], stop_after=BEGUN
            )
            fleet.delist(first)
            await fleet.until_listed()
            caller = stream_fleet.Caller('r2')
            await caller.read(fleet.nodes[1], resumes='r1', last_event=BEGUN)
            assert caller.status == 503
            assert not other.runs

        run(check)

    def test_engine_that_starts_again_with_another_version_is_another(
        self,
    ) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            first, second = engines('v1.2', 'v1.2')
            await fleet.start(2, first, second)
            await stream_fleet.Caller('r1').read(
                fleet.nodes[0], stop_after=BEGUN
            )
            # The engine that was listed first is chosen, all else being equal.
            fleet.delist(first)
            fleet.delist(second)
            await fleet.until_listed()
            again = stream_fleet.Engine(first.name, 'v1.1', 2)
            await fleet.add(again)
            await fleet.until_listed()
            fleet.list_(second)
            await fleet.until_listed()
            caller = stream_fleet.Caller('r2')
            await caller.read(fleet.nodes[1], resumes='r1', last_event=BEGUN)
            assert caller.versions == {'v1.2'}
            assert not again.runs

        run(check)


class TestAllGatewaysKilled:
    """All gateways lose power at once, and none remembers a stream."""

    @pytest.mark.parametrize('old_leaves', ['never', 'before', 'meanwhile'])
    def test_stream_is_never_joined_from_two_versions(
        self, old_leaves: str
    ) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            old, new = engines('v1.1', 'v1.2')
            await fleet.start(3, old)
            begun = [stream_fleet.Caller(f'r{index}') for index in range(6)]
            await fleet.add(new)
            await fleet.until_listed()
            async with trio.open_nursery() as nursery:
                for index, caller in enumerate(begun):
                    node = fleet.nodes[index % len(fleet.nodes)]
                    nursery.start_soon(caller.read_some, node, BEGUN)
            if old_leaves == 'before':
                fleet.delist(old)
                await fleet.until_listed()
            for node in tuple(fleet.nodes):
                fleet.kill(node)
            if old_leaves == 'meanwhile':
                fleet.delist(old)
            for index in range(3):
                await fleet.add_node(f'back{index}')
            again = [
                stream_fleet.Caller(f'{one.request_id}-2') for one in begun
            ]
            async with trio.open_nursery() as nursery:
                for index, caller in enumerate(again):
                    node = fleet.nodes[index % len(fleet.nodes)]
                    nursery.start_soon(
                        caller.take_up, node, begun[index].request_id, BEGUN
                    )
            assert any(caller.versions for caller in begun)
            for first, second in zip(begun, again, strict=True):
                assert second.versions <= first.versions
                assert second.status in {200, 503}
            if old_leaves == 'never':
                # The records died with the gateways.
                assert {one.status for one in again} == {503}

        run(check)


async def nothing(fleet: stream_fleet.Fleet) -> None:
    """Write nothing more."""


async def configure(fleet: stream_fleet.Fleet) -> None:
    """Write the configuration twice more."""
    for _ in range(2):
        fleet.write_configuration()


async def replace(fleet: stream_fleet.Fleet) -> None:
    """Replace an engine by another one of its version."""
    leaving, joining = engines('v1.2', 'v1.2')
    leaving.name = 'leaving'
    joining.name = 'joining'
    await fleet.add(leaving)
    fleet.delist(leaving)
    await fleet.add(joining)


async def visit(fleet: stream_fleet.Fleet) -> None:
    """List an engine of another version for a moment."""
    (other,) = engines('v1.1')
    other.name = 'visitor'
    await fleet.add(other)
    fleet.delist(other)


async def start_again(fleet: stream_fleet.Fleet) -> None:
    """Let an engine of another version start again as the same version."""
    first = stream_fleet.Engine('again', 'v1.1')
    await fleet.add(first)
    fleet.delist(first)
    await fleet.add(stream_fleet.Engine('again', 'v1.2', 2))


async def forget(fleet: stream_fleet.Fleet) -> None:
    """Let the store drop its history."""
    fleet.store.forget_history()


class TestStreamsWithoutARecord:
    """No gateway remembers the streams; only the store knows of before."""

    @pytest.mark.parametrize(
        'changes',
        [
            (nothing,),
            (forget,),
            (configure,),
            (replace,),
            (configure, replace, configure),
            (forget, configure, replace),
        ],
    )
    def test_streams_go_on_if_no_other_version_can_have_begun_them(
        self, changes: tuple[Check, ...]
    ) -> None:
        """Guards against streams that are lost when all gateways are killed."""

        async def check(fleet: stream_fleet.Fleet) -> None:
            await fleet.start(2, *engines('v1.2', 'v1.2'))
            for change in changes:
                await change(fleet)
            await fleet.until_listed()
            begun = await begin(STREAMS, fleet.nodes)
            await restart_all(fleet)
            again = await take_up(begun, fleet.nodes)
            assert {one.status for one in again} == {200}
            assert all(one.complete for one in again)

        run(check)

    @pytest.mark.parametrize(
        'changes',
        [
            (visit,),
            (configure, visit, configure),
            (start_again,),
            (visit, forget),
            (start_again, forget),
            # What was written before is not known.
            (configure, forget),
            (replace, forget),
        ],
    )
    def test_streams_are_refused_if_another_version_may_have(
        self, changes: tuple[Check, ...]
    ) -> None:
        """Guards against streams that are joined from two versions."""

        async def check(fleet: stream_fleet.Fleet) -> None:
            await fleet.start(2, *engines('v1.2', 'v1.2'))
            for change in changes:
                await change(fleet)
            await fleet.until_listed()
            begun = await begin(STREAMS, fleet.nodes)
            await restart_all(fleet)
            again = await take_up(begun, fleet.nodes)
            assert {one.status for one in again} == {503}

        run(check)

    def test_history_is_read_before_the_store_drops_it(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            await fleet.start(2, *engines('v1.2', 'v1.2'))
            await replace(fleet)
            await fleet.until_listed()
            begun = await begin(STREAMS, fleet.nodes)
            await restart_all(fleet)
            await trio.sleep(HISTORY_READ_S)
            fleet.store.forget_history()
            again = await take_up(begun, fleet.nodes)
            assert {one.status for one in again} == {200}

        run(check)

    def test_streams_are_refused_while_the_store_does_not_answer(self) -> None:
        async def check(fleet: stream_fleet.Fleet) -> None:
            await fleet.start(2, *engines('v1.2', 'v1.2'))
            begun = await begin(2, fleet.nodes)
            await restart_all(fleet)
            fleet.store.away = True
            again = await take_up(begun, fleet.nodes)
            assert {one.status for one in again} == {503}
            fleet.store.away = False
            again = await take_up(begun, fleet.nodes)
            assert {one.status for one in again} == {200}

        run(check)


class TestGatewaysStoppedInTurn:
    def test_streams_go_on_when_their_gateway_is_back_before_the_others_stop(
        self,
    ) -> None:
        """Guards against records that end with the gateway that began them."""

        async def check(fleet: stream_fleet.Fleet) -> None:
            await fleet.start(2, *engines('v1.2', 'v1.1', 'v1.2', 'v1.1'))
            first, second = fleet.nodes
            begun = await begin(STREAMS, [first])
            for node in (first, second):
                fleet.kill(node)
                back = await fleet.add_node(node.name)
                for _ in range(GREETING_TURNS):
                    await trio.lowlevel.checkpoint()
            again = await take_up(begun, [back])
            assert {one.status for one in again} == {200}
            for caller, other in zip(begun, again, strict=True):
                assert other.versions <= caller.versions

        run(check)


class TestGatewayOutOfStep:
    """One gateway does not learn of a version that the others use."""

    def test_stream_of_a_version_unknown_to_it_is_not_joined(self) -> None:
        """Guards against streams joined by a gateway that is cut off."""

        async def check(fleet: stream_fleet.Fleet) -> None:
            old, new, changed = engines('v1.1', 'v1.2', 'v1.1')
            await fleet.start(1, old)
            behind = await fleet.add_lagging_node('behind')
            await fleet.add(changed)
            # It has followed the listing for longer than streams live.
            await trio.sleep(FOLLOWED_S)
            await fleet.add(new)
            # They go on serving, and only that gateway still lists them.
            fleet.delist(old)
            fleet.delist(changed)
            await fleet.until_listed()
            begun = await begin(1, fleet.nodes)
            assert begun[0].versions == {'v1.2'}
            fleet.kill(fleet.nodes[0])
            (again,) = await take_up(begun, [behind])
            assert again.status in {200, 503}
            assert again.versions <= {'v1.2'}

        run(check, timeout_ms=SHORT_MS)
