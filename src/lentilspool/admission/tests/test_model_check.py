"""Exhaustive check of small models with the production decision code."""

import os

import pytest

from lentilspool.admission.tests import (
    _explorer,
    _model,
    _model_actions,
    _mutants,
    test_sidecar_model,
)

EXTRA_DEPTH = 2 if 'LENTILSPOOL_DEEP_SEED' in os.environ else 0
PRODUCTION_DECISIONS = test_sidecar_model.Decisions()
TOKEN_SENDS = (2, 0)
KEY_SENDS = (0, 2)
TOKEN_AND_KEY_SENDS = (2, 2)


def explore(
    decisions: test_sidecar_model.Decisions,
    faults: int,
    sends: tuple[int, int],
    depth: int,
) -> _explorer.Report:
    state = _model.ModelState(decisions, faults, sends)
    report = _explorer.Explorer(_model_actions.possible).explore(state, depth)
    report.show(f'model check, sends {sends}, faults {faults}')
    return report


class TestModelCheck:
    @pytest.mark.parametrize(
        ('sends', 'faults', 'depth'),
        [
            (TOKEN_SENDS, 2, 12),
            (KEY_SENDS, 2, 10),
            (TOKEN_AND_KEY_SENDS, 1, 7),
            (TOKEN_AND_KEY_SENDS, 2, 6),
        ],
    )
    def test_deep_no_order_violates_an_invariant(
        self, sends: tuple[int, int], faults: int, depth: int
    ) -> None:
        report = explore(
            PRODUCTION_DECISIONS, faults, sends, depth + EXTRA_DEPTH
        )
        assert not report.violation, report

    @pytest.mark.parametrize(
        ('decisions', 'sends', 'depth', 'violation'),
        [
            (
                test_sidecar_model.Decisions(_mutants.ForeignTokenLedger),
                TOKEN_SENDS,
                9,
                'ran twice',
            ),
            (
                test_sidecar_model.Decisions(_mutants.EvictingLedger),
                TOKEN_AND_KEY_SENDS,
                7,
                'forgotten before its end',
            ),
            (
                test_sidecar_model.Decisions(_mutants.RefusalDroppingLedger),
                TOKEN_SENDS,
                7,
                'forgotten before its end',
            ),
            (
                test_sidecar_model.Decisions(
                    new_key_check=_mutants.AllKeysNewCheck
                ),
                KEY_SENDS,
                11,
                'ran twice',
            ),
        ],
        ids=['incarnation', 'early-forget', 'unrecorded', 'open-gate'],
    )
    def test_detects_a_missing_guard(
        self,
        decisions: test_sidecar_model.Decisions,
        sends: tuple[int, int],
        depth: int,
        violation: str,
    ) -> None:
        report = explore(decisions, 1, sends, depth)
        assert violation in report.violation
