"""Tests of what counts as an answer."""

import pytest

from lentilspool import serving


def head(status: int, *defects: str) -> serving.AnswerHead:
    """Return the head of an answer with some defects."""
    return serving.AnswerHead(
        status,
        headers=(),
        request_id='r',
        not_run='not run' in defects,
        load=None,
        keep_alive_s=None,
        length=None,
        signed='unsigned' not in defects,
        encoded='encoded' in defects,
    )


class TestAnswerDefect:
    @pytest.mark.parametrize('status', [200, 204, 206, 299])
    @pytest.mark.parametrize(
        ('defect', 'expects_signature', 'counts'),
        [
            ('', True, True),
            ('unsigned', True, False),
            ('unsigned', False, True),
            ('encoded', True, False),
            ('encoded', False, False),
            ('not run', True, False),
            ('not run', False, False),
        ],
    )
    def test_success_needs_a_signature_and_a_plain_body(
        self, status: int, defect: str, expects_signature: bool, counts: bool
    ) -> None:
        found = serving.answer_defect(
            head(status, defect), expects_signature=expects_signature
        )
        assert (found == '') is counts

    @pytest.mark.parametrize('status', [199, 300, 304, 404, 500, 503])
    @pytest.mark.parametrize('defect', ['unsigned', 'encoded', 'not run'])
    def test_failure_counts_as_it_is(self, status: int, defect: str) -> None:
        found = serving.answer_defect(
            head(status, defect), expects_signature=True
        )
        assert not found
