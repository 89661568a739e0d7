"""Tests of decoding what endpoints state of themselves."""

import pytest

from lentilspool import platform, serving

LIMIT = b'Server-Limit'
LONG = '9' * 400


def statement(*headers: tuple[bytes, bytes]) -> serving.Statement:
    return platform.decode_answer_head(200, headers).statement


class TestLimits:
    @pytest.mark.parametrize(
        ('text', 'limit'),
        [('1.2', 1.2), ('0', 0), (' 3 ', 3), ('.5', 0.5), ('2.', 2)],
    )
    def test_decimal_number_is_the_limit(self, text: str, limit: float) -> None:
        expected = serving.Statement(limit)
        assert statement((LIMIT, text.encode())) == expected

    @pytest.mark.parametrize(
        'text', ['', 'many', '-1', '+1', 'nan', 'inf', '1e999', '1,2', LONG]
    )
    def test_unreadable_limit_states_nothing(self, text: str) -> None:
        found = statement((LIMIT, text.encode()))
        assert found == serving.Statement(unreadable=(text[:80],))

    def test_two_different_limits_state_nothing(self) -> None:
        found = statement((LIMIT, b'1'), (LIMIT, b'2'))
        assert found == serving.Statement(unreadable=('1', '2'))

    def test_same_limit_twice_is_one_limit(self) -> None:
        assert statement((LIMIT, b'1'), (LIMIT, b'1')).limit_per_s == 1

    def test_answer_without_a_limit_states_nothing(self) -> None:
        assert statement() == serving.Statement()
