"""Tests of what processes know of the limits that endpoints state."""

import dataclasses

import pytest

from lentilspool import serving

NAME = 'e/1'


def tell(
    teller: serving.EndpointStatements,
    hearer: serving.EndpointStatements,
    now: float,
) -> list[serving.LimitReport]:
    """Tell another process all that one knows."""
    return hearer.merge(teller.reports(now, everything=True), now)


class TestAnswers:
    @pytest.mark.parametrize(
        ('limits', 'asked_at', 'known'),
        [
            # Limits in the answers received at 1, 2.. and when they were asked.
            ((2, 1), (0, 0), 1),
            ((1, 2), (0, 1.5), 2),
            ((1, 2), (0, 0.5), 1),
            ((1, None), (0, 1.5), None),
            ((1, None), (0, 0.5), 1),
            ((1, 1, None), (0, 0.5, 1.5), 1),
            ((1, None, 1), (0, 1.5, 0.5), 1),
            ((None, None), (0, 1), None),
            ((0,), (0,), 0),
        ],
        ids=[
            'lower',
            'higher',
            'higher, asked before',
            'ended',
            'without, asked before',
            'without, asked before the last statement',
            'stated again by a late answer',
            'never stated',
            'nothing wanted',
        ],
    )
    def test_latest_statement_holds(
        self,
        limits: tuple[float | None, ...],
        asked_at: tuple[float, ...],
        known: float | None,
    ) -> None:
        statements = serving.EndpointStatements('g')
        for number, limit in enumerate(limits):
            statements.record_limit(NAME, limit, asked_at[number], number + 1)
        assert statements.limit(NAME) == known

    def test_another_start_of_the_endpoint_has_no_limit(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_limit(NAME, 1, 0, 0)
        assert statements.limit('e/2') is None
        assert statements.next_at('e/2', 5) <= 5


class TestOtherProcesses:
    def test_limit_and_its_end_are_told(self) -> None:
        own, other = (serving.EndpointStatements(name) for name in 'ab')
        own.record_limit(NAME, 1, 0, 1)
        assert tell(own, other, 1.1)
        assert other.limit(NAME) == 1
        own.record_limit(NAME, None, 2, 2.5)
        tell(own, other, 2.6)
        assert other.limit(NAME) is None

    def test_end_learnt_elsewhere_is_not_undone_by_an_older_limit(self) -> None:
        own, other = (serving.EndpointStatements(name) for name in 'ab')
        own.record_limit(NAME, 1, 0, 1)
        tell(own, other, 1.1)
        other.record_limit(NAME, None, 2, 2.1)
        tell(own, other, 2.2)
        assert other.limit(NAME) is None
        tell(other, own, 2.3)
        assert own.limit(NAME) is None

    def test_report_that_comes_back_is_not_newer(self) -> None:
        own, other = (serving.EndpointStatements(name) for name in 'ab')
        own.record_limit(NAME, 1, 0, 1)
        tell(own, other, 1.1)
        assert not tell(other, own, 1.5)

    def test_granted_requests_count_at_the_next_process(self) -> None:
        own, other = (serving.EndpointStatements(name) for name in 'ab')
        own.record_limit(NAME, 1, 0, 0)
        tell(own, other, 0)
        own.record_sent(NAME, 0)
        other.merge_totals('a', own.totals(), 1 / 5)
        now = 1 / 5
        assert other.next_at(NAME, now) > now

    def test_latest_reports_only_are_told_at_once(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_limit(NAME, 1, 0, 0)
        assert statements.reports(1, everything=False)
        assert not statements.reports(60, everything=False)
        assert statements.reports(60, everything=True)

    def test_reports_of_one_message_are_bounded(self) -> None:
        statements = serving.EndpointStatements('g')
        for number in range(300):
            statements.record_limit(f'e{number}/1', 1, 0, 0)
        assert len(statements.reports(0, everything=True)) == 100

    def test_age_of_a_clock_that_went_back_is_none(self) -> None:
        statements = serving.EndpointStatements('g')
        report = serving.LimitReport(NAME, 1, 'o', 1, 0)
        statements.merge([dataclasses.replace(report, age_s=-5)], 1)
        statements.record_limit(NAME, None, 1.5, 2)
        assert statements.limit(NAME) is None


class TestForgetting:
    def test_listed_endpoint_keeps_its_limit(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_limit(NAME, 1, 0, 0)
        statements.forget_unlisted({NAME}, 1000)
        assert statements.limit(NAME) == 1

    def test_endpoint_that_is_gone_is_forgotten_after_a_time(self) -> None:
        statements = serving.EndpointStatements('g')
        statements.record_limit(NAME, 1, 0, 0)
        statements.forget_unlisted(set(), 30)
        assert statements.limit(NAME) == 1
        statements.forget_unlisted(set(), 61)
        assert statements.limit(NAME) is None
        assert not statements.reports(61, everything=True)
