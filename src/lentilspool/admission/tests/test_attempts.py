"""Tests of decisions on answers and of stream assembly."""

import dataclasses
import itertools
from collections.abc import Callable

import pytest

from lentilspool import admission

StreamCall = Callable[[admission.StreamAssembler], object]
FIRST = admission.Attempt('r1', 'rerank', 1, 'd1')
SECOND = admission.Attempt('r1', 'rerank', 2, 'd1')


class TestAttemptTable:
    def test_first_valid_answer_wins(self) -> None:
        table = admission.AttemptTable()
        table.open(FIRST)
        table.open(SECOND)
        assert table.match(SECOND, 2) == admission.Accept((FIRST,))
        assert table.match(SECOND, 2) == admission.Duplicate()
        assert table.match(FIRST, 3) == admission.LateLoser()
        assert table.spend('r1') == {'rerank': 5}
        assert table.dropped == {'Duplicate': 1, 'LateLoser': 1}

    @pytest.mark.parametrize(
        'change',
        [
            {'request_id': 'r2'},
            {'stage': 'generate'},
            {'number': 3},
            {'content_digest': 'd2'},
        ],
    )
    def test_answer_of_unregistered_attempt_is_dropped(
        self, change: dict[str, object]
    ) -> None:
        table = admission.AttemptTable()
        table.open(FIRST)
        other = dataclasses.replace(FIRST, **change)  # type: ignore[arg-type]
        assert table.match(other, 1) == admission.Foreign()
        assert table.foreign_spend == 1
        assert table.match(FIRST) == admission.Accept(())

    def test_failed_attempt_cannot_win_but_its_cost_counts(self) -> None:
        table = admission.AttemptTable()
        table.open(FIRST)
        table.open(SECOND)
        assert table.fail(FIRST, 1)
        assert not table.fail(FIRST, 1)
        assert table.match(FIRST, 1) == admission.Duplicate()
        assert table.match(SECOND, 1) == admission.Accept(())
        assert table.spend('r1') == {'rerank': 2}

    def test_close_removes_request_and_returns_open_attempts(self) -> None:
        table = admission.AttemptTable()
        table.open(FIRST)
        assert table.close('r1') == (FIRST,)
        assert table.size == 0
        assert table.match(FIRST) == admission.Foreign()


class TestStreamAssembler:
    @pytest.mark.parametrize('order', list(itertools.permutations(range(5))))
    def test_every_order_gives_the_same_text(
        self, order: tuple[int, ...]
    ) -> None:
        stream = admission.StreamAssembler()
        released = ''
        for step in order:
            released_part = (
                stream.end(4) if step == 4 else stream.add(step, 'abcd'[step])
            )
            assert isinstance(released_part, admission.ReleasedText)
            released += released_part.text
        assert released == 'abcd' == stream.text

    @pytest.mark.parametrize('missing', range(4))
    def test_truncated_stream_is_never_whole(self, missing: int) -> None:
        stream = admission.StreamAssembler()
        for step in range(3):
            if step != missing:
                stream.add(step, 'x')
        if missing != 3:
            stream.end(3)
        assert not stream.is_complete
        assert stream.text is None

    def test_invalid_chunk_or_end_breaks_the_stream(self) -> None:
        cases: list[tuple[StreamCall, str]] = [
            (lambda assembler: assembler.add(0, 'b'), 'conflict'),
            (
                lambda assembler: assembler.end(2) and assembler.end(3),
                'conflict',
            ),
            (lambda assembler: assembler.end(0), 'beyond_end'),
            (
                lambda assembler: assembler.end(1) and assembler.add(1, 'b'),
                'beyond_end',
            ),
            (lambda assembler: assembler.add(9, 'x' * 9), 'too_far_ahead'),
        ]
        for call, problem in cases:
            stream = admission.StreamAssembler(max_waiting_chars=4)
            stream.add(0, 'a')
            assert call(stream) == admission.BrokenStream(
                admission.StreamProblem(problem)
            )
            assert stream.text is None
