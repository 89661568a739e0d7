"""What breaks a clause of ORDER, and the nearest history that does not."""

import pytest

from soak import _history, _terms
from soak.judges import _order
from soak.tests import builders

KIND = _terms.Kind
CLOSED = _terms.End.closed
Events = tuple[tuple[int, str], ...]
WHOLE: Events = ((1, 'e'), (2, 'e'), (3, 'e'), (4, 'e'))
GOING_ON: Events = (*WHOLE[:2], (3, 'f'), (4, 'f'))


def mixed(count: int, versions: tuple[str, str]) -> builders.Lines:
    """Return streams that two endpoints of a service made, in two tries."""
    lines: builders.Lines = [
        builders.listed('e', versions[0]),
        builders.listed('f', versions[1]),
    ]
    for index in range(count):
        name = f'r{index}'
        first = builders.Stream(name, 1, WHOLE[:2], how=CLOSED)
        again = builders.Stream(
            f'{name}b', 2, GOING_ON[2:], after=2, resumes=name
        )
        lines += [*first.lines, *again.lines]
    return lines


class TestEvents:
    @pytest.mark.parametrize(
        ('events', 'kind', 'how', 'broken'),
        [
            (WHOLE, KIND.stream, _terms.End.whole, []),
            ((WHOLE[0], *WHOLE[2:]), KIND.stream, CLOSED, ['missing']),
            ((WHOLE[0], *WHOLE), KIND.stream, CLOSED, ['doubled']),
            (WHOLE[:3], KIND.stream, _terms.End.whole, ['ends early']),
            (WHOLE[:3], KIND.stream, CLOSED, []),
            ((), KIND.stream, CLOSED, []),
            (
                GOING_ON,
                KIND.stream,
                _terms.End.whole,
                ['joined'],
            ),
            (
                GOING_ON,
                KIND.resumable,
                _terms.End.whole,
                [],
            ),
        ],
        ids=[
            'whole',
            'missing',
            'doubled',
            'complete too early',
            'broken off',
            'nothing',
            'joined',
            'resumed',
        ],
    )
    def test_each_once_and_of_one_run(
        self,
        events: Events,
        kind: _terms.Kind,
        how: _terms.End,
        broken: list[str],
    ) -> None:
        lines = builders.Stream('r', 1, events, kind, how).lines
        found = builders.clauses(_order.judge, lines)
        assert [clause for clause, _ in found] == broken

    @pytest.mark.parametrize(('after', 'broken'), [(2, 0), (1, 1)])
    def test_run_that_goes_on_begins_where_it_was_told(
        self, after: int, broken: int
    ) -> None:
        lines = [
            one
            for one in builders.Stream('r', 1, GOING_ON).lines
            if not (isinstance(one, _history.Ran) and one.endpoint == 'f')
        ]
        lines.append(_history.Ran(1, 'r', 'f/r', 'f', after, 4))
        assert len(builders.clauses(_order.judge, lines)) == broken

    def test_run_of_another_request_is_joined(self) -> None:
        lines = builders.Stream('r', 1, GOING_ON).lines
        lines = [
            _history.Ran(1, 'other', 'f/r', 'f', 2, 4)
            if isinstance(one, _history.Ran) and one.endpoint == 'f'
            else one
            for one in lines
        ]
        found = builders.clauses(_order.judge, lines)
        assert ('joined', ('r',)) in found


class TestVersions:
    @pytest.mark.parametrize(
        ('count', 'versions', 'broken'),
        [
            (3, ('1', '2'), [('versions', ('r0', 'r1', 'r2'))]),
            (2, ('1', '2'), []),
            (3, ('1', '1'), []),
        ],
        ids=['three', 'two', 'one version'],
    )
    def test_streams_go_on_at_the_version_that_began_them(
        self,
        count: int,
        versions: tuple[str, str],
        broken: builders.Clauses,
    ) -> None:
        assert builders.clauses(_order.judge, mixed(count, versions)) == broken

    def test_one_answer_counts_as_well(self) -> None:
        lines: builders.Lines = []
        lines += [builders.listed('e', '1'), builders.listed('f', '2')]
        lines += builders.Stream('r0', 1, GOING_ON).lines
        lines += builders.Stream('r1', 1, GOING_ON).lines
        lines += builders.Stream('r2', 1, GOING_ON).lines
        assert len(builders.clauses(_order.judge, lines)) == 1
