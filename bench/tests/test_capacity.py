import pathlib

import pytest

from bench import _capacity, slopes

_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'CAPACITY.md'


class TestCapacityPage:
    @pytest.mark.parametrize('index', [0, 1, 2])
    def test_tables_follow_from_the_recorded_slopes(self, index: int) -> None:
        page = _PAGE.read_text(encoding='utf-8')
        assert _capacity.tables()[index] in page

    def test_recorded_lines_are_least_squares_of_their_figures(self) -> None:
        for line in _capacity.load().values():
            fit = slopes.fit(tuple(line['sizes']), line['figures'])
            assert fit['slope'] == pytest.approx(line['slope'], rel=0.01)
            assert fit['error'] == pytest.approx(line['error'], abs=0.002)

    def test_roles_are_within_the_budget(self) -> None:
        model = _capacity.Model(_capacity.load())
        fleet = _capacity.Fleet()
        for need in (model.entry(fleet), model.sidecar(fleet)):
            assert need.bytes_per_s <= 4096
            assert need.cpu_us_per_s <= 23_000
            assert need.memory_bytes <= 64 * 10**6


class TestFit:
    def test_straight_line(self) -> None:
        fit = slopes.fit((1, 2, 3), [3, 5, 7])
        assert fit == {'slope': 2, 'intercept': 1, 'r2': 1, 'error': 0}
