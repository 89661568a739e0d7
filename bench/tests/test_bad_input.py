"""Test of the experiment on malformed input."""

import pytest

from bench import bad_input


class TestBadInput:
    @pytest.mark.parametrize('seed', [1, 2])
    def test_nothing_is_unhandled(self, seed: int) -> None:
        figures = next(bad_input.run(seed=seed, inputs=300))
        assert figures['unhandled_errors'] == 0
        assert figures['good_unanswered'] == 0
