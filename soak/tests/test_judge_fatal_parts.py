"""What breaks the clauses of fatal parts of prompts, and what just does not."""

import dataclasses

import pytest

from soak import _history, _terms
from soak.judges import _fatal_parts
from soak.tests import builders

KIND = _terms.Kind.stream
# The last of the crashes; machines may learn of the part until 3 s later.
CRASHED_AT = 10.5
KNOWN_AT = CRASHED_AT + 3
# Sound requests count from 6 s after the last crash.
BESIDE_AT = CRASHED_AT + 6


@dataclasses.dataclass(frozen=True, slots=True)
class Fatal:
    """A request with a fatal part, and its runs."""

    request: str
    at: float
    how: _terms.Work = _terms.Work.dropped
    runs: int = 1

    @property
    def lines(self) -> builders.Lines:
        """What is seen of it; its runs last a tenth of a second."""
        lines: builders.Lines = [sent(self.request, self.at, fatal_part='x')]
        for number in range(self.runs):
            run = f'e-{self.request}/{number}'
            endpoint, _, _ = run.partition('/')
            lines += [
                _history.Ran(self.at, self.request, run, endpoint),
                _history.Worked(self.at + 0.1, run, self.how),
            ]
        return lines


def sent(
    request: str,
    at: float,
    *,
    route: str = 'route',
    team: str = 'team',
    first_part: str = 'a',
    fatal_part: str = '',
) -> _history.Sent:
    """Return a request at machine m with a prompt."""
    second = fatal_part or 'b'
    return _history.Sent(
        at,
        request,
        'm',
        route,
        KIND,
        4,
        team=team,
        parts=(first_part, second, request),
        fatal_part=fatal_part,
    )


def crashes(count: int) -> builders.Lines:
    """Return requests that crash engines, the last one at ``CRASHED_AT``."""
    lines: builders.Lines = []
    for index in range(count):
        at = CRASHED_AT - 0.1 - index / 10
        lines += Fatal(f'crash{index}', at, _terms.Work.crashed).lines
    return lines


def arrivals(count: int, at: float, **changes: object) -> builders.Lines:
    """Return more requests with the part, each of which runs."""
    lines: builders.Lines = []
    for index in range(count):
        one = Fatal(f'late{index}', at)
        lines += dataclasses.replace(one, **changes).lines  # type: ignore[arg-type]
    return lines


class TestArrivals:
    @pytest.mark.parametrize(
        ('before', 'late', 'broken'),
        [
            (5, arrivals(4, KNOWN_AT + 0.01), 1),
            (5, arrivals(3, KNOWN_AT + 0.01), 0),
            (5, arrivals(4, KNOWN_AT), 0),
            (4, arrivals(4, KNOWN_AT + 0.01), 0),
            (5, arrivals(2, KNOWN_AT + 0.01, runs=2), 1),
            (5, arrivals(4, KNOWN_AT + 0.01, runs=0), 0),
        ],
        ids=[
            'four',
            'three',
            'in time',
            'four crashes',
            'two and their repeats',
            'no arrival',
        ],
    )
    def test_more_than_three_reach_engines_once_the_part_is_known(
        self, before: int, late: builders.Lines, broken: int
    ) -> None:
        found = builders.clauses(_fatal_parts.judge, crashes(before), late)
        assert len(found) == broken

    def test_crashes_of_one_engine_are_one(self) -> None:
        lines = [
            msg
            if not isinstance(msg, _history.Ran)
            else _history.Ran(msg.at, msg.request, msg.run, 'e')
            for msg in crashes(5)
        ]
        late = arrivals(4, KNOWN_AT + 0.01)
        assert not builders.clauses(_fatal_parts.judge, lines, late)

    @pytest.mark.parametrize(
        ('place', 'over_at', 'broken'),
        [
            ('m', KNOWN_AT - 2.99, 1),
            ('m', KNOWN_AT - 2.9, 0),
            (_history.STORE, KNOWN_AT - 2.9, 0),
            ('other', KNOWN_AT - 2.9, 1),
        ],
    )
    def test_machines_out_of_touch_are_left_out(
        self, place: str, over_at: float, broken: int
    ) -> None:
        harmed = [
            _history.Disrupted(1, place, 'silent'),
            _history.Disrupted(over_at, place, 'silent', over=True),
        ]
        late = arrivals(4, KNOWN_AT + 0.05)
        found = builders.clauses(_fatal_parts.judge, crashes(5), late, harmed)
        assert len(found) == broken

    def test_parts_are_counted_apart(self) -> None:
        other = [
            _history.Sent(
                one.at,
                one.request,
                one.machine,
                one.route,
                one.kind,
                4,
                fatal_part='y',
            )
            if isinstance(one, _history.Sent)
            else one
            for one in arrivals(4, KNOWN_AT + 0.01)
        ]
        assert not builders.clauses(_fatal_parts.judge, crashes(5), other)


