"""Tests of the route table, the endpoint index and the order of planners."""

import random

from lentilspool import serving
from lentilspool.serving.tests import builders


def route(prefix: str, **changes: object) -> serving.Route:
    share = serving.ServiceShare('s', 1)
    return serving.Route(
        prefix,
        'h.example',
        prefix,
        serving.RouteKind.safe,
        (share,),
        1,
        1,
        **changes,  # type: ignore[arg-type]
    )


def call(path: str, key: str = '', host: str = 'H.example:80') -> serving.Call:
    return serving.Call('id', 'GET', path, host, path, (), key, 1)


TEAM = serving.Team('t', frozenset(('k',)))
TABLE = serving.RouteTable(
    serving.Configuration(
        1,
        (
            route('/'),
            route('/a/'),
            route('/a/b/'),
            route('/open/', public=True),
        ),
        {},
        (TEAM,),
    )
)


class TestRouteTable:
    def test_longest_prefix_wins(self) -> None:
        for path, prefix in (
            ('/a/b/c', '/a/b/'),
            ('/a/b', '/a/'),
            ('/ab/', '/'),
            ('/a/', '/a/'),
        ):
            found = TABLE.find(call(path, 'k'))
            assert isinstance(found, serving.Matched)
            assert found.route.prefix == prefix, path

    def test_other_host_has_no_route(self) -> None:
        found = TABLE.find(call('/a/', 'k', 'other'))
        assert isinstance(found, serving.NoRoute)

    def test_key_is_required_unless_route_is_public(self) -> None:
        assert isinstance(TABLE.find(call('/a/', 'x')), serving.UnknownKey)
        assert isinstance(TABLE.find(call('/open/', '')), serving.Matched)

    def test_weights_split_requests(self) -> None:
        split = route('/s/')
        shares = (serving.ServiceShare('s', 9), serving.ServiceShare('v', 1))
        split = serving.Route(
            's', 'h', '/s/', serving.RouteKind.safe, shares, 1, 1
        )
        rng = random.Random(1)
        picked = [serving.pick_service(split, rng) for _ in range(1000)]
        assert 850 < picked.count('s') < 950


class TestEndpointIndex:
    def test_draining_endpoint_is_not_ready(self) -> None:
        ready = builders.endpoint('one', 'search')
        leaving = builders.endpoint('two', 'search', ready=False)
        listed = builders.endpoint_index(ready, leaving)
        assert listed.ready('search') == (ready,)

    def test_generation_grows_only_with_changes(self) -> None:
        one = builders.endpoint('one', 'search')
        listed = builders.endpoint_index(one)
        before = listed.generation
        listed.put(one)
        assert listed.generation == before
        listed.remove('one')
        assert listed.generation == before + 1


class TestRoster:
    def member(self, name: str, **changes: object) -> serving.Member:
        plain = {
            'zone': 'a',
            'strength': 0.8,
            'incarnation': 1,
        }
        return serving.Member(
            name,
            '10.0.0.1',
            1,
            **{**plain, **changes},  # type: ignore[arg-type]
        )

    def test_all_gateways_select_the_same_planner(self) -> None:
        members = [self.member(f'm{index}') for index in range(5)]
        chosen = set()
        for own in members:
            roster = serving.Roster(own, 8)
            for other in members:
                roster.record_heartbeat(other, 0, 0)
            chosen.add(roster.planners(2, 0)[0].name)
        assert len(chosen) == 1

    def test_records_do_not_all_go_to_one_zone(self) -> None:
        members = [
            self.member(f'{zone}{index}', zone=zone)
            for index, zone in enumerate('aaabcb')
        ]
        spread = serving.spread_over_zones(members)
        assert [one.name for one in spread] == [
            'a0',
            'b3',
            'c4',
            'a1',
            'b5',
            'a2',
        ]

    def test_unresponsive_and_stale_gateways_do_not_plan(self) -> None:
        roster = serving.Roster(self.member('own'), 8)
        roster.record_heartbeat(self.member('silent', strength=2), 0, 0)
        roster.record_heartbeat(self.member('old', strength=2), 5, 0)
        roster.mark_unresponsive('silent', 1, 0)
        assert [one.name for one in roster.planners(2, 0.5)] == ['own']

    def test_leaving_gateways_come_last_the_latest_first(self) -> None:
        roster = serving.Roster(self.member('own'), 8)
        for name, leaving_at in (('first', 100), ('second', 200)):
            leaving = self.member(name, strength=2, leaving_at=leaving_at)
            roster.record_heartbeat(leaving, 0, 0)
        found = [one.name for one in roster.planners(2, 0)]
        assert found == ['own', 'second', 'first']
        roster.announce_leaving(150)
        found = [one.name for one in roster.planners(2, 0)]
        assert found == ['second', 'own', 'first']

    def test_planner_stays_when_others_restart(self) -> None:
        names = [f'm{index}' for index in range(8)]
        members = {name: self.member(name) for name in names}
        first = self.order(members)[0]
        members[first] = self.member(first, planning_since=50)
        for name in names:
            if name != first:
                members[name] = self.member(name, incarnation=90)
                assert self.order(members)[0] == first

    def test_rolling_restart_changes_planner_at_most_twice(self) -> None:
        names = [f'm{index}' for index in range(8)]
        members = {name: self.member(name) for name in names}
        planners: list[str] = []
        for step, name in enumerate(names, start=2):
            leaving = self.member(name, leaving_at=step)
            planner = self.order({**members, name: leaving})[0]
            if not planners or planners[-1] != planner:
                planners.append(planner)
            members[planner] = self.member(
                planner,
                incarnation=members[planner].incarnation,
                planning_since=len(planners),
            )
            members[name] = self.member(name, incarnation=step)
        assert len(planners) <= 3, planners

    def test_process_without_configuration_does_not_plan(self) -> None:
        members = {
            'new': self.member('new', able=False, incarnation=9),
            'old': self.member('old'),
        }
        assert self.order(members) == ['old', 'new']

    def order(self, members: dict[str, serving.Member]) -> list[str]:
        own, *others = members.values()
        roster = serving.Roster(own, 8)
        for other in others:
            roster.record_heartbeat(other, 0, 0)
        return [one.name for one in roster.planners(2, 0)]

    def test_older_incarnation_is_ignored(self) -> None:
        roster = serving.Roster(self.member('own'), 8)
        roster.record_heartbeat(self.member('m', incarnation=2), 0, 1)
        roster.record_heartbeat(
            self.member('m', incarnation=1, leaving_at=5), 0, 1
        )
        assert not roster.members(1)[0][0].leaving_at

    def test_strongest_gateway_plans_first(self) -> None:
        roster = serving.Roster(self.member('own', strength=0.4), 8)
        roster.record_heartbeat(self.member('big', strength=2.1), 0, 0)
        assert roster.planners(2, 0)[0].name == 'big'
