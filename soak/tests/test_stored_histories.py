"""Histories of runs that broke a rule, cut down to what breaks it."""

import pathlib
from typing import Final

import pytest

from soak import _history, _history_file
from soak.judges import _all

_FOLDER: Final = pathlib.Path(__file__).parent / 'histories'


class TestStoredHistories:
    @pytest.mark.parametrize(
        ('name', 'rule', 'clause', 'findings'),
        [
            # Two streams went on at a runner of another version in one
            # answer, one after its client had taken it up again.
            (
                'seed-2-versions.jsonl',
                'ORDER',
                'versions',
                (('1-29', '15-26', '2-24'),),
            ),
            # Streams taken 3.9 s and later after SIGTERM were cut off by it.
            (
                'seed-1-late-stop.jsonl',
                'LOST',
                'SIGTERM',
                (('9-27',), ('4-25',), ('12-18',)),
            ),
            # Taken by processes that had ended no stream of their route.
            (
                'seed-16-late-stop.jsonl',
                'LOST',
                'SIGTERM',
                (('4-41',), ('15-53',), ('14-49',)),
            ),
            ('seed-17-late-stop.jsonl', 'LOST', 'SIGTERM', (('5-50',),)),
            # New requests with one part of the prompt ended engine after
            # engine.
            (
                'seed-3-fatal-part.jsonl',
                'BUDGET',
                'fatal part',
                (tuple(f'fa01-{number}' for number in range(10, 22)),),
            ),
        ],
    )
    def test_rule_is_found_broken(
        self,
        name: str,
        rule: str,
        clause: str,
        findings: tuple[tuple[str, ...], ...],
    ) -> None:
        history = _history_file.read(_FOLDER / name)
        assert isinstance(history, _history.History)
        found = [
            (one.rule, one.clause, one.requests)
            for one in _all.judge(history)
            if one.rule == rule
        ]
        assert found == [(rule, clause, requests) for requests in findings]
