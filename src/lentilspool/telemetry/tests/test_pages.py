"""Tests that the generated pages match the code."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[4]
PAGES = [
    ('lentilspool.telemetry', 'docs/events.md'),
    ('lentilspool.settings', 'docs/settings.md'),
]


class TestPages:
    @pytest.mark.parametrize(('module', 'page'), PAGES)
    def test_page_is_current(self, module: str, page: str) -> None:
        made = subprocess.run(
            [sys.executable, '-m', module],
            capture_output=True,
            check=True,
            text=True,
            cwd=ROOT,
        )
        held = (ROOT / page).read_text(encoding='utf-8')
        assert held == made.stdout, f'{page} is old: run make docs'


class TestEmbedding:
    def test_embedding_loads_no_server(self) -> None:
        program = (
            'import sys\n'
            'from lentilspool import admission, config, limits, membership\n'
            'from lentilspool import orders, pipeline, retries, routing\n'
            'held = {"trio", "hypercorn", "httpcore", "thrift"}\n'
            'print(sorted(held.intersection(sys.modules)))\n'
        )
        made = subprocess.run(
            [sys.executable, '-c', program],
            capture_output=True,
            check=True,
            text=True,
        )
        assert made.stdout.strip() == '[]'
