"""What breaks MIXED, UNASKED, DENIED or RECOVER, and what does not."""

import msgspec
import pytest

from soak import _history, _terms
from soak.judges import _denied, _mixed, _recover, _unasked
from soak.tests import builders

END = _terms.End
SAFE = _terms.Kind.safe


def answered(
    status: int = 200,
    stamp: str = 'e',
    answer: str = 'body',
    *,
    how: _terms.End = END.whole,
    work: _terms.Work = _terms.Work.whole,
) -> builders.Lines:
    """Return a request that runs at endpoint e, and its answer."""
    return [
        _history.Sent(1, 'req', 'm', 'route', SAFE, 4),
        _history.Ran(1, 'req', 'e/1', 'e', answer='body'),
        _history.Worked(2, 'e/1', work),
        _history.Ended(2, 'req', how, status, stamp, answer),
    ]


class TestMixed:
    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (answered(), []),
            (answered(stamp=''), ['no signature']),
            (answered(answer='other'), ['body']),
            (answered(stamp='f'), ['body']),
            (answered(504, '', 'other'), []),
            (answered(answer='other', how=END.closed), []),
            (answered(504, 'e', 'other'), ['status']),
            (answered(how=END.garbled), ['no answer']),
            (answered(how=END.garbled, work=_terms.Work.broken), []),
        ],
        ids=[
            'right',
            'no signature',
            'another body',
            'of another endpoint',
            'failure',
            'failure in the name of an endpoint',
            'ended early',
            'garbled',
            'garbled by the endpoint',
        ],
    )
    def test_success_is_the_answer_of_its_endpoint(
        self, lines: builders.Lines, broken: list[str]
    ) -> None:
        found = builders.clauses(_mixed.judge, lines)
        assert [clause for clause, _ in found] == broken


SENT = _history.Sent(
    1,
    'req',
    'm',
    'route',
    SAFE,
    4,
    content='asked',
    team='team',
    prompt='parts',
)


class TestUnasked:
    @pytest.mark.parametrize(
        ('change', 'broken'),
        [
            ({}, []),
            ({'request': 'other'}, ['no client']),
            ({'content': 'changed'}, ['changed']),
            ({'team': 'other'}, ['team']),
            ({'prompt': 'other'}, ['prompt']),
            ({'has_key': True}, ['key']),
        ],
    )
    def test_run_is_what_the_client_sent(
        self, change: dict[str, object], broken: list[str]
    ) -> None:
        right = _history.Ran(
            1, 'req', 'e/1', 'e', content='asked', team='team', prompt='parts'
        )
        ran = msgspec.structs.replace(right, **change)
        found = builders.clauses(_unasked.judge, [SENT, ran])
        assert [clause for clause, _ in found] == broken

    def test_run_may_be_seen_before_its_client_has_noted_it(self) -> None:
        ran = _history.Ran(
            0.9, 'req', 'e/1', 'e', content='asked', team='team', prompt='parts'
        )
        assert not builders.clauses(_unasked.judge, [ran, SENT])


def piece(
    stage: int, number: int, inputs: tuple[str, ...] = (), key: str = ''
) -> _history.Piece:
    """Return a piece of a request, named by its stage and number."""
    handle = f'{stage}/{number}'
    return _history.Piece(2, 'req', 'e', stage, number, inputs, handle, key)


STAGED = _history.Sent(
    1, 'req', 'm', 'route', SAFE, 4, pieces=(1, 2), key='key'
)
FIRST = piece(0, 0, key='key')


class TestPieces:
    @pytest.mark.parametrize(
        ('asked', 'broken'),
        [
            (FIRST, 0),
            (piece(0, 0, key='other'), 1),
            (piece(0, 1, key='key'), 1),
            (piece(1, 1), 0),
            (piece(1, 2), 1),
            (piece(2, 0), 1),
        ],
        ids=['right', 'key', 'number', 'last', 'beyond the last', 'stage'],
    )
    def test_only_pieces_of_a_request_are_asked_for(
        self, asked: _history.Piece, broken: int
    ) -> None:
        found = builders.clauses(_unasked.judge, [STAGED, asked])
        assert len(found) == broken

    def test_pieces_of_no_request_are_found(self) -> None:
        found = builders.clauses(_unasked.judge, [FIRST])
        assert found == [('piece', ('req',))]


