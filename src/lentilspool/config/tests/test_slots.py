"""Tests of the rules for homes of keys and for unrepeatable stages."""

import copy
from typing import Any

import pytest

from lentilspool import config

FIRST = 'orders@2026-12-01T00:00:00Z/2027-01-01T00:00:00Z'
LATER = 'orders@2027-01-01T00:00:00Z/2027-02-01T00:00:00Z'
OVERLAP = 'orders@2026-12-15T00:00:00Z/2027-02-01T00:00:00Z'
DOCUMENT: dict[str, Any] = {
    'pipelines': {
        'order': {
            'stages': [{'name': 'a', 'pool': 'orders', 'repeatable': False}]
        }
    },
    'pools': {'orders': {'kind': 'service'}},
    'teams': {'t': {}},
    'key_slots': {FIRST: ['10.0.0.1:7']},
}


def verdict(merge: dict[str, Any]) -> config.Verdict:
    base = config.encode_base(config.Base(1, copy.deepcopy(DOCUMENT)))
    patch = config.encode_patch(config.Patch(2, 1, 'o', merge))
    holder = config.Holder()
    holder.offer_service((base, patch))
    history = holder.history
    assert history is not None
    return history.verdicts[-1]


class TestSlotChange:
    @pytest.mark.parametrize(
        'merge',
        [
            {'key_slots': {LATER: ['10.0.0.2:7']}},
            {'teams': {'u': {}}},
        ],
    )
    def test_accepted(self, merge: dict[str, Any]) -> None:
        assert isinstance(verdict(merge), config.EntryAccepted)

    @pytest.mark.parametrize(
        'merge',
        [
            {'key_slots': {FIRST: ['10.0.0.2:7']}},
            {'key_slots': {FIRST: None}},
            {'key_slots': {OVERLAP: ['10.0.0.2:7']}},
            {'key_slots': {'orders@x/y': ['10.0.0.2:7']}},
        ],
    )
    def test_a_key_keeps_its_home(self, merge: dict[str, Any]) -> None:
        refused = verdict(merge)
        assert isinstance(refused, config.EntryRefused)
        assert refused.path.startswith('$.key_slots')


class TestUnrepeatableStages:
    def test_a_pipeline_has_one_at_most(self) -> None:
        stages = [
            {'name': name, 'pool': 'orders', 'repeatable': False}
            for name in ('a', 'b')
        ]
        refused = verdict({'pipelines': {'order': {'stages': stages}}})
        assert isinstance(refused, config.EntryRefused)
        assert 'one stage' in refused.detail
