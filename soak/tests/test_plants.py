"""The table of plants: each rule has a guard that can be switched off."""

from collections.abc import Callable

import pytest

from soak import __main__, _faults, _findings, _plants, _run, planted
from soak.judges import _finding

RULES = {
    *('BUDGET', 'CONFIG', 'DENIED', 'DRAIN', 'GONE', 'LOST', 'MIXED'),
    *('ORDER', 'RECOVER', 'REFUSED', 'ROUTE', 'TWICE', 'UNASKED', 'LIMIT'),
}
Played = tuple[_findings.Findings, str]


class TestTable:
    def test_each_rule_has_a_plant(self) -> None:
        assert {plant.rule for plant in _plants.PLANTS} == RULES

    @pytest.mark.parametrize('plant', _plants.PLANTS, ids=lambda one: one.name)
    def test_plant_exists(self, plant: _plants.Plant) -> None:
        assert plant.name in planted.PLANTS

    @pytest.mark.parametrize('plant', _plants.PLANTS, ids=lambda one: one.name)
    def test_disruptions_exist(self, plant: _plants.Plant) -> None:
        assert set(plant.only) <= set(_faults.NAMES)


def plays(seed: int, rule: str) -> Callable[[_run.Plan], object]:
    """Return a run in which one seed breaks a rule."""

    async def run(plan: _run.Plan) -> Played:
        findings = _findings.Findings()
        if plan.seed == seed:
            findings.judged.append(_finding.Finding(rule, 'clause', 0, ()))
        return findings, ''

    return run


class TestSearch:
    @pytest.mark.parametrize(
        ('seed', 'rule', 'row', 'status'),
        [
            (2, 'LOST', '2 | clause |', 0),
            (3, 'LOST', 'not found in 2 seeds | |', 1),
            (1, 'ORDER', 'not found in 2 seeds | |', 1),
        ],
        ids=['second seed', 'later seed', 'another rule'],
    )
    def test_first_seed_that_breaks_the_rule_is_named(
        self,
        seed: int,
        rule: str,
        row: str,
        status: int,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        monkeypatch.setattr(_run, 'run', plays(seed, rule))
        assert _plants.command(seeds=2, rules='LOST').run() == status
        assert capsys.readouterr().out.splitlines()[-1].endswith(f' | {row}')


class TestNames:
    def test_unknown_disruption_is_refused(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert __main__.command(only=('stop', 'storm')).run() == 2
        assert capsys.readouterr().err == "unknown disruptions: ['storm']\n"