class TestInputs:
    @pytest.mark.parametrize(
        ('inputs', 'broken'),
        [
            (('0/0',), 0),
            ((), 1),
            (('0/0', '0/0'), 1),
            (('1/0',), 1),
            (('unknown',), 1),
            (('0/0', 'unknown'), 1),
        ],
        ids=['right', 'none', 'twice', 'other stage', 'unknown', 'one more'],
    )
    def test_piece_is_given_all_results_of_the_stage_before(
        self, inputs: tuple[str, ...], broken: int
    ) -> None:
        lines = [STAGED, FIRST, piece(1, 0, ('0/0',)), piece(1, 1, inputs)]
        assert len(builders.clauses(_mixed.judge, lines)) == broken

    @pytest.mark.parametrize(
        ('inputs', 'broken'),
        [(('1/0', '1/1'), 0), (('1/0',), 1), (('0/0',), 1), ((), 1)],
    )
    def test_stream_is_given_all_results_of_the_last_stage(
        self, inputs: tuple[str, ...], broken: int
    ) -> None:
        lines = [
            STAGED,
            FIRST,
            piece(1, 0, ('0/0',)),
            piece(1, 1, ('0/0',)),
            _history.Ran(3, 'req', 'e/1', 'e', inputs=inputs),
        ]
        assert len(builders.clauses(_mixed.judge, lines)) == broken

    def test_inputs_of_another_request_are_found(self) -> None:
        other = msgspec.structs.replace(FIRST, request='other', handle='o')
        lines = [STAGED, FIRST, other, piece(1, 0, ('o',))]
        assert len(builders.clauses(_mixed.judge, lines)) == 1


def denied(
    count: int,
    status: int = 404,
    stamp: str = '',
    route: str = 'route',
    team: str = 'team',
) -> builders.Lines:
    """Return requests that are answered at once."""
    lines: builders.Lines = []
    for index in range(count):
        name = f'{status}{stamp}{index}'
        lines += [
            _history.Sent(10, name, 'm', route, SAFE, 4, team=team),
            _history.Ended(10, name, END.whole, status, stamp),
        ]
    return lines


CONFIGURED = (
    _history.Configured(
        0, 1, services={'route': 'desk', 'old': 'desk'}, teams=('team',)
    ),
    _history.Configured(5, 2, services={'route': 'desk'}, teams=('team',)),
)


class TestDenied:
    @pytest.mark.parametrize(
        ('lines', 'broken'),
        [
            (denied(6), ['denied']),
            (denied(5), []),
            ([*denied(6), *denied(494, 200, 'e')], []),
            ([*denied(6), *denied(493, 200, 'e')], ['denied']),
            (denied(6, 400), ['denied']),
            (denied(6, 429), []),
            (denied(6, 503), []),
            (denied(6, 404, 'e'), []),
            (denied(6, route='old'), []),
            (denied(6, team=''), []),
        ],
        ids=[
            'six',
            'five',
            'six of 500',
            'six of 499',
            'bad request',
            'refused',
            'unavailable',
            'of the endpoint',
            'not in every version',
            'unknown key',
        ],
    )
    def test_more_than_five_and_one_in_500(
        self, lines: builders.Lines, broken: list[str]
    ) -> None:
        found = builders.clauses(_denied.judge, lines, CONFIGURED)
        assert [clause for clause, _ in found] == broken

    @pytest.mark.parametrize(
        ('count', 'status', 'broken'),
        [
            (11, 404, ['denied', 'out of touch']),
            (10, 404, ['denied']),
            (5, 404, []),
            (11, 400, []),
        ],
    )
    def test_machines_out_of_touch(
        self, count: int, status: int, broken: list[str]
    ) -> None:
        lines = denied(count, status)
        hurt = [_history.Disrupted(9, 'm', 'silent')]
        found = builders.clauses(_denied.judge, lines, CONFIGURED, hurt)
        assert [clause for clause, _ in found] == broken


FAULT = (
    _history.Disrupted(10, 'm', 'silent'),
    _history.Disrupted(12, 'm', 'silent', over=True),
)


class TestRecover:
    """The last fault goes on from 10 to 12; bounds allow 12 s after it."""

    def served(self, at: float, of_ten: int) -> builders.Lines:
        lines: builders.Lines = []
        for index in range(10):
            status = 200 if index < of_ten else 503
            name = f'{at}-{index}'
            lines += [
                _history.Sent(at, name, 'm', 'route', SAFE, 4),
                _history.Ended(at + 1, name, END.whole, status),
            ]
        return lines

    @pytest.mark.parametrize(
        ('before', 'after', 'at', 'broken'),
        [
            (3, 2, 24.1, 1),
            (3, 3, 24.1, 0),
            (2, 2, 24.1, 0),
            (3, 2, 23.9, 0),
        ],
        ids=['not served', 'served', 'not served before', 'too early'],
    )
    def test_quarter_is_served_again(
        self, before: int, after: int, at: float, broken: int
    ) -> None:
        lines = [*self.served(1, before), *self.served(at, after)]
        found = builders.clauses(_recover.judge, lines, FAULT)
        assert len(found) == broken
