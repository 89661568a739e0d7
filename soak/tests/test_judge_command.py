"""The command that judges a history."""

import json
import pathlib

import pytest

from soak import __main__ as soak_program
from soak import _history, _history_file, _history_head, _terms
from soak.tests import builders

HEADER = _history_head.Header(_history_head.FORMAT, _history_head.VERSION)


class TestJudgeCommand:
    def test_findings_are_printed(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'history.jsonl'
        lines = builders.Cut(held_s=1).lines
        lines += builders.signal(10, _terms.Change.terminated)
        lines += [
            _history.Configured(0, 1, teams=('team',)),
            _history.Configured(0, 1, taken=True),
        ]
        lines.sort(key=lambda one: one.at)
        _history_file.write(path, HEADER, lines)
        assert soak_program.main(['judge', str(path)]) == 1
        assert json.loads(capsys.readouterr().out) == {
            'rule': 'LOST',
            'clause': 'SIGTERM',
            'at': 11,
            'requests': ['req'],
        }

    def test_clean_history_ends_with_0(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / 'history.jsonl'
        _history_file.write(path, HEADER, builders.Cut().lines[:1])
        assert soak_program.main(['judge', str(path)]) == 0

    def test_faulty_history_ends_with_2(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'history.jsonl'
        path.write_bytes(b'{"format":"lentilspool-soak-history","vers')
        assert soak_program.main(['judge', str(path)]) == 2
        assert 'line 1' in capsys.readouterr().err

    def test_missing_history_ends_with_2(self, tmp_path: pathlib.Path) -> None:
        path = str(tmp_path / 'none.jsonl')
        assert soak_program.main(['judge', path]) == 2

    @pytest.mark.parametrize('name', ['123', '1e3', 'None', '[a]'])
    def test_file_name_is_taken_as_it_stands(
        self,
        name: str,
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.chdir(tmp_path)
        _history_file.write(pathlib.Path(name), HEADER, [])
        assert soak_program.main(['judge', name]) == 0
