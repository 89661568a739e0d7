"""What breaks DRAIN, CONFIG or ROUTE, and the nearest that does not."""

import pytest

from soak import _history, _terms
from soak.judges import _config, _drain, _route
from soak.tests import builders

SAFE = _terms.Kind.safe
STORE = _history.STORE
OLD = 'desk'
NEW = 'counter'


def entry(
    endpoint: str, service: str, at: float = 0, *, ready: bool = True
) -> _history.Listed:
    """Return the entry of an endpoint."""
    return _history.Listed(at, endpoint, service, '1', ready)


def asked(
    at: float, endpoint: str, name: str = 'req', team: str = 'team'
) -> builders.Lines:
    """Return a request on the route 'moving' that runs at an endpoint."""
    return [
        _history.Sent(at, name, 'm', 'moving', SAFE, 4, team=team),
        _history.Ran(at, name, f'{endpoint}/{name}', endpoint),
    ]


def configured(
    version: int, at: float, service: str, *, route: str = 'moving'
) -> builders.Lines:
    """Return a version that the store takes at once."""
    services = {route: service}
    sent = _history.Configured(at, version, services=services, teams=('team',))
    return [sent, _history.Configured(at, version, taken=True)]


def silence(place: str, at: float) -> builders.Lines:
    """Return a short disruption."""
    return [
        _history.Disrupted(at, place, 'silent'),
        _history.Disrupted(at, place, 'silent', over=True),
    ]


MOVED: builders.Lines = [
    entry('old', OLD),
    entry('new', NEW),
    *configured(1, 1, OLD),
    *configured(2, 20, NEW),
]


# The first request that is handled as the second version allows.
SHOWN = asked(20.2, 'new', 'first')
LEAVING = (entry('e', OLD), entry('e', OLD, 10, ready=False))


class TestDrain:
    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (asked(12.01, 'e'), 1),
            (asked(12, 'e'), 0),
            (asked(12.01, 'f'), 0),
            ([*asked(12.01, 'e'), entry('e', OLD, 11)], 0),
            ([*asked(12.01, 'e'), *silence('m', 9.1)], 0),
            ([*asked(12.01, 'e'), *silence('m', 9)], 1),
            ([*asked(14, 'e'), *silence('e', 11.1)], 0),
            ([*asked(14, 'e'), *silence('e', 10.9)], 1),
            ([*asked(14, 'e'), *silence(STORE, 7.1)], 0),
            ([*asked(14, 'e'), *silence(STORE, 6.9)], 1),
        ],
        ids=[
            'late',
            'in time',
            'another endpoint',
            'ready again',
            'machine out of touch',
            'machine in touch again',
            'held up by its link',
            'not held up any more',
            'taken by an unstable store',
            'taken by a stable store',
        ],
    )
    def test_work_reaches_no_endpoint_that_has_left(
        self, lines: builders.Lines, broken: int
    ) -> None:
        found = builders.clauses(_drain.judge, lines, LEAVING)
        assert len(found) == broken


class TestReadiness:
    """Machines that got SIGTERM at 10, and whether they are ready at 14."""

    def machines(
        self, *, ready: int, out: int, misses: int = 2
    ) -> builders.Lines:
        lines: builders.Lines = []
        for index in range(ready + out):
            name = f'm{index}'
            stays = index < ready
            lines.append(_history.Probed(9, name, ready=True))
            lines.append(_history.Process(10, name, _terms.Change.terminated))
            lines += [
                _history.Probed(14 - miss, name, ready=stays)
                for miss in range(misses)
            ]
        return lines

    @pytest.mark.parametrize(
        ('ready', 'out', 'broken'),
        [(2, 5, 1), (2, 6, 0), (1, 0, 0)],
        ids=['over a quarter', 'a quarter', 'one'],
    )
    def test_machines_that_stop_are_not_ready(
        self, ready: int, out: int, broken: int
    ) -> None:
        lines = self.machines(ready=ready, out=out)
        assert len(builders.clauses(_drain.judge, lines)) == broken

    @pytest.mark.parametrize(('misses', 'broken'), [(1, 1), (2, 0)])
    def test_two_misses_take_a_machine_out(
        self, misses: int, broken: int
    ) -> None:
        lines = self.machines(ready=0, out=2, misses=misses)
        assert len(builders.clauses(_drain.judge, lines)) == broken

    @pytest.mark.parametrize(('at', 'broken'), [(13.9, 0), (14.1, 1)])
    def test_machines_that_have_ended_are_left_out(
        self, at: float, broken: int
    ) -> None:
        lines = self.machines(ready=2, out=0)
        lines.append(_history.Process(at, 'm0', _terms.Change.ended))
        assert len(builders.clauses(_drain.judge, lines)) == broken


