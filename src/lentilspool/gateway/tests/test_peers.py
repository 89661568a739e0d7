"""Tests of two gateways over loopback: beats, state, plans, loss."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from lentilspool import serving, settings, wire
from lentilspool.gateway import (
    _local_planning,
    _peers,
    _plan_desk,
    _planning,
    _pool,
    _published,
    _sockets,
)
from lentilspool.serving.tests import builders

SERVICES = [
    {
        'name': 'model',
        'engine': {'slots': 8, 'kv_capacity': 1000, 'moves': False},
    }
]
DOCUMENT = {'version': 3, 'routes': [], 'services': SERVICES}
ENTRY = {
    'service': 'model',
    'address': '127.0.0.1:9',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
}


def free_port() -> int:
    listener = _sockets.listen('127.0.0.1:0')
    port: int = listener.socket.getsockname()[1]
    listener.socket.close()
    return port


class Node:
    """A gateway without callers."""

    def __init__(self, name: str, nursery: trio.Nursery, *seeds: str) -> None:
        port = free_port()
        self.own = settings.GatewaySettings(
            name=name,
            zone='a',
            callers='127.0.0.1:0',
            readiness='127.0.0.1:0',
            peers=f'127.0.0.1:{port}',
            metrics='127.0.0.1:0',
            known_peers=seeds,
            store=settings.StoreSettings('127.0.0.1:1'),
            link=settings.PeerSettings(beat_s=0.02, silent_s=0.2),
        )
        member = serving.Member(
            name, '127.0.0.1', port, 'a', float(name == 'planner'), 1
        )
        self.published = _published.Published()
        self.roster = serving.Roster(member, 8)
        knowledge = _peers.Knowledge(self.roster, self.published, self.own.link)
        local = _local_planning.LocalPlanning(
            self.published,
            _pool.Pool(self.own.send),
            serving.PlanLimits(),
            nursery,
        )
        self.links = _planning.Links(self.own, knowledge, nursery)
        self.planning = _planning.Planning(local, self.links, self.roster)
        self.server = _plan_desk.PeerServer(self.own, knowledge, local)
        self._local = local
        self.scope = trio.CancelScope()

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.server.serve)
                nursery.start_soon(self._local.serve)
                nursery.start_soon(self.links.serve)
                task_status.started()

    def learn(self) -> None:
        document = json.dumps(DOCUMENT).encode()
        self.published.configure(
            _published.Stored('op/config', document, 2), 'store'
        )
        entry = _published.Stored('servers/e', msgspec.json.encode(ENTRY), 4)
        self.published.list_endpoints([entry], 4, 0)


@asynccontextmanager
async def pair() -> AsyncIterator[tuple[Node, Node]]:
    """Yield a gateway that plans and one that asks it."""
    async with trio.open_nursery() as nursery:
        planner = Node('planner', nursery)
        asker = Node('asker', nursery, planner.own.peers)
        planner.learn()
        for node in (planner, asker):
            await nursery.start(node.serve)
        with trio.fail_after(5):
            while asker.planning.link() is None or not asker.published.ready:
                await trio.sleep(0.01)
        yield planner, asker
        nursery.cancel_scope.cancel()


class TestPair:
    def test_state_reaches_a_gateway_that_has_no_store(self) -> None:
        async def check() -> None:
            async with pair() as (_, asker):
                assert asker.published.version == 3
                assert asker.published.directory.ready('model')

        trio.run(check)

    def test_plan_is_made_by_the_first_in_order(self) -> None:
        async def check() -> None:
            async with pair() as (planner, asker):
                plan = asker.planning.plan(builders.ask('p'))
                with trio.fail_after(5):
                    settled = await plan.settle()
                assert isinstance(settled, serving.RunAt)
                link = asker.planning.link()
                assert link and link.address == planner.own.peers

        trio.run(check)

    def test_plans_go_on_here_when_the_planner_is_gone(self) -> None:
        async def check() -> None:
            async with pair() as (planner, asker):
                stage = builders.stage(1, 'nowhere')
                waiting = asker.planning.plan(builders.ask('p', stage))
                planner.scope.cancel()
                with trio.fail_after(5):
                    settled = await waiting.settle()
                    plan = await asker.planning.plan(builders.ask('q')).settle()
                assert isinstance(settled, serving.Refuse)
                assert isinstance(plan, serving.RunAt)

        trio.run(check)

    def test_planner_that_leaves_ends_what_it_has(self) -> None:
        """Its connection is kept, though it is no longer among the first."""

        async def check() -> None:
            async with pair() as (planner, asker):
                asker.links.most = 1
                engine = planner.published.directory.endpoints[0]
                ask = builders.ask('p', avoid=(engine.incarnation,))
                waiting = asker.planning.plan(ask)
                async with trio.open_nursery() as nursery:
                    other = Node('other', nursery, planner.own.peers)
                    await nursery.start(other.serve)
                    nursery.start_soon(waiting.settle)
                    await trio.sleep(0.2)
                    link = asker.planning.link()
                    planner.roster.announce_leaving(1)
                    await trio.sleep(0.2)
                    assert link and link.up and link.busy
                    waiting.note('cancelled')
                    await trio.sleep(0.2)
                    assert not link.up
                    nursery.cancel_scope.cancel()

        trio.run(check)

    def test_unreadable_content_ends_one_connection_only(self) -> None:
        async def check() -> None:
            async with pair() as (planner, asker):
                host, port = _sockets.split(planner.own.peers)
                plain = await _sockets.connect(host, port, 1)
                assert plain
                stream = wire.MessageStream(plain, 1000)
                await stream.send(wire.PlanCall(1, b'\xc1'))
                with trio.fail_after(5):
                    message = await stream.receive()
                    assert isinstance(message, wire.Closed)
                    plan = asker.planning.plan(builders.ask('p'))
                    assert isinstance(await plan.settle(), serving.RunAt)

        trio.run(check)
