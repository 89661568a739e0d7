"""Tests of the rules for key slots and for unrepeatable stages."""

import copy
from typing import Any

import pytest

from lentilspool import config

FIRST_PERIOD = 'orders@2026-12-01T00:00:00Z/2027-01-01T00:00:00Z'
LATER_PERIOD = 'orders@2027-01-01T00:00:00Z/2027-02-01T00:00:00Z'
OVERLAPPING_PERIOD = 'orders@2026-12-15T00:00:00Z/2027-02-01T00:00:00Z'
DOCUMENT: dict[str, Any] = {
    'pipelines': {
        'order': {
            'stages': [{'name': 'a', 'pool': 'orders', 'repeatable': False}]
        }
    },
    'pools': {'orders': {'kind': 'service'}},
    'teams': {'t': {}},
    'key_slots': {FIRST_PERIOD: ['10.0.0.1:7']},
}


def patch_verdict(merge: dict[str, Any]) -> config.Verdict:
    base = config.encode_base(config.Base(1, copy.deepcopy(DOCUMENT)))
    patch = config.encode_patch(config.Patch(2, 1, 'o', merge))
    replica = config.LogReplica()
    replica.offer_service_entries((base, patch))
    history = replica.history
    assert history is not None
    return history.verdicts[-1]


class TestSlotChange:
    @pytest.mark.parametrize(
        'merge',
        [
            {'key_slots': {LATER_PERIOD: ['10.0.0.2:7']}},
            {'teams': {'u': {}}},
        ],
    )
    def test_new_slots_and_other_sections_are_accepted(
        self, merge: dict[str, Any]
    ) -> None:
        assert isinstance(patch_verdict(merge), config.EntryAccepted)

    @pytest.mark.parametrize(
        'merge',
        [
            {'key_slots': {FIRST_PERIOD: ['10.0.0.2:7']}},
            {'key_slots': {FIRST_PERIOD: None}},
            {'key_slots': {OVERLAPPING_PERIOD: ['10.0.0.2:7']}},
            {'key_slots': {'orders@x/y': ['10.0.0.2:7']}},
        ],
    )
    def test_moving_a_key_to_another_sidecar_is_refused(
        self, merge: dict[str, Any]
    ) -> None:
        refused = patch_verdict(merge)
        assert isinstance(refused, config.EntryRefused)
        assert refused.path.startswith('$.key_slots')


class TestUnrepeatableStages:
    def test_a_second_one_in_a_pipeline_is_refused(self) -> None:
        stages = [
            {'name': name, 'pool': 'orders', 'repeatable': False}
            for name in ('a', 'b')
        ]
        refused = patch_verdict({'pipelines': {'order': {'stages': stages}}})
        assert isinstance(refused, config.EntryRefused)
        assert 'one stage' in refused.detail
