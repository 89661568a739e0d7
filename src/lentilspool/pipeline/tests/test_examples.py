"""Tests of the examples in the documentation."""

import pathlib
import random
import runpy

import pytest

from lentilspool import config, kernel, pipeline, routing

EXAMPLES = pathlib.Path(__file__).parents[4] / 'examples'


class TestEmbedding:
    def test_runs(self, capsys: pytest.CaptureFixture[str]) -> None:
        runpy.run_path(str(EXAMPLES / 'embedding.py'), run_name='__main__')
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith('routed: Choice')
        assert lines[1:] == ['Admitted, AlreadyRunning', 'Finished']


class TestPlugin:
    def test_installed_plugin_is_found_by_its_entry_point(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        dist_info = tmp_path / 'nearest_policy-1.0.dist-info'
        dist_info.mkdir()
        (dist_info / 'METADATA').write_text(
            'Metadata-Version: 2.1\nName: nearest-policy\nVersion: 1.0\n'
        )
        (dist_info / 'entry_points.txt').write_text(
            '[lentilspool.plugins]\nnearest = nearest_policy\n'
        )
        monkeypatch.syspath_prepend(str(tmp_path))
        monkeypatch.syspath_prepend(str(EXAMPLES / 'plugin'))
        kernel.registry.load_entry_points()
        pool = config.PoolDocument(kind='stage', routing='nearest')
        router = pipeline.PoolRouter('p', pool, 0.1, random.Random(1))
        router.set_endpoints([('far', 'zone-b'), ('near', 'zone-a')])
        request = routing.RoutingRequest(zone='zone-a')
        offer = router.offer(request, (), 0)
        assert offer == routing.Offer('near', may_queue=False)