class TestOldVersion:
    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (asked(22.01, 'old'), ['old service']),
            (asked(22, 'old'), []),
            (asked(22.01, 'new'), []),
            ([*asked(22.01, 'old'), *configured(3, 22, OLD)], []),
            ([*asked(22.01, 'old'), *silence('m', 20)], []),
            ([*asked(22.01, 'old'), *silence(STORE, 20)], []),
        ],
        ids=[
            'late',
            'in time',
            'new service',
            'moved back meanwhile',
            'machine out of touch',
            'store unstable',
        ],
    )
    def test_moved_route_uses_its_new_service(
        self, lines: builders.Lines, broken: list[str]
    ) -> None:
        found = builders.clauses(_config.judge, lines, MOVED)
        assert [clause for clause, _ in found] == broken

    @pytest.mark.parametrize(
        ('at', 'status', 'stamp', 'broken'),
        [
            (22.01, 404, '', ['old denial']),
            (22.01, 401, '', ['old denial']),
            (21.9, 404, '', []),
            (22.01, 404, 'e', []),
            (22.01, 503, '', []),
        ],
        ids=['unknown', 'no access', 'in time', 'of the endpoint', 'refused'],
    )
    def test_new_route_is_not_denied(
        self, at: float, status: int, stamp: str, broken: list[str]
    ) -> None:
        lines: builders.Lines = [
            _history.Sent(at, 'req', 'm', 'added', SAFE, 4, team='team'),
            _history.Ended(at, 'req', _terms.End.whole, status, stamp),
        ]
        added = configured(2, 20, OLD, route='added')
        found = builders.clauses(
            _config.judge, lines, configured(1, 1, OLD), added
        )
        assert [clause for clause, _ in found] == broken


class TestTimeouts:
    """Requests are answered half a second after their route's timeout."""

    def held(
        self, count: int, held_s: float, how: _terms.End = _terms.End.whole
    ) -> builders.Lines:
        lines: builders.Lines = []
        for index in range(count):
            name = f'{held_s}-{index}'
            lines += [
                _history.Sent(10, name, 'm', 'route', SAFE, 4, timeout_s=4),
                _history.Ended(10 + held_s, name, how, 504),
            ]
        return lines

    @pytest.mark.parametrize(
        ('late', 'in_time', 'broken'),
        [
            (8, 23, ['no final answer']),
            (7, 20, []),
            (8, 24, []),
            (2, 1, ['half unanswered']),
            (2, 2, []),
        ],
    )
    def test_share_without_answer(
        self, late: int, in_time: int, broken: list[str]
    ) -> None:
        lines = [*self.held(late, 4.6), *self.held(in_time, 4.4)]
        found = builders.clauses(_config.judge, lines)
        assert [clause for clause, _ in found] == broken

    @pytest.mark.parametrize(('held_s', 'broken'), [(4.5, 0), (4.51, 1)])
    def test_half_a_second_is_allowed(self, held_s: float, broken: int) -> None:
        found = builders.clauses(_config.judge, self.held(1, held_s))
        assert len(found) == broken

    @pytest.mark.parametrize(('held_s', 'broken'), [(4.4, 0), (4.6, 1)])
    def test_clients_that_left_before_are_left_out(
        self, held_s: float, broken: int
    ) -> None:
        lines = self.held(1, held_s, _terms.End.left)
        assert len(builders.clauses(_config.judge, lines)) == broken

    def test_machines_out_of_touch_are_left_out(self) -> None:
        lines = [*self.held(1, 5), *silence('m', 13)]
        assert not builders.clauses(_config.judge, lines)


