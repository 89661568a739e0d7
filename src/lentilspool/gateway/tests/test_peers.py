"""Tests of two gateways that are connected over loopback."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from lentilspool import serving, settings, wire
from lentilspool.gateway import (
    _content_quarantine,
    _endpoint_checks,
    _local_planning,
    _metrics,
    _peer_server,
    _peers,
    _planning,
    _pool,
    _published,
    _sockets,
    _statements,
    _stream_records,
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
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 1,
    'born': 1,
}


def free_port() -> int:
    listener = _sockets.listen('127.0.0.1:0')
    port: int = listener.socket.getsockname()[1]
    listener.socket.close()
    return port


class PeerGateway:
    """A gateway that accepts no callers."""

    def __init__(self, name: str, nursery: trio.Nursery, *seeds: str) -> None:
        port = free_port()
        self.gateway_settings = settings.GatewaySettings(
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
        self.published = _published.PublishedState()
        self.roster = serving.Roster(member, 8)
        self.quarantine = _content_quarantine.ContentQuarantine(
            self.gateway_settings.quarantine
        )
        self.statements = _statements.StatementRecorder(
            serving.EndpointStatements(name),
            self.published,
            _metrics.GatewayMetrics(),
        )
        cluster = _peers.ClusterState(
            self.roster,
            self.published,
            self.quarantine,
            self.gateway_settings.link,
            self.statements,
            _stream_records.StreamRecords(self.published),
        )
        local = _local_planning.LocalPlanning(
            self.published,
            _pool.ConnectionPool(self.gateway_settings.send),
            _endpoint_checks.EndpointChecks(
                self.gateway_settings.send,
                _metrics.GatewayMetrics(),
                self.quarantine,
                nursery,
            ),
            serving.PlanLimits(),
            nursery,
            self.statements.known,
        )
        self.links = _planning.Links(self.gateway_settings, cluster, nursery)
        self.planning = _planning.Planning(local, self.links, self.roster)
        self.server = _peer_server.PeerServer(
            self.gateway_settings, cluster, local
        )
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

    def load_state(self) -> None:
        document = json.dumps(DOCUMENT).encode()
        self.published.apply_configuration(
            _published.StoredItem('op/config', document, 2), 'store'
        )
        entry = _published.StoredItem(
            'servers/e', msgspec.json.encode(ENTRY), 4
        )
        self.published.apply_listing([entry], (0, 4), 0)


@asynccontextmanager
async def pair() -> AsyncIterator[tuple[PeerGateway, PeerGateway]]:
    """Yield two connected gateways: the planner and one that uses it."""
    async with trio.open_nursery() as nursery:
        planner = PeerGateway('planner', nursery)
        requester = PeerGateway(
            'asker', nursery, planner.gateway_settings.peers
        )
        planner.load_state()
        for node in (planner, requester):
            await nursery.start(node.serve)
        with trio.fail_after(5):
            while (
                requester.planning.planner_link() is None
                or not requester.published.ready
            ):
                await trio.sleep(0.01)
        yield planner, requester
        nursery.cancel_scope.cancel()


async def until_refused(
    quarantine: _content_quarantine.ContentQuarantine, content: str
) -> None:
    with trio.fail_after(5):
        while quarantine.refusal_s(content) is None:
            await trio.sleep(0.01)


async def until_prompt(
    quarantine: _content_quarantine.ContentQuarantine, *, refused: bool
) -> None:
    with trio.fail_after(5):
        while (quarantine.prompt_refusal_s(('fatal',)) is None) is refused:
            await trio.sleep(0.01)


class TestTwoGateways:
    def test_gateway_without_a_store_gets_the_published_state(self) -> None:
        async def check() -> None:
            async with pair() as (_, requester):
                assert requester.published.version == 3
                assert requester.published.endpoint_index.ready('model')

        trio.run(check)

    def test_request_is_planned_by_the_strongest_gateway(self) -> None:
        async def check() -> None:
            async with pair() as (planner, requester):
                plan = requester.planning.plan(builders.plan_request('p'))
                with trio.fail_after(5):
                    decision = await plan.wait_for_decision()
                assert isinstance(decision, serving.RunAt)
                link = requester.planning.planner_link()
                assert link and link.address == planner.gateway_settings.peers

        trio.run(check)

    def test_requests_are_planned_locally_if_the_planner_is_lost(self) -> None:
        async def check() -> None:
            async with pair() as (planner, requester):
                stage = builders.stage(1, 'nowhere')
                waiting = requester.planning.plan(
                    builders.plan_request('p', stage)
                )
                planner.scope.cancel()
                with trio.fail_after(5):
                    decision = await waiting.wait_for_decision()
                    plan = await requester.planning.plan(
                        builders.plan_request('q')
                    ).wait_for_decision()
                assert isinstance(decision, serving.Refuse)
                assert isinstance(plan, serving.RunAt)

        trio.run(check)

    def test_link_to_a_leaving_planner_stays_while_it_has_requests(
        self,
    ) -> None:
        """Closing it would lose requests, though it has become superfluous."""

        async def check() -> None:
            async with pair() as (planner, requester):
                requester.links.max_links = 1
                engine = planner.published.endpoint_index.endpoints[0]
                plan_request = builders.plan_request(
                    'p', avoid=(engine.incarnation,)
                )
                waiting = requester.planning.plan(plan_request)
                async with trio.open_nursery() as nursery:
                    other = PeerGateway(
                        'other', nursery, planner.gateway_settings.peers
                    )
                    await nursery.start(other.serve)
                    nursery.start_soon(waiting.wait_for_decision)
                    await trio.sleep(0.2)
                    link = requester.planning.planner_link()
                    planner.roster.announce_leaving(1)
                    await trio.sleep(0.2)
                    assert link and link.is_up and link.busy
                    waiting.report_event('cancelled')
                    await trio.sleep(0.2)
                    assert not link.is_up
                    nursery.cancel_scope.cancel()

        trio.run(check)

    @pytest.mark.parametrize('planner_reports', [True, False])
    def test_deaths_under_a_content_reach_the_other_gateway(
        self, planner_reports: bool
    ) -> None:
        async def check() -> None:
            async with pair() as gateways:
                reporter, other = (one.quarantine for one in gateways)
                if not planner_reports:
                    reporter, other = other, reporter
                for number in range(3):
                    reporter.record_death('model', f'e{number}/1', ['fatal'])
                await until_refused(other, 'fatal')
                assert other.refusal_s('other') is None

        trio.run(check)

    @pytest.mark.parametrize('planner_reports', [True, False])
    def test_deaths_under_a_prompt_part_reach_the_other_gateway(
        self, planner_reports: bool
    ) -> None:
        async def check() -> None:
            async with pair() as gateways:
                reporter, other = (one.quarantine for one in gateways)
                if not planner_reports:
                    reporter, other = other, reporter
                for number in range(3):
                    reporter.record_prompt_death(
                        'model', f'e{number}/1', ['fatal', 'sound'], ['sound']
                    )
                    await trio.sleep(0.3)
                await until_prompt(other, refused=True)
                assert other.prompt_refusal_s(('sound',)) is None
                other.record_completed_prompt(('fatal',))
                await until_prompt(reporter, refused=False)

        trio.run(check)

    def test_unreadable_message_closes_only_its_connection(self) -> None:
        async def check() -> None:
            async with pair() as (planner, requester):
                host, port = _sockets.split_address(
                    planner.gateway_settings.peers
                )
                raw_stream = await _sockets.connect(host, port, 1)
                assert raw_stream
                stream = wire.MessageStream(raw_stream, 1000)
                await stream.send(wire.PlanCall(1, b'\xc1'))
                with trio.fail_after(5):
                    message = await stream.receive()
                    assert isinstance(message, wire.Closed)
                    plan = requester.planning.plan(builders.plan_request('p'))
                    assert isinstance(
                        await plan.wait_for_decision(), serving.RunAt
                    )

        trio.run(check)
