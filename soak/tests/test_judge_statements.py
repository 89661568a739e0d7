"""What breaks the clauses of statements, and the nearest that does not."""

import itertools

import pytest

from soak import _history, _terms
from soak.judges import _limit, _stated
from soak.tests import builders

SAFE = _terms.Kind.safe
LIMIT_PER_S = 1.0
# One and a half times the limit in 4 s, and 5.
ALLOWED = 11


def answered(
    at: float, request: str = '', machine: str = 'm', **stated: object
) -> builders.Lines:
    """Return an answer of endpoint e, at once, and the request before it."""
    answer = _history.Answered(
        at,
        'e',
        request,
        at,
        **stated,  # type: ignore[arg-type]
    )
    if not request:
        return [answer]
    sent = _history.Sent(at, request, machine, 'route', SAFE, 4)
    return [sent, answer]


def limited(
    count: int, at: float, machine: str = 'm', *, gap_s: float = 0.1
) -> builders.Lines:
    """Return requests of a machine whose answers state a limit."""
    lines: builders.Lines = []
    for index in range(count):
        when = at + index * gap_s
        name = f'{machine}{when}'
        lines += answered(when, name, machine, limit_per_s=LIMIT_PER_S)
    return lines


def requests_at(times: tuple[float, ...], machine: str = 'm') -> builders.Lines:
    """Return requests of a machine whose answers state nothing."""
    return list(
        itertools.chain.from_iterable(
            answered(at, f'at{at}', machine) for at in times
        )
    )


FIRST = limited(1, 10)
OTHER = limited(1, 10, 'n')


class TestLimit:
    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (limited(ALLOWED + 1, 20), 1),
            (limited(ALLOWED, 20), 0),
            (limited(ALLOWED + 1, 20, gap_s=0.4), 0),
            (limited(6, 20) + limited(6, 20, 'n'), 1),
            (limited(ALLOWED + 1, 11), 0),
            (limited(1, 12.9) + limited(ALLOWED, 13.1), 0),
        ],
        ids=[
            'too many',
            'as many as allowed',
            'in a longer window',
            'from two machines',
            'too soon after the first',
            'some too soon',
        ],
    )
    def test_window(self, lines: builders.Lines, broken: int) -> None:
        found = builders.clauses(_limit.judge, FIRST, OTHER, lines)
        assert len(found) == broken

    def test_machine_that_was_not_told_does_not_count(self) -> None:
        untold = limited(ALLOWED + 1, 20, 'p', gap_s=0.04)
        assert not builders.clauses(_limit.judge, FIRST, untold)

    def test_machine_that_started_since_does_not_count(self) -> None:
        started = [_history.Process(15, 'm', _terms.Change.started)]
        lines = limited(ALLOWED + 1, 20)
        assert not builders.clauses(_limit.judge, FIRST, started, lines)

    def test_requests_after_the_end_do_not_count(self) -> None:
        ended = answered(15, 'end')
        lines = [
            line
            for number in range(ALLOWED + 1)
            for line in answered(20 + number / 10, f'after{number}')
        ]
        assert not builders.clauses(_limit.judge, FIRST, ended, lines)

    def test_calls_of_pieces_count(self) -> None:
        calls = [
            line
            for number in range(ALLOWED + 1)
            for line in answered(20 + number / 10, limit_per_s=LIMIT_PER_S)
        ]
        first = answered(10, limit_per_s=LIMIT_PER_S)
        assert len(builders.clauses(_limit.judge, first, calls)) == 1


class TestRests:
    @pytest.mark.parametrize(
        ('times', 'broken'),
        [
            ((10.6, 11, 12.9), 1),
            ((10.5, 11, 12.9), 0),
            ((10.6, 11, 13), 0),
            ((11, 12), 0),
        ],
        ids=['three', 'one under way', 'one after the end', 'two'],
    )
    def test_requests_in_a_rest(
        self, times: tuple[float, ...], broken: int
    ) -> None:
        lines = answered(10, 'first', rest_s=3)
        lines += requests_at(times)
        found = builders.clauses(_stated.judge, lines)
        assert len(found) == broken

    def test_requests_of_another_machine_do_not_count(self) -> None:
        lines = answered(10, 'first', rest_s=3)
        lines += requests_at((11, 11.5, 12), 'n')
        assert not builders.clauses(_stated.judge, lines)

    def test_machine_that_was_frozen_is_excused(self) -> None:
        lines = answered(10, 'first', rest_s=3)
        lines += [
            _history.Process(10.1, 'm', _terms.Change.paused),
            _history.Process(10.2, 'm', _terms.Change.resumed),
        ]
        lines += requests_at((11, 11.5, 12))
        assert not builders.clauses(_stated.judge, lines)


class TestLeaving:
    @pytest.mark.parametrize(
        ('sent_at', 'machine', 'broken'),
        [(12.1, 'm', 1), (12, 'm', 0), (20, 'n', 0)],
        ids=['too late', 'just in time', 'a machine that was not told'],
    )
    def test_request_after_the_statement(
        self, sent_at: float, machine: str, broken: int
    ) -> None:
        lines = answered(10, 'first', leaving=True)
        lines += answered(sent_at, 'late', machine, leaving=True)
        found = builders.clauses(_stated.judge, lines)
        assert len(found) == broken
        assert {requests for _, requests in found} <= {('late',)}

    def test_machine_that_started_since_is_excused(self) -> None:
        lines = answered(10, 'first', leaving=True)
        lines += [_history.Process(11, 'm', _terms.Change.started)]
        lines += answered(15, 'late', leaving=True)
        assert not builders.clauses(_stated.judge, lines)
