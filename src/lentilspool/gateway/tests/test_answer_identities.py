"""Tests of what tells the answers on one connection apart."""

import pytest

from lentilspool import platform
from lentilspool.gateway import _answer_identities

OK = 200
FULL = 503
LAST = 300


def identities(*requests: str) -> _answer_identities.AnswerIdentities:
    """Return the identities of a connection that carried requests."""
    carried = _answer_identities.AnswerIdentities()
    for request_id in requests:
        carried.start_request(request_id)
    return carried


class TestStatedIds:
    @pytest.mark.parametrize(
        ('sent', 'stated', 'belongs'),
        [
            ('ours', b'ours', True),
            ('ours', b'', True),
            ('ours', b'other', False),
            ('', b'', True),
            ('', b'other', False),
        ],
    )
    def test_answer_of_another_request_does_not_belong(
        self, sent: str, stated: bytes, belongs: bool
    ) -> None:
        head = platform.decode_answer_head(OK, [(b'request-id', stated)])
        assert identities(sent).belongs(head) is belongs

    @pytest.mark.parametrize('status', [OK, FULL])
    def test_request_is_not_sent_twice_on_a_connection(
        self, status: int
    ) -> None:
        carried = identities('ours', 'other')
        assert not carried.may_carry('ours')
        assert carried.may_carry('new')


class TestAnswersWithoutAnId:
    @pytest.mark.parametrize(
        ('requests', 'status', 'taken'),
        [
            (('ours',), FULL, True),
            (('ours',), OK, False),
            (('first', 'ours'), FULL, False),
            (('', 'ours'), FULL, False),
            (('first', 'ours'), 400, False),
            (('',), OK, True),
            (('', ''), FULL, True),
        ],
    )
    def test_refusal_is_believed_only_on_a_new_connection(
        self, requests: tuple[str, ...], status: int, taken: bool
    ) -> None:
        carried = identities(*requests)
        head = platform.decode_answer_head(status, [])
        assert (carried.problem(head) == '') is taken
        assert carried.exhausted

    def test_answer_that_states_its_request_is_not_the_last(self) -> None:
        carried = identities('ours')
        head = platform.decode_answer_head(FULL, [(b'request-id', b'ours')])
        assert not carried.problem(head)
        assert not carried.exhausted


class TestRecognizedAnswers:
    def test_new_content_is_not_the_last(self) -> None:
        carried = identities('')
        assert carried.recognize('handle')
        assert not carried.exhausted

    def test_copy_is_not_recognized(self) -> None:
        carried = identities('')
        carried.recognize('handle')
        carried.start_request('')
        assert not carried.recognize('handle')
        assert carried.exhausted

    def test_answer_with_harmless_copies_is_not_the_last(self) -> None:
        carried = identities('')
        assert not carried.allows_copies
        carried.allow_copies()
        assert carried.allows_copies
        assert not carried.exhausted


class TestBound:
    def test_connection_ends_after_many_requests(self) -> None:
        carried = identities()
        for number in range(LAST):
            carried.start_request(f'r{number}')
            answer = [(b'request-id', b'r%d' % number)]
            carried.problem(platform.decode_answer_head(OK, answer))
            if carried.exhausted:
                break
        assert 0 < number < LAST - 1
