"""Tests of the parts of the spread, one subject a class."""

import random

from lentilspool import config
from lentilspool.config.tests import fleet, samples

_ZONES = 3
_MEMBERS = [
    config.Member(f'p{index}', f'z{index % _ZONES}') for index in range(60)
]
_VIEW = config.View(_MEMBERS)
_LARGE = 200_000


def _spread(
    member: config.Member, holder: config.Holder | None = None
) -> config.Spread:
    held = holder or config.Holder()
    return config.Spread(member, held, random.Random(1), 0)


def _after_silence(seconds: float) -> list[config.Spread]:
    spreads = [_spread(member) for member in _MEMBERS]
    for spread in spreads:
        spread.follow(0, _VIEW)
        for step in range(int(seconds * 4)):
            spread.tick(step / 4)
    return spreads


def _calls(actions: list[config.Action]) -> list[config.Action]:
    return [action for action in actions if not isinstance(action, config.Send)]


def _sent(actions: list[config.Action]) -> list[config.Message]:
    return [
        action.message for action in actions if isinstance(action, config.Send)
    ]


class TestView:
    def test_loss_of_one_changes_only_choices_of_it(self) -> None:
        smaller = config.View(_MEMBERS[1:])
        for member in _MEMBERS[1:]:
            before = set(_VIEW.neighbours(member, 4, 4))
            after = set(smaller.neighbours(member, 4, 4))
            if 'p0' not in before:
                assert after == before

    def test_a_small_fleet_has_everyone_as_neighbour(self) -> None:
        view = config.View(_MEMBERS[:5])
        assert len(view.neighbours(_MEMBERS[0], 4, 4)) == 4


class TestReaders:
    def test_two_processes_of_a_zone_read(self) -> None:
        reading = [spread.reads for spread in _after_silence(5)]
        assert sum(reading) == 2 * _ZONES

    def test_silence_of_all_others_makes_a_reader(self) -> None:
        assert all(spread.reads for spread in _after_silence(10))

    def test_a_process_without_a_view_waits_and_then_reads(self) -> None:
        spread = _spread(_MEMBERS[0])
        times = [step / 4 for step in range(200)]
        called = [now for now in times if _calls(spread.tick(now))]
        assert called[0] > 3


class TestServiceCalls:
    def test_a_stream_of_news_is_read_at_a_bounded_rate(self) -> None:
        spread = _spread(_MEMBERS[0])
        spread.follow(0, config.View(_MEMBERS[:1]))
        count = 0
        for step in range(1000):
            now = step / 100
            actions = _calls(spread.tick(now))
            while actions:
                count += 1
                action = actions.pop()
                if isinstance(action, config.WatchService):
                    actions = _calls(spread.on_watch(now, has_new_entries=True))
                else:
                    spread.on_read(now, (samples.base(),))
        assert count <= 22

    def test_a_failing_service_is_tried_again_soon(self) -> None:
        spread = _spread(_MEMBERS[0])
        spread.follow(0, config.View(_MEMBERS[:1]))
        count = 0
        for step in range(1000):
            if _calls(spread.tick(step / 100)):
                count += 1
                spread.on_service_failure(step / 100)
        assert 10 <= count <= 30


class TestLostWatch:
    def test_a_lost_answer_of_a_watch_costs_seconds(self) -> None:
        links = fleet.Fleet(3, fleet.Service(samples.base()))
        links.quiet(5)
        links.cut = set(links.names)
        links.service.publish(samples.share(2, 1, 'desk', 2))
        links.quiet(1)
        links.cut = set()
        links.quiet(5)
        assert {held.number for held in links.holders.values()} == {2}


class TestLargeEntries:
    def test_is_announced_and_each_source_sends_three_copies(self) -> None:
        holder = config.Holder()
        spread = _spread(_MEMBERS[0], holder)
        spread.follow(0, _VIEW)
        patch = config.Patch(2, 1, 'a' * _LARGE, {})
        log = (samples.base(), config.encode_patch(patch))
        news = _sent(spread.on_read(0, log))
        assert set(map(type, news)) == {config.ConfigDigest}
        pull = config.ConfigPull(1, config.begin(log[:1]).state.digest)
        answers = [_sent(spread.on_message(1, peer, pull)) for peer in 'abcd']
        assert [len(answer) for answer in answers] == [1, 1, 1, 0]
        assert _sent(spread.on_message(60, 'd', pull))


class TestPause:
    def test_a_process_that_wakes_asks_before_it_serves(self) -> None:
        links = fleet.Fleet(3, fleet.Service(samples.base()))
        links.quiet(5)
        links.paused = {'p0'}
        links.service.publish(samples.share(2, 1, 'desk', 2))
        links.quiet(10)
        links.paused = set()
        links.parcels.clear()
        links.step()
        assert not links.spreads['p0'].ready
        links.quiet(1)
        assert links.spreads['p0'].ready
        assert links.holders['p0'].number == 2


class TestFork:
    def test_a_forked_peer_is_reported_and_does_not_hold_up_a_start(
        self,
    ) -> None:
        links = fleet.Fleet(3, fleet.Service(samples.base()))
        links.quiet(5)
        forked = config.ConfigDigest(1, 'another')
        links.spreads['p0'].on_message(links.now, 'p1', forked)
        faults = links.holders['p0'].dump()['faults']
        assert isinstance(faults, dict)
        assert faults['p1']['fault'] == 'forked'
        agreed = config.ConfigDigest(1, links.holders['p1'].digest)
        links.spreads['p0'].on_message(links.now, 'p1', agreed)
        assert not links.holders['p0'].dump()['faults']

    def test_a_new_process_follows_its_peers_and_not_a_forked_service(
        self,
    ) -> None:
        log = [samples.base(), samples.share(2, 1, 'desk', 2)]
        forked = [samples.base(), samples.share(2, 1, 'desk', 9)]
        for seed in range(20):
            service = fleet.Service(log[0])
            links = fleet.Fleet(4, service, seed)
            service.publish(log[1])
            links.quiet(5)
            service.log = forked
            links.start('p0')
            links.quiet(5)
            digests = {held.digest for held in links.holders.values()}
            assert digests == {config.begin(tuple(log)).state.digest}
            assert links.spreads['p0'].ready


class TestDue:
    def test_is_not_at_once_while_peers_are_asked(self) -> None:
        spread = _spread(_MEMBERS[0])
        spread.follow(0, config.View(_MEMBERS[:3]))
        spread.tick(0)
        assert spread.due * 10 > 1
