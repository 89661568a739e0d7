"""Tests of the generated pages, and of what an import loads."""

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
    def test_page_matches_code(self, module: str, page: str) -> None:
        completed = subprocess.run(
            [sys.executable, '-m', module],
            capture_output=True,
            check=True,
            text=True,
            cwd=ROOT,
        )
        committed = (ROOT / page).read_text(encoding='utf-8')
        assert committed == completed.stdout, (
            f'{page} is out of date; run make docs'
        )


class TestEmbedding:
    def test_importing_decision_packages_loads_no_server(self) -> None:
        program = (
            'import sys\n'
            'from lentilspool import admission, config, limits, membership\n'
            'from lentilspool import orders, pipeline, retries, routing\n'
            'held = {"trio", "hypercorn", "httpcore", "thrift"}\n'
            'print(sorted(held.intersection(sys.modules)))\n'
        )
        completed = subprocess.run(
            [sys.executable, '-c', program],
            capture_output=True,
            check=True,
            text=True,
        )
        assert completed.stdout.strip() == '[]'
