from lentilspool import membership

_OWN = membership.ProcessLocation('e1', 'z1')


def _hints(
    *names: str, leaving: tuple[str, ...] = ()
) -> list[membership.ListedHost]:
    return [
        membership.ListedHost(
            name,
            '127.0.0.1',
            1,
            'z1',
            'p',
            state=membership.HostState.leaving
            if name in leaving
            else membership.HostState.live,
        )
        for name in names
    ]


def _heartbeat(
    name: str, sequence: int = 1, leaving: bool = False
) -> membership.Heartbeat:
    return membership.Heartbeat(
        name,
        1,
        sequence,
        leaving=leaving,
        lease_ms=3000,
        zone='z1',
        pool='p',
        address='127.0.0.1',
        port=1,
    )


def _view(*names: str) -> membership.Membership:
    view = membership.Membership(_OWN, 0, membership.MembershipLimits())
    view.update_hosts(_hints(*names))
    for name in names:
        view.receive(_heartbeat(name), 0)
    return view


def _usable(view: membership.Membership, now: float) -> list[str]:
    return [member.name for member in view.usable_members('p', now)]


def _candidate_names(
    view: membership.Membership, now: float
) -> tuple[str, ...]:
    return tuple(hint.name for hint in view.connection_targets('p', now))


class TestHostList:
    def test_listed_host_is_usable_only_with_lease(self) -> None:
        view = membership.Membership(_OWN, 0, membership.MembershipLimits())
        view.update_hosts(_hints('a'))
        assert [hint.name for hint in view.connection_targets('p', 0)] == ['a']
        assert not _usable(view, 0)
        view.receive(_heartbeat('a'), 0)
        assert [hint.name for hint in view.connection_targets('p', 0)] == ['a']
        assert _usable(view, 0) == ['a']

    def test_host_missing_from_lagging_list_stays_usable(self) -> None:
        view = _view('a', 'b')
        view.update_hosts(_hints('a'))
        view.run_checks(1)
        assert _usable(view, 1) == ['a', 'b']
        assert set(view.subset('p')) == {'a', 'b'}

    def test_host_listed_as_leaving_gets_no_new_work(self) -> None:
        view = _view('a', 'b')
        view.update_hosts(_hints('a', 'b', leaving=('a',)))
        assert _usable(view, 1) == ['b']
        view.run_checks(1)
        assert view.subset('p') == ('b',)

    def test_silent_member_gets_spare_until_it_returns(self) -> None:
        names = [f's{number}' for number in range(40)]
        limits = membership.MembershipLimits(
            subsets=membership.SubsetLimits(coverage=1)
        )
        entries = [
            membership.ListedHost(
                f'e{number}',
                '127.0.0.1',
                1,
                'z1',
                role=membership.Role.entry,
            )
            for number in range(20)
        ]
        view = membership.Membership(_OWN, 0, limits)
        view.update_hosts([*_hints(*names), *entries])
        subset = view.subset('p')
        assert _candidate_names(view, 0) == subset
        *live, silent = subset
        for now in (1, 2, 3):
            for name in live:
                view.receive(_heartbeat(name, sequence=now), now)
        first = _candidate_names(view, 3)
        assert first[: len(subset)] == subset
        assert len(first) == len(subset) + 1
        view.receive(_heartbeat(first[-1]), 3)
        assert _candidate_names(view, 3.5) == first
        assert _candidate_names(view, 4) == first
        view.receive(_heartbeat(silent), 4)
        assert _candidate_names(view, 4) == subset

    def test_generation_grows_with_every_change_of_usable_members(self) -> None:
        view = _view('a', 'b')
        generations = [view.leases.generation]
        view.update_hosts(_hints('a', 'b', leaving=('a',)))
        generations.append(view.leases.generation)
        view.receive(_heartbeat('b', sequence=2, leaving=True), 1)
        generations.append(view.leases.generation)
        view.receive(_heartbeat('b', sequence=3), 1)
        generations.append(view.leases.generation)
        view.leases.sweep(20)
        generations.append(view.leases.generation)
        assert generations == sorted(set(generations))

    def test_listed_entry_creates_no_pool(self) -> None:
        view = _view('a')
        other = membership.ListedHost(
            'e2', '127.0.0.1', 1, 'z1', role=membership.Role.entry
        )
        view.update_hosts([*_hints('a'), other])
        view.run_checks(1)
        assert view.pools == ('p',)
        assert view.dump(1)['subsets'] == {'p': ['a']}


class TestLeaving:
    def test_notice_or_refusal_ends_new_work_of_same_incarnation(self) -> None:
        view = _view('a', 'b', 'c')
        view.receive(_heartbeat('a', sequence=2, leaving=True), 0.1)
        view.record_draining_refusal('b', 1)
        view.record_draining_refusal('c', 0)
        assert _usable(view, 0.1) == ['c']

    def test_outdated_heartbeat_does_not_undo_leaving(self) -> None:
        view = _view('a')
        view.receive(_heartbeat('a', sequence=3, leaving=True), 0.1)
        view.receive(_heartbeat('a', sequence=2), 0.2)
        assert not _usable(view, 0.2)


class TestPause:
    def test_members_are_unusable_until_next_heartbeat(self) -> None:
        view = _view('a')
        assert view.run_checks(1) == 0
        assert _usable(view, 1) == ['a']
        assert view.run_checks(2.6) > 0
        assert not _usable(view, 2.6)
        view.receive(_heartbeat('a', sequence=2), 2.7)
        assert _usable(view, 2.7) == ['a']
        assert view.pauses == 1


class TestPartition:
    def test_reachable_members_stay_usable_and_others_return(self) -> None:
        view = _view('a', 'b', 'c')
        subset = view.subset('p')
        now = 0.0
        while now < 20:
            now += 1
            view.receive(_heartbeat('a', sequence=int(now) + 1), now)
            view.run_checks(now)
        assert _usable(view, now) == ['a']
        assert view.cut_off
        view.update_hosts(_hints('a', 'b', 'c'))
        view.run_checks(now)
        assert view.subset('p') == subset
        for name in ('b', 'c'):
            view.receive(_heartbeat(name, sequence=30), now)
        view.run_checks(now + 1)
        assert sorted(_usable(view, now + 1)) == ['a', 'b', 'c']
        assert not view.cut_off

    def test_dump_shows_host_count_and_leases(self) -> None:
        dump = _view('a').dump(1)
        assert dump['hosts_listed'] == 1
        assert dump['leases'] == {
            'a': {
                'pool': 'p',
                'incarnation': 1,
                'leaving': False,
                'version': 0,
                'left_s': 2,
            }
        }
