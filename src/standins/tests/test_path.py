"""Tests of the whole path over loopback sockets."""

from typing import Any

import trio

from standins import _fleet

DOCUMENT: dict[str, Any] = {
    'pipelines': {
        'day-plan': {
            'stages': [
                {'name': 'encode', 'pool': 'encoders'},
                {'name': 'retrieve', 'pool': 'retrievers'},
                {'name': 'rerank', 'pool': 'rerankers'},
                {'name': 'generate', 'pool': 'model', 'max_output_tokens': 20},
            ],
        },
        'draft': {
            'stages': [
                {'name': 'encode', 'pool': 'encoders'},
                {'name': 'generate', 'pool': 'model', 'max_output_tokens': 20},
            ],
            'may_wait': True,
        },
        'deposit': {
            'stages': [
                {'name': 'deposit', 'pool': 'bookings', 'repeatable': False}
            ],
        },
    },
    'pools': {
        'encoders': {'kind': 'stage'},
        'retrievers': {'kind': 'stage'},
        'rerankers': {'kind': 'stage'},
        'model': {'kind': 'engine'},
        'bookings': {'kind': 'service'},
    },
    'teams': {'brides': {}},
}
PLAN = _fleet.Plan(
    document=DOCUMENT,
    endpoints=dict.fromkeys(DOCUMENT['pools'], 2),
    texts={'trial.txt': 'bridal trial in Ljubljana', 'court.txt': 'hearing'},
)


class TestPath:
    def test_four_stages_answer_with_cost(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            reply = await fleet.request(
                'day-plan', 'brides', {'text': 'bridal trial'}
            )
            assert reply.status == 200
            assert 'bridal trial' in reply.plain['answer']['text']
            stages = [cost['stage'] for cost in reply.plain['cost_by_stage']]
            assert stages == ['encode', 'retrieve', 'rerank', 'generate']

        run(scenario)

    def test_unknown_pipeline_and_team(self) -> None:
        async def scenario(fleet: _fleet.Fleet) -> None:
            assert (await fleet.request('none', 'brides', {})).status == 404
            assert (await fleet.request('deposit', 'none', {})).status == 403

        run(scenario)


def run(scenario: Any, plan: _fleet.Plan = PLAN) -> None:
    """Run a scenario on a fresh fleet."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = _fleet.Fleet(plan, nursery)
            with trio.fail_after(30):
                await fleet.start()
                await scenario(fleet)
            await fleet.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
