"""Tests of spend on running daemons."""

import copy
from typing import Any

from standins import _fleet
from standins.tests import test_path


def _document(credits: float) -> dict[str, Any]:
    document = copy.deepcopy(test_path.DOCUMENT)
    document['pools']['model']['provider'] = 'cloud-a'
    document['pipelines']['day-plan']['stages'][3]['expected_cost'] = 0.02
    document['providers'] = {
        'cloud-a': {
            'credits': credits,
            'starts_at': '2020-01-01T00:00:00+00:00',
            'expires_at': '2100-01-01T00:00:00+00:00',
        }
    }
    return document


class TestSpend:
    def test_exhausted_credits_refuse_with_nothing_run(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            reply = await fleet.request('day-plan', 'brides', {'text': 'a'})
            assert reply.status == 429
            assert reply.plain['reason'] == 'spend'
            other = await fleet.request('deposit', 'brides', {'subject': 'a'})
            assert other.status == 200
            app = fleet.places['encoders-0'].app
            assert app.calls + fleet.places['encoders-1'].app.calls == 0

        test_path.run(scenario, _fleet.Plan(_document(0), _ENDPOINTS))

    def test_credits_pay_and_show_in_the_dump(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            reply = await fleet.request('day-plan', 'brides', {'text': 'a'})
            assert reply.status == 200
            dump = (await fleet.get('entry-0', '/dump')).plain
            assert dump['spend']['spent_here']['cloud-a'] > 0

        test_path.run(scenario, _fleet.Plan(_document(1e6), _ENDPOINTS))


_ENDPOINTS = dict.fromkeys(test_path.DOCUMENT['pools'], 2)