def sound(
    name: str, count: int, begun: int, at: float, **changes: str
) -> builders.Lines:
    """Return sound requests, of which some begin."""
    lines: builders.Lines = []
    for index in range(count):
        request = f'{name}{index:02}'
        status = 200 if index < begun else 503
        whole = _terms.End.whole
        lines += [
            sent(request, at, **changes),
            _history.Ended(at + 0.1, request, whole, status),
        ]
    return lines


APART = sound('apart', 20, 20, 5)
# Requests with the part come until then.
LAST = Fatal('last', BESIDE_AT + 1, runs=0).lines


class TestNeighbours:
    @pytest.mark.parametrize(
        ('apart', 'beside', 'broken'),
        [
            (APART, sound('r', 20, 9, BESIDE_AT), True),
            (APART, sound('r', 20, 10, BESIDE_AT), False),
            (APART, sound('r', 19, 0, BESIDE_AT), False),
            (sound('apart', 19, 19, 5), sound('r', 20, 9, BESIDE_AT), False),
            (sound('apart', 20, 18, 5), sound('r', 20, 9, BESIDE_AT), False),
            (APART, sound('r', 20, 9, BESIDE_AT - 0.01), False),
            (APART, sound('r', 20, 9, BESIDE_AT + 1.01), False),
            (APART, sound('r', 20, 9, BESIDE_AT, route='x'), False),
            (APART, sound('r', 20, 9, BESIDE_AT, first_part='x'), True),
            (APART, sound('r', 20, 9, BESIDE_AT, team='x'), True),
            (
                APART,
                sound('r', 20, 9, BESIDE_AT, team='x', first_part='x'),
                False,
            ),
        ],
        ids=[
            'under half',
            'half',
            'nineteen',
            'nineteen apart',
            'half of those apart',
            'too early',
            'the part comes no more',
            'another route',
            'the key',
            'the first part',
            'neither key nor first part',
        ],
    )
    def test_sound_requests_begin_half_as_often(
        self, apart: builders.Lines, beside: builders.Lines, broken: bool
    ) -> None:
        found = builders.clauses(
            _fatal_parts.judge, crashes(5), LAST, apart, beside
        )
        expected = ['fatal part'] if broken else []
        assert [clause for clause, _ in found] == expected

    def test_last_crash_counts_if_there_are_fewer_than_five(self) -> None:
        beside = sound('r', 20, 9, BESIDE_AT)
        parts = (LAST, APART, beside)
        found = builders.clauses(_fatal_parts.judge, crashes(1), *parts)
        assert len(found) == 1
        assert not builders.clauses(_fatal_parts.judge, LAST, APART, beside)

    @pytest.mark.parametrize(('at', 'broken'), [(4.9, 0), (5.1, 1)])
    def test_disrupted_time_is_no_measure(self, at: float, broken: int) -> None:
        gone = [_history.Disrupted(at, 'e', 'crashed')]
        beside = sound('r', 20, 9, BESIDE_AT)
        found = builders.clauses(
            _fatal_parts.judge, crashes(5), LAST, APART, beside, gone
        )
        assert len(found) == broken

    def test_machines_out_of_touch_are_left_out(self) -> None:
        beside = sound('r', 20, 9, BESIDE_AT)
        parts = (crashes(5), LAST, APART, beside)
        harmed = [_history.Disrupted(BESIDE_AT - 1, 'm', 'silent')]
        assert not builders.clauses(_fatal_parts.judge, *parts, harmed)
