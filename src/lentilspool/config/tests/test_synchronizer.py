"""Tests of the distribution of the configuration, by subject."""

import random

from lentilspool import config
from lentilspool.config.tests import fleet, samples

_ZONES = 3
_MEMBERS = [
    config.Member(f'p{index}', f'z{index % _ZONES}') for index in range(60)
]
_VIEW = config.View(_MEMBERS)
_LARGE_ENTRY_BYTES = 200_000


def _synchronizer(
    member: config.Member, replica: config.LogReplica | None = None
) -> config.Synchronizer:
    held = replica or config.LogReplica()
    return config.Synchronizer(member, held, random.Random(1), 0)


def _synchronizers_after_silence(seconds: float) -> list[config.Synchronizer]:
    synchronizers = [_synchronizer(member) for member in _MEMBERS]
    for synchronizer in synchronizers:
        synchronizer.update_view(0, _VIEW)
        for step in range(int(seconds * 4)):
            synchronizer.tick(step / 4)
    return synchronizers


def _service_calls(actions: list[config.Action]) -> list[config.Action]:
    return [action for action in actions if not isinstance(action, config.Send)]


def _sent_messages(actions: list[config.Action]) -> list[config.Message]:
    return [
        action.message for action in actions if isinstance(action, config.Send)
    ]


class TestView:
    def test_loss_of_a_process_changes_only_its_own_neighbours(self) -> None:
        smaller = config.View(_MEMBERS[1:])
        for member in _MEMBERS[1:]:
            before = set(_VIEW.neighbours(member, 4, 4))
            after = set(smaller.neighbours(member, 4, 4))
            if 'p0' not in before:
                assert after == before

    def test_in_a_small_fleet_everyone_is_a_neighbour(self) -> None:
        view = config.View(_MEMBERS[:5])
        assert len(view.neighbours(_MEMBERS[0], 4, 4)) == 4


class TestReaders:
    def test_two_processes_of_a_zone_read(self) -> None:
        reading = [
            synchronizer.is_reader
            for synchronizer in _synchronizers_after_silence(5)
        ]
        assert sum(reading) == 2 * _ZONES

    def test_a_process_takes_over_when_all_others_are_silent(self) -> None:
        assert all(
            synchronizer.is_reader
            for synchronizer in _synchronizers_after_silence(10)
        )

    def test_a_process_without_a_view_reads_after_a_wait(self) -> None:
        synchronizer = _synchronizer(_MEMBERS[0])
        times = [step / 4 for step in range(200)]
        called = [
            now for now in times if _service_calls(synchronizer.tick(now))
        ]
        assert called[0] > 3


class TestServiceCalls:
    def test_frequent_new_entries_are_read_at_a_bounded_rate(self) -> None:
        synchronizer = _synchronizer(_MEMBERS[0])
        synchronizer.update_view(0, config.View(_MEMBERS[:1]))
        count = 0
        for step in range(1000):
            now = step / 100
            actions = _service_calls(synchronizer.tick(now))
            while actions:
                count += 1
                action = actions.pop()
                if isinstance(action, config.WatchService):
                    actions = _service_calls(
                        synchronizer.on_watch(now, has_new_entries=True)
                    )
                else:
                    synchronizer.on_read(now, (samples.base(),))
        assert count <= 22

    def test_a_failing_service_is_retried_within_a_second(self) -> None:
        synchronizer = _synchronizer(_MEMBERS[0])
        synchronizer.update_view(0, config.View(_MEMBERS[:1]))
        count = 0
        for step in range(1000):
            if _service_calls(synchronizer.tick(step / 100)):
                count += 1
                synchronizer.on_service_failure(step / 100)
        assert 10 <= count <= 30


class TestLostWatchReply:
    def test_a_lost_watch_reply_delays_entries_by_seconds_only(self) -> None:
        cluster = fleet.Fleet(3, fleet.Service(samples.base()))
        cluster.run_without_loss(5)
        cluster.partitioned = set(cluster.names)
        cluster.service.publish(samples.share(2, 1, 'desk', 2))
        cluster.run_without_loss(1)
        cluster.partitioned = set()
        cluster.run_without_loss(5)
        assert {held.number for held in cluster.replicas.values()} == {2}


class TestLargeEntries:
    def test_is_only_announced_and_a_source_sends_three_copies(self) -> None:
        replica = config.LogReplica()
        synchronizer = _synchronizer(_MEMBERS[0], replica)
        synchronizer.update_view(0, _VIEW)
        patch = config.Patch(2, 1, 'a' * _LARGE_ENTRY_BYTES, {})
        log = (samples.base(), config.encode_patch(patch))
        announced = _sent_messages(synchronizer.on_read(0, log))
        assert set(map(type, announced)) == {config.ConfigDigest}
        pull = config.ConfigPull(1, config.begin(log[:1]).state.digest)
        replies = [
            _sent_messages(synchronizer.on_message(1, peer, pull))
            for peer in 'abcd'
        ]
        assert [len(reply) for reply in replies] == [1, 1, 1, 0]
        assert _sent_messages(synchronizer.on_message(60, 'd', pull))


class TestPause:
    def test_a_resumed_process_asks_its_peers_before_it_serves(self) -> None:
        cluster = fleet.Fleet(3, fleet.Service(samples.base()))
        cluster.run_without_loss(5)
        cluster.paused = {'p0'}
        cluster.service.publish(samples.share(2, 1, 'desk', 2))
        cluster.run_without_loss(10)
        cluster.paused = set()
        cluster.packets.clear()
        cluster.step()
        assert not cluster.synchronizers['p0'].ready
        cluster.run_without_loss(1)
        assert cluster.synchronizers['p0'].ready
        assert cluster.replicas['p0'].number == 2


class TestFork:
    def test_a_fork_is_reported_until_the_peer_agrees_again(
        self,
    ) -> None:
        cluster = fleet.Fleet(3, fleet.Service(samples.base()))
        cluster.run_without_loss(5)
        forked = config.ConfigDigest(1, 'another')
        cluster.synchronizers['p0'].on_message(cluster.now, 'p1', forked)
        faults = cluster.replicas['p0'].dump()['faults']
        assert isinstance(faults, dict)
        assert faults['p1']['fault'] == 'forked'
        agreed = config.ConfigDigest(1, cluster.replicas['p1'].digest)
        cluster.synchronizers['p0'].on_message(cluster.now, 'p1', agreed)
        assert not cluster.replicas['p0'].dump()['faults']

    def test_a_new_process_prefers_its_peers_to_a_forked_service(
        self,
    ) -> None:
        log = [samples.base(), samples.share(2, 1, 'desk', 2)]
        forked = [samples.base(), samples.share(2, 1, 'desk', 9)]
        for seed in range(20):
            service = fleet.Service(log[0])
            cluster = fleet.Fleet(4, service, seed)
            service.publish(log[1])
            cluster.run_without_loss(5)
            service.log = forked
            cluster.start('p0')
            cluster.run_without_loss(5)
            digests = {held.digest for held in cluster.replicas.values()}
            assert digests == {config.begin(tuple(log)).state.digest}
            assert cluster.synchronizers['p0'].ready


class TestDue:
    def test_does_not_spin_while_peers_are_being_asked(self) -> None:
        synchronizer = _synchronizer(_MEMBERS[0])
        synchronizer.update_view(0, config.View(_MEMBERS[:3]))
        synchronizer.tick(0)
        assert synchronizer.due * 10 > 1