class TestRegression:
    """A machine that showed a version does not go back."""

    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (asked(20.5, 'old'), 1),
            (asked(20.44, 'old'), 0),
            (asked(20.5, 'new'), 0),
            ([*asked(20.5, 'old'), *configured(3, 20.4, OLD)], 0),
            (
                [
                    *asked(20.5, 'old'),
                    _history.Process(20.3, 'm', _terms.Change.started),
                ],
                0,
            ),
            ([*asked(20.5, 'old'), *silence(STORE, 20.4)], 0),
            ([*asked(20.5, 'old'), *silence('m', 20.4)], 0),
            ([*asked(22.3, 'old'), *silence('m', 22.2)], 1),
        ],
        ids=[
            'back',
            'at the same time',
            'not back',
            'moved back',
            'new process',
            'older store',
            'slowed',
            'slowed, eight times later',
        ],
    )
    def test_machine_keeps_to_what_it_showed(
        self, lines: builders.Lines, broken: int
    ) -> None:
        found = builders.clauses(_config.judge, lines, MOVED, SHOWN)
        regressions = [one for one, _ in found if one == 'regression']
        assert len(regressions) == broken


class TestRoute:
    @pytest.mark.parametrize(
        ('endpoint', 'at', 'broken'),
        [
            ('old', 30, 0),
            ('new', 30, 0),
            ('new', 19.9, 1),
            ('other', 30, 1),
            ('unknown', 30, 0),
        ],
    )
    def test_only_services_that_a_version_allows(
        self, endpoint: str, at: float, broken: int
    ) -> None:
        lines = [*asked(at, endpoint), entry('other', 'model')]
        assert len(builders.clauses(_route.judge, lines, MOVED)) == broken

    @pytest.mark.parametrize(('team', 'broken'), [('team', 0), ('other', 1)])
    def test_only_keys_that_a_version_holds(
        self, team: str, broken: int
    ) -> None:
        lines = asked(30, 'new', team=team)
        assert len(builders.clauses(_route.judge, lines, MOVED)) == broken


class TestAddedRoutes:
    """The route 'added' is in force from 22 on; 'first' always."""

    def requests(
        self, route: str, count: int, served: int, at: float = 30
    ) -> builders.Lines:
        lines: builders.Lines = []
        for index in range(count):
            name = f'{route}{index}'
            status = 200 if index < served else 503
            lines += [
                _history.Sent(at, name, 'm', route, SAFE, 4, team='team'),
                _history.Ended(at, name, _terms.End.whole, status, ''),
            ]
        return lines

    @pytest.mark.parametrize(
        ('count', 'served', 'at', 'broken'),
        [
            (20, 3, 30, 1),
            (20, 4, 30, 0),
            (19, 0, 30, 0),
            (20, 3, 21.9, 0),
        ],
        ids=['under a quarter', 'a quarter', 'too few', 'not in force'],
    )
    def test_are_served_a_quarter_as_often(
        self, count: int, served: int, at: float, broken: int
    ) -> None:
        both = {'first': OLD, 'added': OLD}
        versions = [
            *configured(1, 1, OLD, route='first'),
            _history.Configured(20, 2, services=both, teams=('team',)),
            _history.Configured(20, 2, taken=True),
        ]
        lines = [
            *self.requests('first', 10, 8),
            *self.requests('added', count, served, at),
        ]
        found = builders.clauses(_config.judge, lines, versions)
        assert [one for one, _ in found].count('added routes') == broken

    def test_machines_out_of_touch_are_left_out(self) -> None:
        versions = [
            *configured(1, 1, OLD, route='first'),
            *configured(2, 20, OLD, route='added'),
        ]
        lines = self.requests('added', 20, 0)
        hurt = silence('m', 28)
        assert not builders.clauses(_config.judge, lines, versions, hurt)
