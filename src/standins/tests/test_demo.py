"""Test that the demonstration loses nothing."""

import pytest
import trio

from standins import demo


class TestDemo:
    def test_a_killed_endpoint_loses_no_answer(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert trio.run(demo.run) == 0
        printed = capsys.readouterr().out
        assert 'is killed' in printed
        assert 'wrong or missing answers: 0; ran twice: 0' in printed
