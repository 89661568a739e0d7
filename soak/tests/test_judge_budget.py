"""What breaks a clause of BUDGET, and the nearest history that does not."""

import pytest

from soak import _history, _terms
from soak.judges import _budget
from soak.tests import builders

KIND = _terms.Kind
Runs = tuple[tuple[float, float | None], ...]
# The client's deadline is 4 s after 10.
LONGER: Runs = ((10, 4.6),)
NOT_LONGER: Runs = ((10, 4.5),)
UNSTATED: Runs = ((10, None),)
SENT_LATE: Runs = ((10, 4), (10.6, 4))
SENT_SOON: Runs = ((10, 4), (10.5, 4))
SENT_LATE_AND_SHORTENED: Runs = ((10, 4), (10.6, 3.9))


def requests(
    count: int, runs: Runs, *, kind: _terms.Kind = KIND.safe, attempts: int = 2
) -> builders.Lines:
    """Return requests that run at several endpoints, with the time left."""
    lines: builders.Lines = []
    for index in range(count):
        name = f'{kind.value}{runs}{index}'
        lines.append(
            _history.Sent(
                10, name, 'm', 'route', kind, 4, deadline_s=4, attempts=attempts
            )
        )
        for number, (at, left_s) in enumerate(runs):
            run = f'e{number}/{name}'
            ran = _history.Ran(at, name, run, f'e{number}', left_s=left_s)
            lines.append(ran)
        lines.append(_history.Ended(12, name, _terms.End.whole, 200, 'e'))
    return lines


class TestAttempts:
    @pytest.mark.parametrize(
        ('count', 'runs', 'broken'), [(4, 3, 1), (3, 3, 0), (4, 2, 0)]
    )
    def test_four_on_more_endpoints_than_allowed(
        self, count: int, runs: int, broken: int
    ) -> None:
        lines = requests(count, ((10, 4.0), (10, 4.0), (10, 4.0))[:runs])
        assert len(builders.clauses(_budget.judge, lines)) == broken

    @pytest.mark.parametrize(
        ('how', 'broken'), [(_terms.Work.broken, 0), (_terms.Work.dropped, 1)]
    )
    def test_endpoints_that_end_are_left_out(
        self, how: _terms.Work, broken: int
    ) -> None:
        lines = requests(4, ((10, 4), (10, 4), (10, 4)))
        lines += [
            _history.Worked(11, one.run, how)
            for one in lines
            if isinstance(one, _history.Ran) and one.endpoint == 'e0'
        ]
        assert len(builders.clauses(_budget.judge, lines)) == broken

    @pytest.mark.parametrize(('at', 'broken'), [(12, 0), (12.1, 1)])
    def test_endpoints_that_are_cut_off_are_left_out(
        self, at: float, broken: int
    ) -> None:
        lines = requests(4, ((10, 4), (10, 4), (10, 4)))
        lines.append(_history.Disrupted(at, 'e0', 'silent'))
        assert len(builders.clauses(_budget.judge, lines)) == broken

    def test_several_runs_at_one_endpoint_are_one(self) -> None:
        lines = [
            _history.Ran(one.at, one.request, one.run, 'e0')
            if isinstance(one, _history.Ran)
            else one
            for one in requests(4, ((10, 4), (10, 4), (10, 4)))
        ]
        assert not builders.clauses(_budget.judge, lines)


class TestCrashes:
    """The third crash is at 10.3; machines may learn of it until 13.3."""

    def repeats(
        self, crashes: int, late: int, at: float, team: str = 'team'
    ) -> builders.Lines:
        lines: builders.Lines = []
        for index in range(crashes + late):
            is_late = index >= crashes
            begin = at if is_late else 10 + index / 10
            name = f'r{index}'
            run = f'e{index}/1'
            how = _terms.Work.whole if is_late else _terms.Work.crashed
            sent = _history.Sent(
                begin,
                name,
                'm',
                'route',
                KIND.safe,
                4,
                deadline_s=4,
                content='fatal',
                team=team if is_late else 'team',
            )
            lines += [
                sent,
                _history.Ran(begin, name, run, f'e{index}', left_s=4),
                _history.Worked(begin + 0.1, run, how),
            ]
        return lines

    @pytest.mark.parametrize(
        ('crashes', 'late', 'at', 'team', 'broken'),
        [
            (3, 4, 13.31, 'team', 1),
            (3, 3, 13.31, 'team', 0),
            (3, 4, 13.29, 'team', 0),
            (2, 4, 13.31, 'team', 0),
            (3, 4, 13.31, 'other', 0),
        ],
        ids=['four', 'three', 'in time', 'two crashes', 'another caller'],
    )
    def test_four_retries_run_after_the_third_crash(
        self, crashes: int, late: int, at: float, team: str, broken: int
    ) -> None:
        lines = self.repeats(crashes, late, at, team)
        assert len(builders.clauses(_budget.judge, lines)) == broken

    def test_machines_out_of_touch_are_left_out(self) -> None:
        lines = self.repeats(3, 4, 13.31)
        lines.append(_history.Disrupted(11, 'm', 'silent'))
        assert not builders.clauses(_budget.judge, lines)


class TestDeadline:
    @pytest.mark.parametrize(
        ('runs', 'count', 'kind', 'broken'),
        [
            (LONGER, 21, KIND.safe, 1),
            (LONGER, 20, KIND.safe, 0),
            (LONGER, 21, KIND.unsafe, 1),
            (LONGER, 21, KIND.stream, 0),
            (NOT_LONGER, 21, KIND.safe, 0),
            (UNSTATED, 21, KIND.safe, 1),
            (SENT_LATE, 21, KIND.safe, 1),
            (SENT_SOON, 21, KIND.safe, 0),
            (SENT_LATE_AND_SHORTENED, 21, KIND.safe, 0),
        ],
        ids=[
            'longer',
            'twenty',
            'unsafe',
            'stream',
            'just not longer',
            'none',
            'late repeat',
            'soon repeat',
            'late repeat with less time',
        ],
    )
    def test_more_time_than_is_left(
        self, runs: Runs, count: int, kind: _terms.Kind, broken: int
    ) -> None:
        lines = requests(count, runs, kind=kind)
        assert len(builders.clauses(_budget.judge, lines)) == broken

    @pytest.mark.parametrize(('others', 'broken'), [(83, 1), (84, 0)])
    def test_over_a_fifth_of_late_repeats(
        self, others: int, broken: int
    ) -> None:
        lines = requests(21, SENT_LATE)
        lines += requests(others, SENT_LATE_AND_SHORTENED)
        assert len(builders.clauses(_budget.judge, lines)) == broken

    def test_machines_out_of_touch_are_left_out(self) -> None:
        lines = requests(21, LONGER)
        lines.append(_history.Disrupted(9, 'm', 'silent'))
        assert not builders.clauses(_budget.judge, lines)
