"""Histories are read back whole; anything else is refused with its line."""

import pathlib

import pytest

from soak import _history, _history_file, _history_head, _terms

HEADER = _history_head.Header(
    _history_head.FORMAT, _history_head.VERSION, seed=3
)
EXPECTED = f'{_history_head.FORMAT} {_history_head.VERSION}'
SENT = _history.Sent(1.5, 'r', 'g0', 'once', _terms.Kind.unsafe, 4)
OBSERVATIONS: list[_history.Observation] = [
    SENT,
    _history.Ran(1.6, 'r', 'desk-1/1', 'desk-1'),
    _history.Worked(1.7, 'desk-1/1', _terms.Work.whole),
    _history.Ended(1.8, 'r', _terms.End.whole, 200, 'desk-1'),
]


class TestHistoryFile:
    def test_history_is_read_back(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / 'history.jsonl'
        _history_file.write(path, HEADER, OBSERVATIONS)
        history = _history_file.read(path)
        assert history == _history.History(HEADER.bounds, tuple(OBSERVATIONS))

    @pytest.mark.parametrize(
        ('wanted', 'put', 'line'),
        [
            (b'"version":1', b'"version":2', 1),
            (b'lentilspool-soak-history', b'other', 1),
            (b'{"type":"sent"', b'sent', 2),
            (b'"type":"ran"', b'"type":"walked"', 3),
            (b'"machine":"g0"', b'"machine":7', 2),
            (b'"machine":"g0"', b'"machine":"g0","more":1', 2),
            (b'"at":1.7', b'"at":1.5', 4),
            (b'"observations":4', b'"observations":5', 6),
            (b'"observations":4}\n', b'"observations":4}', 6),
            (b'"type":"closed","at":1.8', b'"type":"closed","at":1.7', 6),
        ],
        ids=[
            'version',
            'format',
            'not JSON',
            'unknown line',
            'wrong type',
            'unknown field',
            'order',
            'lines missing',
            'cut off',
            'order of the end',
        ],
    )
    def test_faulty_line_is_named(
        self, wanted: bytes, put: bytes, line: int, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / 'history.jsonl'
        _history_file.write(path, HEADER, OBSERVATIONS)
        whole = path.read_bytes()
        assert wanted in whole
        path.write_bytes(whole.replace(wanted, put, 1))
        error = _history_file.read(path)
        assert isinstance(error, _history_file.HistoryError)
        assert error.line == line

    @pytest.mark.parametrize(('kept', 'line'), [(0, 1), (1, 2), (4, 5)])
    def test_cut_between_lines_is_named(
        self, kept: int, line: int, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / 'history.jsonl'
        _history_file.write(path, HEADER, OBSERVATIONS)
        lines = path.read_bytes().splitlines(keepends=True)
        path.write_bytes(b''.join(lines[:kept]))
        error = _history_file.read(path)
        assert isinstance(error, _history_file.HistoryError)
        assert error.line == line

    @pytest.mark.parametrize(
        ('head', 'reason'),
        [
            (
                b'{"format":"lentilspool-soak-history","version":2,"more":[]}',
                f'expected {EXPECTED}, found {_history_head.FORMAT} 2',
            ),
            (
                b'{"format":"other","version":1,"rows":{}}',
                f'expected {EXPECTED}, found other 1',
            ),
            (b'{"version":1}', 'not the head of a history'),
            (b'{"more":'.ljust(100_000, b'['), 'not the head of a history'),
        ],
        ids=['later version', 'other format', 'no format', 'nested deeply'],
    )
    def test_head_with_other_fields_is_named(
        self, head: bytes, reason: str, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / 'history.jsonl'
        path.write_bytes(b'\n'.join((head, b'')))
        error = _history_file.read(path)
        assert isinstance(error, _history_file.HistoryError)
        assert error.line == 1
        assert error.reason.startswith(reason)
