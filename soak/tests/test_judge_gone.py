"""What breaks a clause of GONE, and the nearest history that does not."""

import pytest

from soak import _history, _terms
from soak.judges import _gone
from soak.tests import builders

KIND = _terms.Kind
LEFT_AT = 10.0


def left(
    count: int,
    *,
    ran_at: float = 9,
    worked_at: float = 10.1,
    kind: _terms.Kind = KIND.safe,
    lasts_s: float = 3,
) -> builders.Lines:
    """Return requests whose client leaves, with their work."""
    lines: builders.Lines = []
    for index in range(count):
        name = f'{ran_at}-{worked_at}-{index}'
        run = f'e/{name}'
        lines += [
            _history.Sent(LEFT_AT - 1, name, 'm', 'route', kind, 20),
            _history.Ended(LEFT_AT, name, _terms.End.left),
            _history.Ran(ran_at, name, run, 'e', lasts_s=lasts_s),
            _history.Worked(worked_at, run, _terms.Work.dropped),
        ]
    return lines


class TestArrival:
    @pytest.mark.parametrize(
        ('count', 'after_s', 'broken'),
        [(4, 0.51, 1), (3, 0.51, 0), (4, 0.5, 0)],
    )
    def test_four_reach_an_endpoint_late(
        self, count: int, after_s: float, broken: int
    ) -> None:
        at = LEFT_AT + after_s
        lines = left(count, ran_at=at, worked_at=at)
        assert len(builders.clauses(_gone.judge, lines)) == broken

    @pytest.mark.parametrize(('at', 'broken'), [(7.5, 1), (7.7, 0)])
    def test_requests_held_up_by_a_link_are_left_out(
        self, at: float, broken: int
    ) -> None:
        lines = left(4, ran_at=LEFT_AT + 0.6, worked_at=LEFT_AT + 0.6)
        lines += [
            _history.Disrupted(at, 'e', 'silent'),
            _history.Disrupted(at, 'e', 'silent', over=True),
        ]
        assert len(builders.clauses(_gone.judge, lines)) == broken

    @pytest.mark.parametrize(('at', 'broken'), [(6.9, 1), (7.1, 0), (10.5, 0)])
    def test_machines_out_of_touch_are_left_out(
        self, at: float, broken: int
    ) -> None:
        lines = left(4, ran_at=LEFT_AT + 0.6, worked_at=LEFT_AT + 0.6)
        lines += [
            _history.Disrupted(at, 'm', 'silent'),
            _history.Disrupted(at, 'm', 'silent', over=True),
        ]
        assert len(builders.clauses(_gone.judge, lines)) == broken


class TestWork:
    @pytest.mark.parametrize(
        ('long', 'short', 'broken'), [(26, 74, 1), (25, 75, 0), (1, 0, 1)]
    )
    def test_over_a_quarter_goes_on(
        self, long: int, short: int, broken: int
    ) -> None:
        lines = left(long, worked_at=LEFT_AT + 0.6) + left(short)
        assert len(builders.clauses(_gone.judge, lines)) == broken

    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (left(1, worked_at=LEFT_AT + 0.5), 1),
            (left(1, worked_at=LEFT_AT + 0.49), 0),
            (left(1, worked_at=LEFT_AT + 1, kind=KIND.unsafe), 0),
            (left(1, worked_at=LEFT_AT + 1, kind=KIND.stream), 1),
            (left(1, worked_at=LEFT_AT + 1, lasts_s=1.5), 0),
            (
                [
                    *left(1, worked_at=LEFT_AT + 1),
                    _history.Disrupted(LEFT_AT, 'e', 'one_way'),
                ],
                0,
            ),
        ],
        ids=['late', 'in time', 'unsafe', 'stream', 'short', 'cut off'],
    )
    def test_work_stops_half_a_second_later(
        self, lines: builders.Lines, broken: int
    ) -> None:
        assert len(builders.clauses(_gone.judge, lines)) == broken
